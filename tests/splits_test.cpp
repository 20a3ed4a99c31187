// The parts of a split route: each gets the share of its weight, whatever the requests are called.
#include <catch2/catch.hpp>

#include <cmath>
#include <random>

#include "request/relayed.hpp"
#include "ticket/request_lifecycle.hpp"

using namespace dockrock;

namespace {

using Weights = std::vector<std::pair<std::string, std::int64_t>>;
constexpr auto requests_in_a_window = 200;
constexpr auto bearable = 0.2;

auto split_document(Weights const& weights) -> ServiceDocument {
    auto document = ServiceDocument();
    document.version = 1;
    auto& route = document.routes.emplace_back();
    route.name = "r";
    route.host = "h";
    route.prefix = "/";
    route.timeout = 4 * one_second;
    route.repeatable = true;
    for (auto const& [service, weight] : weights) {
        route.split.push_back({service, weight});
        document.services.emplace_back().name = service;
    }
    return document;
}

auto judged(std::shared_ptr<ServiceRules const> const& rules, std::string const& identity) -> RelayVerdict {
    auto arrival = RelayedRequest();
    arrival.method = "POST";
    arrival.path = "/a";
    arrival.host = "h";
    arrival.identity = identity;
    return interpret_relayed(rules, arrival);
}

// The greatest distance of a service's share from that of its weights.
auto furthest(Weights const& weights, std::function<std::string(int)> const& identity) -> double {
    auto const rules = compile_services(split_document(weights));
    auto taken = std::map<std::string, int>();
    for (auto number = 0; number < requests_in_a_window; ++number)
        ++taken[judged(rules, identity(number)).verdict.inference.body.model];
    auto wanted = std::map<std::string, double>();
    auto sum = 0.0;
    for (auto const& [service, weight] : weights) {
        wanted[service] += static_cast<double>(weight);
        sum += static_cast<double>(weight);
    }
    auto most = 0.0;
    for (auto const& [service, count] : taken) {
        REQUIRE(wanted[service] > 0.0);  // nothing goes to a part of no weight
        most = std::max(most, std::abs(count / double{requests_in_a_window} - wanted[service] / sum));
    }
    for (auto const& [service, weight] : wanted)
        if (!taken.contains(service)) most = std::max(most, weight / sum);
    return most;
}

auto hexadecimal(std::uint64_t value, char const* format = "%016llx") -> std::string {
    auto text = std::array<char, 40>{};
    auto const size = std::snprintf(text.data(), text.size(), format, static_cast<unsigned long long>(value));
    return {text.data(), static_cast<std::size_t>(size)};
}

auto const splits = std::vector<Weights>{
    {{"a", 90}, {"b", 10}},
    {{"a", 1}, {"b", 1}},
    {{"a", 1}, {"b", 1}, {"c", 2}},
    {{"a", 70}, {"b", 20}, {"c", 10}},
    {{"a", 0}, {"b", 5}, {"c", 5}},
    {{"a", 64}, {"b", 64}},
    {{"a", 30}, {"b", 40}, {"a", 30}},  // one service twice
    {{"a", 90}, {"a", 10}},
    {{"a", 999'999'937}, {"b", 999'999'937}},
};

}  // namespace

TEST_CASE("two hundred requests under random names are shared by weight, in each of many windows") {
    auto random = std::mt19937_64(22);
    auto beyond_half = 0;
    for (auto const& weights : splits)
        for (auto window = 0; window < 300; ++window) {
            auto const most = furthest(weights, [&](int) { return hexadecimal(random()); });
            CHECK(most < bearable);
            beyond_half += most > bearable / 2 ? 1 : 0;
        }
    CHECK(beyond_half < 30);  // of 2,700: as rare as chance has it
}

TEST_CASE("names that are counted up, or alike but for a few characters, are shared by weight too") {
    for (auto const& weights : splits) {
        CHECK(furthest(weights, [](int number) { return std::to_string(number); }) < bearable);
        CHECK(furthest(weights, [](int number) {
                  return hexadecimal(static_cast<std::uint64_t>(number) * 2, "client-7-%llx");
              }) < bearable);
        CHECK(furthest(weights, [](int number) {
                  return hexadecimal(static_cast<std::uint64_t>(number) << 20U, "%llx-try");
              }) < bearable);
    }
}

TEST_CASE("a request keeps its part through its tries, and a part of no weight is never chosen") {
    auto const rules = compile_services(split_document({{"a", 1}, {"b", 0}, {"c", 1}}));
    auto random = std::mt19937_64(7);
    for (auto number = 0; number < 500; ++number) {
        auto const identity = hexadecimal(random());
        auto const verdict = judged(rules, identity);
        CHECK(verdict.verdict.inference.body.model != "b");
        CHECK(judged(rules, identity).verdict.inference.body.model == verdict.verdict.inference.body.model);
        auto lifecycle = RequestLifecycle();
        lifecycle.inference = verdict.verdict.inference;
        lifecycle.inference.tries = 3;
        CHECK(lifecycle.ended(TryEnd::did_not_run, "busy").step == Step::enqueue);
        CHECK(lifecycle.ended(TryEnd::not_sent, "unreachable").step == Step::enqueue);
        CHECK(lifecycle.inference.body.model == verdict.verdict.inference.body.model);
    }
}

TEST_CASE("a route that moves to another service while a request waits takes the request along") {
    auto const before = compile_services(split_document({{"a", 1}}));
    auto const after = compile_services(split_document({{"b", 1}}));
    auto lifecycle = RequestLifecycle();
    lifecycle.inference = judged(before, "id-1").verdict.inference;
    lifecycle.inference.number = 7;
    auto facts = LifecycleFacts();
    facts.rules = {1, 2};
    facts.listed = true;
    auto placement = Placement();
    placement.replica = "life-of-a";
    REQUIRE(lifecycle.placed(placement, facts).step == Step::interpret);
    auto begun = lifecycle;
    auto const step = lifecycle.reinterpreted(judged(after, "id-1").verdict, facts.rules, facts);
    CHECK(step.step == Step::enqueue);
    CHECK(step.release_replica == "life-of-a");
    CHECK(lifecycle.inference.body.model == "b");
    CHECK(lifecycle.inference.number == 7);
    begun.history.output_begun = true;  // a stream under way goes on where it began
    CHECK(begun.reinterpreted(judged(after, "id-1").verdict, facts.rules, facts).step == Step::send);
    CHECK(begun.inference.body.model == "a");
}

// The operator against a control address made for each case, and what clients
// may do after an answer.
#include <catch2/catch.hpp>

#include "platform/stand_ins/platform.hpp"

using namespace dockrock::platform_stand_in;

namespace {
struct Office {  // an operator and one node, which answers as the case wants
    asio::io_context context{1};
    Random random{7};
    Record record;
    Operator caller{{}, record, random, {}};
    std::vector<std::int64_t> statuses;  // in turn; the last one stays
    std::vector<std::string> seen;
    json::object held;

    explicit Office(std::vector<std::int64_t> answers) : statuses(std::move(answers)) {
        caller.options.limit = 300;
        caller.options.first_pause = 1;
        auto const handler = [this](Request request) -> awaitable<std::pair<std::int64_t, json::object>> {
            seen.push_back(request.body());
            auto const status = statuses.front();
            if (statuses.size() > 1) statuses.erase(statuses.begin());
            co_return std::pair(status, held);
        };
        caller.options.nodes.push_back(serve_json(context, "127.0.0.1:0", handler));
    }
    template <typename Value>
    auto run(awaitable<Value> work) -> Value {
        auto result = std::optional<Value>();
        asio::co_spawn(context, std::move(work), [&](auto, Value value) { result = std::move(value); });
        auto const until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!result && context.run_one_until(until) > 0) {}
        REQUIRE(result.has_value());
        return std::move(*result);
    }
    auto change(bool valid = true) -> std::pair<std::int64_t, Outcome> {
        auto asked = Asked();
        asked.document = *read_object(R"({"ver":2,"routes":[]})");
        asked.base = 1;
        asked.valid = valid;
        auto const result = run(send_change(caller, asked));
        return {result.status, record.changes.back().outcome};
    }
};
using Told = std::pair<std::int64_t, Outcome>;
}  // namespace

TEST_CASE("an operator sends unchanged until there is a clear answer") {
    CHECK(Office({200}).change() == Told(200, Outcome::acknowledged));
    CHECK(Office({412}).change() == Told(412, Outcome::refused));
    CHECK(Office({400}).change(false) == Told(400, Outcome::refused));
    CHECK(Office({429, 408, 200}).change() == Told(200, Outcome::acknowledged));
    CHECK(Office({404, 404, 404}).change() == Told(404, Outcome::refused));
    CHECK(Office({503}).change() == Told(0, Outcome::unclear));
    CHECK(Office({503}).change(false) == Told(0, Outcome::refused));
    auto office = Office({503, 503, 412});  // one of the first two may have been taken
    CHECK(office.change() == Told(412, Outcome::unclear));
    CHECK(std::set<std::string>(office.seen.begin(), office.seen.end()).size() == 1);
}

TEST_CASE("a patch is recorded as the whole that it makes") {
    auto office = Office({200});
    auto first = Asked();
    first.document =
        *read_object(R"({"ver":1,"routes":[{"name":"a","pfx":"/a/"},{"name":"b","pfx":"/b/"}],"svcs":[{"name":"s"}]})");
    office.run(send_change(office.caller, first));
    auto second = Asked();
    second.whole = false;
    second.base = 1;
    second.document =
        *read_object(R"({"ver":3,"upsert":{"routes":[{"name":"b","pfx":"/c/"},{"name":"d","pfx":"/d/"}]},)"
                     R"("remove":{"routes":["a"]}})");
    office.run(send_change(office.caller, second));
    auto const& whole = office.record.changes.back().document;
    CHECK(json::serialize(whole.at("routes")) == R"([{"name":"b","pfx":"/c/"},{"name":"d","pfx":"/d/"}])");
    CHECK(number_of(whole, "ver") == 3);
    CHECK(list_of(whole, "svcs").size() == 1);
}

TEST_CASE("versions are named until acknowledged, and what is read back is recorded") {
    auto office = Office({503, 200});
    office.held = *read_object(R"({"ver":7})");
    CHECK(office.run(name_version(office.caller, "m", 2)).status == 200);
    CHECK(office.record.versions.size() == 1);
    CHECK(number_of(*office.run(read_back(office.caller, 500)), "ver") == 7);
    office.statuses = {503};
    CHECK_FALSE(office.run(read_back(office.caller, 20)).has_value());
    CHECK(office.record.reads.size() == 2);
}

TEST_CASE("clients send again only what the rules let them") {
    auto const may = [](std::string const& type, bool resume, std::int64_t status, Failure failure, bool reused) {
        auto reply = Reply();
        reply.status = status;
        reply.failure = failure;
        reply.reused = reused;
        auto kind = Kind();
        kind.type = type;
        kind.resume = resume;
        return may_try_again(kind, reply);
    };
    for (auto const status : {200, 204, 400, 401, 404, 413, 431})
        CHECK_FALSE(may("idem", false, status, Failure::none, false));
    for (auto const status : {500, 502, 504, 503}) CHECK(may("idem", false, status, Failure::none, false));
    for (auto const status : {408, 421, 429, 503}) CHECK(may("mutating", false, status, Failure::none, false));
    for (auto const status : {500, 502, 504}) CHECK_FALSE(may("mutating", false, status, Failure::none, false));
    CHECK(may("idem", false, 200, Failure::cut, false));
    CHECK(may("stream", true, 200, Failure::cut, false));
    CHECK_FALSE(may("stream", false, 200, Failure::cut, false));
    CHECK_FALSE(may("mutating", false, 0, Failure::cut, false));
    CHECK(may("mutating", false, 0, Failure::cut, true));
    CHECK(may("mutating", false, 0, Failure::not_connected, false));
}

TEST_CASE("new connections go to nodes that are in, and to all when under half are") {
    auto random = Random(7);
    auto entry = Entry();
    entry.nodes = {{"a", "", 0}, {"b", "", 2}, {"c", "", 0}, {"d", "", 5}};
    auto const chosen = [&] {
        auto names = std::set<std::string>();
        for (auto count = 0; count < 100; ++count) names.insert(entry.choose(random));
        return names;
    };
    CHECK(chosen() == std::set<std::string>{"a", "c"});
    entry.nodes[2].missed = 2;
    CHECK(chosen().size() == 4);
}

// caller: sends tickets as a deployment's callers do, checks every rule it can
// see, writes a line for each. Not product.
#include <cmath>
#include <random>

#include "common.hpp"

namespace {

using namespace dockrock;
using namespace dockrock::stand_in;

struct CallKind {
    std::string name, model;
    double weight = 1.0;
    std::int64_t max_tokens = 64, prefix_tokens = 0, deadline_milliseconds = 10'000;
    bool run_once = true;
};
struct CallTenant {
    std::string name, key;
    double weight = 1.0;
};
struct Plan {
    std::vector<std::string> targets;
    std::vector<CallKind> kinds;
    std::vector<CallTenant> tenants;
    double rate = 20.0;  // tickets each second
    double seconds = 10.0;
    std::uint64_t seed = 1;
    std::int64_t prefix_choices = 3;
    std::string label;
    double twice = 0.0;         // share of run-once tickets sent through two nodes at once
    bool run_once_told = true;  // false: plants a fault, the nodes are not told what may run only once
    bool follow_ready = false;  // as the platform does: only to nodes that say they are ready
    double rise_at = 0.0;       // seconds after which the rate is multiplied
    double rise_by = 1.0;
};

struct Caller {
    asio::io_context context{1};
    Plan plan;
    Recorder record;
    std::uint64_t number = 0;
    std::map<std::string, std::int64_t> counts;
    std::set<std::string> not_ready;
    bool driving = true;

    auto one(
        std::string target, CallKind kind, CallTenant tenant, std::string identity, std::int64_t prefix, int asking)
        -> awaitable<void>;
    auto ask_again(
        std::string target, CallKind kind, CallTenant tenant, std::string identity, std::int64_t prefix, int asking)
        -> void;
    auto drive() -> awaitable<void>;
    auto watch(std::string target) -> awaitable<void>;
};

auto Caller::one(
    std::string target, CallKind kind, CallTenant tenant, std::string identity, std::int64_t prefix, int asking)
    -> awaitable<void> {
    json::array parts;
    if (kind.prefix_tokens > 0) {
        parts.push_back(fields("name", kind.name + "-base", "tokens", kind.prefix_tokens / 2));
        parts.push_back(fields("name", kind.name + "-" + std::to_string(prefix), "tokens", kind.prefix_tokens / 2));
    }
    auto body = fields(
        "model", kind.model, "kind", kind.name, "prompt", "a question of the usual length, of which there are many",
        "identity", identity, "max_tokens", kind.max_tokens, "run_once", kind.run_once && plan.run_once_told, "tenant",
        tenant.name);
    body["prefix"] = std::move(parts);
    auto call = HttpCall();
    call.method = http::verb::post;
    call.target = "/v1/generate";
    call.body = json::serialize(body);
    call.headers.emplace_back("Authorization", "Bearer " + tenant.key);
    auto const began = clock_now();
    auto line = fields(
        "identity", tenant.name + "/" + identity, "tenant", tenant.name, "kind", kind.name, "began", began, "target",
        target, "label", plan.label, "asking", asking);
    auto const finish = [&](std::string outcome, std::int64_t pieces) {
        line["outcome"] = outcome;
        line["pieces"] = pieces;
        line["took"] = clock_now() - began;
        ++counts[outcome];
        record.write(line);
        auto const gone = outcome == "lost" || outcome == "broken" || outcome == "not-connected";
        if (gone && kind.run_once) ask_again(target, kind, tenant, identity, prefix, asking);
    };
    auto stream = beast::tcp_stream(co_await asio::this_coro::executor);
    stream.expires_after(std::chrono::seconds(30));
    if (auto const [failure] = co_await stream.async_connect(*endpoint_of(target), use_tuple); failure)
        co_return finish("not-connected", 0);
    auto const request = make_request(call, target);
    if (auto const [failure, size] = co_await http::async_write(stream, request, use_tuple); failure)
        co_return finish("lost", 0);
    auto buffer = beast::flat_buffer();
    auto parser = http::response_parser<http::string_body>();
    parser.body_limit(boost::none);
    if (auto const [failure, size] = co_await http::async_read_header(stream, buffer, parser, use_tuple); failure)
        co_return finish("lost", 0);
    auto const status = parser.get().result_int();
    line["status"] = status;
    line["ticket"] = std::string(parser.get()["Dockrock-Ticket"]);
    line["replica"] = std::string(parser.get()["Dockrock-Replica"]);
    line["tries"] = std::string(parser.get()["Dockrock-Try"]);
    line["weights"] = std::string(parser.get()["Dockrock-Weights"]);
    line["retry_after"] = std::string(parser.get()[http::field::retry_after]);
    auto text = std::string();
    auto pieces = std::int64_t{0};
    auto done = false;
    auto wrong = false;
    auto runs = std::set<std::string>();
    while (!parser.is_done()) {
        auto [failure, size] = co_await http::async_read_some(stream, buffer, parser, use_tuple);
        text += parser.get().body();
        parser.get().body().clear();
        for (auto end = text.find('\n'); end != std::string::npos; end = text.find('\n')) {
            auto const object = read_object(text.substr(0, end));
            text.erase(0, end + 1);
            if (object.contains("piece")) {
                if (pieces == 0) line["first_piece"] = clock_now() - began;
                if (done || number_of(object, "piece") != pieces) wrong = true;  // lost, repeated or out of order
                runs.insert(text_of(object, "run"));
                ++pieces;
            }
            if (object.contains("done")) {
                done = true;
                if (number_of(object, "pieces") != pieces) wrong = true;
            }
        }
        if (failure) break;
    }
    line["runs"] = runs.size();
    if (wrong || runs.size() > 1) co_return finish("wrong-pieces", pieces);
    if (status == 200) co_return finish(done && parser.is_done() ? "answered" : "broken", pieces);
    auto const object = read_object(text);
    line["reason"] = object.contains("reason") ? text_of(object, "reason") : text_of(object, "error");
    auto const outcome = text_of(object, "outcome");
    finish(outcome.empty() ? "lost" : outcome, 0);
}

// A caller that does not know what became of its ticket asks for it again, at
// another node, under the same identity.
auto Caller::ask_again(
    std::string target, CallKind kind, CallTenant tenant, std::string identity, std::int64_t prefix, int asking)
    -> void {
    if (asking >= 3 || plan.targets.size() < 2) return;
    auto const found = std::find(plan.targets.begin(), plan.targets.end(), target);
    auto const place = static_cast<std::size_t>(found - plan.targets.begin()) + 1;
    auto const other = plan.targets[place % plan.targets.size()];
    asio::co_spawn(context, one(other, kind, tenant, identity, prefix, asking + 1), asio::detached);
}

auto Caller::watch(std::string target) -> awaitable<void> {
    auto const ask = make_http_call(http::verb::get, "/ready");
    while (driving) {
        auto const answer = co_await http_call(target, ask, one_second);
        if (answer.status == 200) not_ready.erase(target);
        else not_ready.insert(target);
        co_await sleep_for(500 * one_millisecond);
    }
}

auto Caller::drive() -> awaitable<void> {
    auto engine = std::mt19937_64(plan.seed);
    auto uniform = std::uniform_real_distribution<double>(0.0, 1.0);
    auto const pick = [&](auto const& list) -> auto const& {
        auto total = 0.0;
        for (auto const& item : list) total += item.weight;
        auto place = uniform(engine) * total;
        for (auto const& item : list)
            if ((place -= item.weight) <= 0.0) return item;
        return list.back();
    };
    auto due = clock_now();
    auto const begun = due;
    auto const end = due + static_cast<Microseconds>(plan.seconds * 1'000'000.0);
    while (due < end) {
        auto const risen = plan.rise_at > 0.0 && due > begun + static_cast<Microseconds>(plan.rise_at * 1'000'000.0);
        due += static_cast<Microseconds>(
            -std::log(1.0 - uniform(engine)) / (plan.rate * (risen ? plan.rise_by : 1.0)) * 1'000'000.0);
        auto const& kind = pick(plan.kinds);
        auto const& tenant = pick(plan.tenants);
        auto ready = plan.targets;
        std::erase_if(ready, [&](auto const& item) { return not_ready.contains(item); });
        if (ready.empty()) ready = plan.targets;
        auto const target = ready[static_cast<std::size_t>(engine() % ready.size())];
        auto const prefix = static_cast<std::int64_t>(engine() % static_cast<std::uint64_t>(plan.prefix_choices));
        if (auto const now = clock_now(); due > now) co_await sleep_for(due - now);
        auto const identity = plan.label + "-" + std::to_string(plan.seed) + "-" + std::to_string(number++);
        asio::co_spawn(context, one(target, kind, tenant, identity, prefix, 0), asio::detached);
        if (kind.run_once && uniform(engine) < plan.twice) ask_again(target, kind, tenant, identity, prefix, 0);
    }
    driving = false;
}

}  // namespace

BOOST_HANA_ADAPT_STRUCT(CallKind, name, model, weight, max_tokens, prefix_tokens, deadline_milliseconds, run_once);
BOOST_HANA_ADAPT_STRUCT(CallTenant, name, key, weight);
BOOST_HANA_ADAPT_STRUCT(
    Plan, targets, kinds, tenants, rate, seconds, seed, prefix_choices, label, follow_ready, rise_at, rise_by, twice,
    run_once_told);

auto main(int argument_count, char** arguments) -> int {
    auto command = TCLAP::CmdLine("caller: sends tickets and checks the answers", ' ', "0.1.0");
    auto plan_file = TCLAP::ValueArg<std::string>("", "plan", "plan (JSON)", true, "", "FILE", command);
    auto record = TCLAP::ValueArg<std::string>("", "record", "record file", true, "", "FILE", command);
    command.parse(argument_count, arguments);
    std::signal(SIGPIPE, SIG_IGN);
    auto caller = std::make_unique<Caller>();
    auto stream = std::ifstream(plan_file.getValue());
    auto const parsed =
        parse_json(std::string(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()));
    Problems problems;
    if (!parsed) problems.push_back({"", "not JSON"});
    else read_json(*parsed, caller->plan, "", problems);
    for (auto const& problem : problems) std::cerr << problem.path << ": " << problem.what << "\n";
    if (!problems.empty() || caller->plan.targets.empty() || caller->plan.kinds.empty() || caller->plan.tenants.empty())
        return 2;
    caller->record.open(record.getValue());
    asio::co_spawn(caller->context, caller->drive(), asio::detached);
    if (caller->plan.follow_ready)
        for (auto const& target : caller->plan.targets)
            asio::co_spawn(caller->context, caller->watch(target), asio::detached);
    caller->context.run();
    std::cout << json::serialize(write_json(caller->counts)) << "\n";
    return 0;
}

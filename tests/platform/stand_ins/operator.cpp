#include "operator.hpp"

namespace dockrock::platform_stand_in {

namespace {
constexpr auto final_refusals = std::array<std::int64_t, 5>{400, 409, 412, 413, 422};
constexpr auto other_refusals = 3;  // of any other 4xx, until the call ends
constexpr auto longest_pause = Milliseconds{800};

struct Clear {
    Reply reply;
    bool unclear_before = false;  // an earlier send may have been taken
    Milliseconds taken = 0;       // when a node first said so; that answer may have been lost
    Milliseconds took = 0;
};

auto ends_call(std::int64_t status) -> bool {
    return std::find(final_refusals.begin(), final_refusals.end(), status) != final_refusals.end();
}

auto pick_node(Operator& caller) -> std::string {
    auto nodes = caller.options.nodes;
    std::erase_if(nodes, [&](auto const& node) { return caller.away.contains(node); });
    return nodes.empty() ? "" : nodes[static_cast<std::size_t>(caller.random() % nodes.size())];
}

auto send_until_clear(Operator& caller, Call call) -> awaitable<Clear> {
    auto const begun = now();
    auto clear = Clear();
    auto refused = 0;
    auto length = caller.options.first_pause;
    while (now() < begun + caller.options.limit) {
        auto const node = pick_node(caller);
        auto const extra = static_cast<Milliseconds>(call.body.size() / 200);  // a large body takes longer
        clear.reply = co_await call_once(node, call, caller.options.silence + extra);
        clear.took = now() - begun;
        auto status = clear.reply.status;
        if (chance(caller.random, caller.options.lost) && clear.reply.failure != Failure::not_connected) {
            if (clear.reply.failure == Failure::none && status / 100 == 2 && clear.taken == 0) clear.taken = now();
            clear.reply = Reply();
            clear.reply.failure = Failure::silent;
            status = 0;
        }
        auto const whole = clear.reply.failure == Failure::none;
        if (whole && (status / 100 == 2 || ends_call(status))) co_return clear;
        if (whole && status / 100 == 4 && status != 408 && status != 429 && ++refused >= other_refusals)
            co_return clear;
        if (clear.reply.failure != Failure::not_connected && !(whole && status / 100 == 4)) clear.unclear_before = true;
        co_await pause(length);
        length = std::min(longest_pause, length * 2);
    }
    clear.reply.status = 0;
    co_return clear;
}

auto document_of(Record const& record, Asked const& asked) -> json::object {
    if (asked.whole) return asked.document;
    Change const* base = nullptr;  // two may bear one number, of which one at most was acknowledged
    for (auto const& change : record.changes) {
        if (change.outcome == Outcome::refused || change.configuration.version != asked.base) continue;
        if (base == nullptr || change.outcome == Outcome::acknowledged) base = &change;
    }
    return patched(base == nullptr ? json::object() : base->document, asked.document);
}
auto change_call(Asked const& asked) -> Call {
    auto call = Call();
    call.method = asked.whole ? http::verb::put : http::verb::patch;
    call.target = "/-/config";
    call.headers.emplace_back("If-Match", std::to_string(asked.base));
    call.headers.emplace_back("Content-Type", "application/json");
    call.body = json::serialize(asked.document);
    return call;
}
}  // namespace

auto send_change(Operator& caller, Asked asked) -> awaitable<Settled> {
    auto& change = caller.record.changes.emplace_back();
    change.document = document_of(caller.record, asked);
    change.configuration = read_configuration(change.document);
    change.base = asked.base;
    change.valid = asked.valid;
    change.sent = now();
    auto const call = change_call(asked);
    auto const clear = co_await send_until_clear(caller, call);
    auto const status = clear.reply.status;
    change.answered = now();
    if (clear.taken > 0)
        caller.record.repeated.push_back({change.configuration.version, status, clear.taken, change.answered});
    if (status / 100 == 2) {
        change.outcome = Outcome::acknowledged;
        caller.newest = asked;
    }
    // Refused after a send without a clear answer, a valid change may have been taken by that send.
    if (status / 100 == 4 && !(clear.unclear_before && asked.valid)) change.outcome = Outcome::refused;
    if (!asked.valid && change.outcome == Outcome::unclear) change.outcome = Outcome::refused;  // never in force
    co_return Settled{status, clear.took};
}

auto name_version(Operator& caller, std::string model, std::int64_t version) -> awaitable<Settled> {
    auto body = json::object();
    body["model"] = model;
    body["ver"] = version;
    auto call = Call();
    call.method = http::verb::post;
    call.target = "/-/version-put";
    call.headers.emplace_back("Content-Type", "application/json");
    call.body = json::serialize(body);
    auto const clear = co_await send_until_clear(caller, call);
    if (clear.reply.status / 100 == 2) caller.record.versions.push_back({model, version, now()});
    co_return Settled{clear.reply.status, clear.took};
}

auto send_again(Operator& caller) -> awaitable<Settled> {
    auto const asked = caller.newest;
    auto const sent = now();
    auto const clear = co_await send_until_clear(caller, change_call(asked));
    caller.record.repeated.push_back({number_of(asked.document, "ver"), clear.reply.status, sent, now()});
    co_return Settled{clear.reply.status, clear.took};
}

auto glance(Operator& caller, std::string node) -> awaitable<std::int64_t> {
    auto call = Call();
    call.target = "/-/config";
    auto const sent = now();
    auto const reply = co_await call_once(node, call, caller.options.silence);
    auto seen = Glance{node, sent, now(), reply.failure == Failure::none ? reply.status : 0, {}};
    if (seen.status == 200) seen.document = read_object(reply.body);
    caller.record.glances.push_back(seen);
    co_return seen.status;
}

auto read_back(Operator& caller, Milliseconds limit, bool noted) -> awaitable<std::optional<json::object>> {
    auto const until = now() + limit;
    auto found = std::optional<json::object>();
    auto call = Call();
    call.target = "/-/config";
    while (!found && now() < until) {
        auto const node = pick_node(caller);
        auto const reply = co_await call_once(node, call, caller.options.silence);
        if (reply.status == 200 && reply.failure == Failure::none) found = read_object(reply.body);
        if (!found) co_await pause(caller.options.first_pause);
    }
    if (noted) caller.record.reads.push_back({now(), found});
    co_return found;
}

}  // namespace dockrock::platform_stand_in

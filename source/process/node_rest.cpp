// Which edge nodes rest (tick and exchange messages less while traffic is low), as the leader of the resting partition
// decides it, and this node's own resting state. docs/design.md section 12.
#include "process/clock.hpp"
#include "process/log.hpp"
#include "process/node.hpp"

namespace dockrock {

namespace {
constexpr Microseconds awake_after_request = 10 * one_second;
constexpr Microseconds unheard_limit = 5 * one_second;
}  // namespace

// Rests only while it is named in the resting set, no request woke it lately, and it hears from the fleet.
auto Node::judge_resting(Microseconds now) -> void {
    auto const current = snapshot.load();
    auto const named = current->resting.contains(control.membership.self.identity);
    auto const heard = control.proof_age(resting_partition, now) < unheard_limit;
    auto const rests =
        named && heard && settings.resting && !stopping && now > awake_until && settings.data_folder.empty();
    control.resting = rests;
    control.membership.self.resting = rests;
    if (rests == resting_now.exchange(rests)) return;
    write_log(Level::information, rests ? "rests" : "wakes", {{"named", named}, {"heard", heard}});
}

// A request reached a resting node: wakes it and requests fresh partition updates at once.
auto Node::wake() -> void {
    awake_until = clock_now() + awake_after_request;
    resting_now = false;
    in_control([this] {
        control.resting = false;
        for (auto& item : control.views) item.ask_token = 0;
        tick_control();
    });
}

auto Node::step_resting() -> void {
    auto const now = clock_now();
    if (!control.leads(resting_partition, now) || control.proof_age(configuration_partition, now) > one_second) {
        resting.low_since = 0;
        return;
    }
    std::vector<EdgeTraffic> edges;
    {
        auto const guard = std::lock_guard(table.lock);
        for (auto const& member : control.membership.alive_members(false)) {
            if (member.core) continue;
            auto rate = 0.0;
            auto const found = table.scheduler.load_table.remote_digests.find(member.identity);
            if (found != table.scheduler.load_table.remote_digests.end() &&
                now - found->second.at < 1'500 * one_millisecond)
                for (auto const& [name, item] : found->second.replicas) rate += static_cast<double>(item.recent);
            rate += control.load_relay.rate_of(member.identity, now);
            edges.push_back({member.identity, member.area, rate});
        }
    }
    auto const wanted = resting.step(edges, snapshot.load()->resting, now);
    if (!wanted) return;
    json::array names;
    for (auto const& name : *wanted) names.push_back(json::string(name));
    write_log(Level::information, "resting-changed", {{"resting", wanted->size()}, {"edges", edges.size()}});
    auto const body = json::serialize(fields("resting", std::move(names)));
    make_call(Call{resting_partition, "rest-" + std::to_string(now), "rest", "", body}, [](CallDone const&) {});
}

auto Node::rest_loop() -> awaitable<void> {
    if (settings.data_folder.empty()) co_return;  // only core nodes decide this
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    while (!finished) {
        timer.expires_after(std::chrono::milliseconds(500));
        co_await timer.async_wait(use_tuple);
        in_control([this] { step_resting(); });
    }
}

}  // namespace dockrock

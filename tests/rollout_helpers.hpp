#pragma once
// Replicas for tests of a roll-out. docs/design.md section 11.
#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <random>
#include <set>

#include "control/takeover_wait.hpp"
#include "control/versions_rollout.hpp"

namespace dockrock::testing {

constexpr auto load_time = 1'500 * one_millisecond;

// Simulated replicas: a report describes a moment some time ago,
// an order is accepted once, a load takes some time.
struct Pool {
    struct Replica {
        std::int64_t version = 1;
        std::int64_t loading = 0;
        Microseconds done_at = 0;
        Microseconds load = load_time;
        std::uint64_t orders = 0;
        int loads = 0;
        bool listed = true;
        bool silent = false;
        bool drain = false;
        std::deque<std::pair<Microseconds, ReportedWeights>> told;
    };
    VersionsRollout rollout;
    std::map<std::string, Replica> replicas;
    std::map<std::string, std::pair<Microseconds, std::int64_t>> listed;  // the list lags behind
    Microseconds now = 100 * one_second;
    std::int64_t target = 2;
    std::map<std::int64_t, Microseconds> named_at;
    std::uint64_t fence = 4;
    bool may_order = true;
    std::size_t most_at_once = 0;
    int orders = 0;
    int reports = 0;
    std::function<OrderResult(VersionOrder const&, OrderResult)> bend;  // may change the answer to an order
    std::set<std::string> lost;                                         // the next order to these is lost

    explicit Pool(int count) {
        for (auto number = 0; number < count; ++number)
            replicas["r" + std::to_string(10 + number)].load = load_time + number * 60 * one_millisecond;
    }
    auto finish(Replica& replica) -> void {
        if (replica.loading == 0 || now < replica.done_at) return;
        replica.version = replica.loading;
        replica.loading = 0;
    }
    auto take(Replica& replica, VersionOrder const& order) -> OrderResult {
        if (replica.version == order.version && replica.loading == 0) return OrderResult::already_held;
        if (replica.loading != 0 || (order.orders && *order.orders != replica.orders)) return OrderResult::conflict;
        replica.loading = order.version;
        replica.done_at = now + replica.load;
        ++replica.orders;
        ++replica.loads;
        return OrderResult::accepted;
    }
    auto step() -> void {
        now += 25 * one_millisecond;
        auto loading = std::size_t{0};
        std::vector<ListedReplica> seen;
        for (auto& [name, replica] : replicas) {
            finish(replica);
            if (replica.loading != 0) ++loading;
            replica.told.emplace_back(now, ReportedWeights{replica.version, replica.loading != 0, replica.orders});
            while (replica.told.size() > 1 && now - replica.told[1].first >= 200 * one_millisecond)
                replica.told.pop_front();
            auto& [at, version] = listed[name];
            if (now - at > 1'500 * one_millisecond) listed[name] = {now, replica.version};
            if (replica.listed)
                seen.push_back(
                    {name, "service", "area-" + std::to_string(hash_text(name) % 4), version, replica.drain});
        }
        most_at_once = std::max(most_at_once, loading);
        auto const due = rollout.step(target, fence, may_order, 3, seen, now);
        for (auto const& order : due.orders) {
            ++orders;
            auto const dropped = lost.erase(order.replica) > 0;
            auto end = dropped ? OrderResult::unknown : take(replicas[order.replica], order);
            if (bend) end = bend(order, end);
            rollout.order_ended(order.replica, end, now);
        }
        for (auto const& name : due.reports) {
            ++reports;
            auto const& replica = replicas[name];
            if (replica.silent) rollout.reported(name, std::nullopt, now, now);
            else rollout.reported(name, replica.told.front().second, now, now);
        }
    }
    // Sets a target version now; the bound of each target counts from its own time.
    auto name_version(std::int64_t version) -> void {
        target = version;
        named_at[version] = now;
    }
    // How many replicas get new requests although their weights are older than what has to
    // serve everywhere: nodes send unless a published state forbids it.
    auto open_after(Microseconds time) const -> int {
        auto states = WeightsStates();
        rollout.add_states("m", states);
        auto open = 0;
        for (auto const& [name, replica] : replicas) {
            auto const next = named_at.upper_bound(replica.version);
            if (next == named_at.end() || now - next->second < time || !replica.listed) continue;
            open += states.contains(name) && states.at(name).loading ? 0 : 1;
        }
        return open;
    }
    auto all_hold(std::int64_t version) const -> bool {
        return std::all_of(replicas.begin(), replicas.end(), [&](auto const& item) {
            return item.second.version >= version || !item.second.listed || item.second.drain;
        });
    }
    auto run_until(std::function<bool()> const& condition, Microseconds limit) -> bool {
        auto const end = now + limit;
        while (now < end && !condition()) step();
        return condition();
    }
    auto run(Microseconds length) -> void {
        run_until([] { return false; }, length);
    }
};

}  // namespace dockrock::testing

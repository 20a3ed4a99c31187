#pragma once
// Replicas for tests of a roll-out. docs/design.md section 11.
#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <random>
#include <set>

#include "process/machine/tenure.hpp"
#include "process/machine/versions_rollout.hpp"

namespace dockrock::testing {

constexpr auto load_time = 1'500 * one_millisecond;

// Replicas as the rules have them: a report tells of a moment some time ago,
// an order is taken once, a load takes its time once nothing runs any more.
// Nodes hear of the owner's word a little later, send requests to every replica
// that it does not name, and tell of them now and then.
struct Pool {
    struct Replica {
        std::int64_t version = 1;
        std::int64_t loading = 0;
        Microseconds done_at = 0;
        Microseconds load = load_time;
        Microseconds load_at = 0;     // of a load under way, once it has begun
        Microseconds busy_until = 0;  // the last of its requests ends
        Microseconds sent_at = 0;     // the last of them came
        Microseconds old_at = 0;      // the last of them that came while a newer version was named
        std::uint64_t orders = 0;
        int loads = 0;
        bool listed = true;
        bool silent = false;
        bool drain = false;
        std::deque<std::pair<Microseconds, ReportedWeights>> told;
    };
    VersionsRollout rollout;
    RolloutTask task;
    Microseconds stream = 0;  // how long a request runs; 0: there are none
    std::deque<std::pair<Microseconds, WeightsWords>> said;
    std::map<std::string, std::int64_t> running;  // as the nodes told at
    Microseconds running_at = 0;
    std::size_t most_out_of_use = 0;
    int early_orders = 0;  // requests there had hardly come
    std::map<std::string, Replica> replicas;
    std::map<std::string, std::pair<Microseconds, std::int64_t>> listed;  // the list is late
    Microseconds now = 100 * one_second;
    std::int64_t target = 2;
    std::uint64_t fence = 4;
    bool may_order = true;
    std::size_t most_at_once = 0;
    int orders = 0;
    int reports = 0;
    std::function<OrderEnd(VersionOrder const&, OrderEnd)> bend;  // what becomes of an order's answer
    std::set<std::string> lost;                                   // the next order to these is lost

    explicit Pool(int count) {
        task.bound = 12 * one_second;
        for (auto number = 0; number < count; ++number)
            replicas["r" + std::to_string(10 + number)].load = load_time + number * 60 * one_millisecond;
    }
    auto finish(Replica& replica) -> void {
        if (replica.loading != 0 && replica.load_at == 0 && now >= replica.busy_until) {
            replica.load_at = now;
            replica.done_at = now + replica.load;
        }
        if (replica.loading == 0 || now < replica.done_at) return;
        replica.version = replica.loading;
        replica.loading = 0;
    }
    auto take(Replica& replica, VersionOrder const& order) -> OrderEnd {
        if (replica.version == order.version && replica.loading == 0) return OrderEnd::holds;
        if (replica.loading != 0 || (order.orders && *order.orders != replica.orders)) return OrderEnd::conflict;
        replica.loading = order.version;
        replica.load_at = 0;
        replica.done_at = std::numeric_limits<Microseconds>::max();
        if (stream > 0 && now - replica.sent_at < 200 * one_millisecond) ++early_orders;
        ++replica.orders;
        ++replica.loads;
        return OrderEnd::taken;
    }
    auto send_requests() -> void {
        auto words = WeightsWords();
        rollout.words("m", words);
        said.emplace_back(now, std::move(words));
        while (said.size() > 1 && now - said[1].first >= 25 * one_millisecond) said.pop_front();
        auto const& heard = said.front().second;
        auto out_of_use = std::size_t{0};
        for (auto& [name, replica] : replicas) {
            auto const word = heard.find(name);
            if (word != heard.end() && word->second.loading) ++out_of_use;
            else if (stream > 0 && replica.loading == 0) {
                replica.sent_at = now;
                replica.busy_until = now + stream;
                if (replica.version < target) replica.old_at = now;
            }
        }
        most_out_of_use = std::max(most_out_of_use, out_of_use);
        if (now - running_at < 200 * one_millisecond) return;
        running_at = now;
        for (auto const& [name, replica] : replicas) running[name] = now < replica.busy_until ? 1 : 0;
    }
    // The last that was sent to an older version.
    auto last_old() const -> Microseconds {
        auto last = Microseconds{0};
        for (auto const& [name, replica] : replicas) last = std::max(last, replica.old_at);
        return last;
    }
    auto step() -> void {
        now += 25 * one_millisecond;
        send_requests();
        auto loading = std::size_t{0};
        std::vector<ListedReplica> seen;
        for (auto& [name, replica] : replicas) {
            finish(replica);
            if (replica.loading != 0 && replica.load_at != 0) ++loading;
            replica.told.emplace_back(now, ReportedWeights{replica.version, replica.loading != 0, replica.orders});
            while (replica.told.size() > 1 && now - replica.told[1].first >= 200 * one_millisecond)
                replica.told.pop_front();
            auto& [at, version] = listed[name];
            if (now - at > 1'500 * one_millisecond) listed[name] = {now, replica.version};
            if (replica.listed)
                seen.push_back(
                    {name, "service", "area-" + std::to_string(hash_text(name) % 4), version, replica.drain,
                     running[name], running_at});
        }
        most_at_once = std::max(most_at_once, loading);
        task.named.learn(target, now);
        task.wanted = target;
        task.fence = fence;
        task.may_order = may_order;
        auto const due = rollout.step(task, seen, now);
        for (auto const& order : due.orders) {
            ++orders;
            auto const dropped = lost.erase(order.replica) > 0;
            auto end = dropped ? OrderEnd::unknown : take(replicas[order.replica], order);
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

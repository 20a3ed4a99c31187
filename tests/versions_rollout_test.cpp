#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <random>
#include <set>

#include "process/machine/tenure.hpp"
#include "process/machine/versions_rollout.hpp"

using namespace dockrock;

namespace {

constexpr auto load_time = 1'500 * one_millisecond;

// Replicas as the rules have them: a report tells of a moment some time ago,
// an order is taken once, a load takes its time.
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
    RolloutTask task;
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
        for (auto number = 0; number < count; ++number)
            replicas["r" + std::to_string(10 + number)].load = load_time + number * 60 * one_millisecond;
    }
    auto finish(Replica& replica) -> void {
        if (replica.loading == 0 || now < replica.done_at) return;
        replica.version = replica.loading;
        replica.loading = 0;
    }
    auto take(Replica& replica, VersionOrder const& order) -> OrderEnd {
        if (replica.version == order.version && replica.loading == 0) return OrderEnd::holds;
        if (replica.loading != 0 || (order.orders && *order.orders != replica.orders)) return OrderEnd::conflict;
        replica.loading = order.version;
        replica.done_at = now + replica.load;
        ++replica.orders;
        ++replica.loads;
        return OrderEnd::taken;
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
        if (task.named.since.empty() || task.named.since.rbegin()->first < target) task.named.learn(target, now);
        task.wanted = target;
        task.fence = fence;
        task.may_order = may_order;
        task.bound = 12 * one_second;
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

}  // namespace

TEST_CASE("eighteen replicas come to the version named within its bound, three at once, one order and load each") {
    auto pool = Pool(18);
    auto random = std::mt19937(7);
    for (auto& [name, replica] : pool.replicas)
        replica.load = static_cast<Microseconds>(1'100'000 + random() % 700'000);
    auto const began = pool.now;
    REQUIRE(pool.run_until([&] { return pool.all_hold(2); }, 20 * one_second));
    auto const took = pool.now - began;
    INFO("eighteen replicas in " << took / one_millisecond << " ms, reports " << pool.reports);
    CHECK(took < 12 * one_second);
    CHECK(pool.most_at_once == 3);
    CHECK(pool.orders == 18);
    for (auto const& [name, replica] : pool.replicas) CHECK(replica.loads == 1);
    CHECK(pool.reports < 18 * 10);
    pool.run(10 * one_second);
    auto const reports = pool.reports;
    pool.run(20 * one_second);
    CHECK(pool.reports == reports);  // nobody is asked while no order is under way
    CHECK_FALSE(pool.rollout.under_way());
    auto words = WeightsWords();
    pool.rollout.words("m", words);
    CHECK(words.empty());  // the list tells it all again
}

TEST_CASE("a replica is said to be loading before it is ordered, and until a report says otherwise") {
    auto pool = Pool(1);
    auto said_at = Microseconds{0};
    auto ordered_at = Microseconds{0};
    auto const loading = [&] {
        auto words = WeightsWords();
        pool.rollout.words("m", words);
        return words.contains("r10") && words["r10"].loading;
    };
    pool.bend = [&](auto const&, auto end) { return ordered_at = pool.now, end; };
    REQUIRE(pool.run_until(loading, one_second));
    said_at = pool.now;
    REQUIRE(pool.run_until([&] { return pool.orders > 0; }, one_second));
    CHECK(ordered_at - said_at >= 50 * one_millisecond);
    REQUIRE(pool.run_until([&] { return !loading(); }, 5 * one_second));
    CHECK(pool.replicas["r10"].version == 2);
    auto words = WeightsWords();
    pool.rollout.words("m", words);
    CHECK(words["r10"].versions["m"] == 2);  // told before the list shows it
}

TEST_CASE("an order without an answer is looked after by report, not repeated blindly") {
    auto pool = Pool(1);
    SECTION("it had been taken") {
        pool.bend = [](auto const&, auto) { return OrderEnd::unknown; };
        REQUIRE(pool.run_until([&] { return pool.all_hold(2); }, 5 * one_second));
        pool.run(5 * one_second);
        CHECK(pool.orders == 1);
    }
    SECTION("it was lost") {
        pool.lost.insert("r10");
        auto expected = std::vector<std::optional<std::uint64_t>>();
        pool.bend = [&](auto const& order, auto end) { return expected.push_back(order.orders), end; };
        REQUIRE(pool.run_until([&] { return pool.all_hold(2); }, 6 * one_second));
        CHECK(pool.orders == 2);
        CHECK(pool.replicas["r10"].loads == 1);
        CHECK(expected == std::vector<std::optional<std::uint64_t>>{std::nullopt, 0});
    }
}

TEST_CASE("another order under way is waited for; one for an older version is followed by ours") {
    auto pool = Pool(1);
    auto& replica = pool.replicas["r10"];
    replica.loading = 2;
    replica.done_at = pool.now + 3 * one_second;
    replica.orders = 7;
    pool.target = 3;
    auto ends = std::vector<OrderEnd>();
    pool.bend = [&](auto const&, auto end) { return ends.push_back(end), end; };
    REQUIRE(pool.run_until([&] { return pool.all_hold(3); }, 10 * one_second));
    CHECK(ends == std::vector{OrderEnd::conflict, OrderEnd::taken});
    CHECK(replica.loads == 1);
}

TEST_CASE("a count of orders that differs is read again before the next order") {
    auto pool = Pool(1);
    pool.lost.insert("r10");
    auto ends = std::vector<OrderEnd>();
    pool.bend = [&](auto const& order, auto end) {
        if (order.orders && pool.replicas["r10"].orders == 0) {  // it came late, after the report
            pool.replicas["r10"].orders = 1;
            return ends.push_back(OrderEnd::conflict), pool.replicas["r10"].loading = 0, OrderEnd::conflict;
        }
        return ends.push_back(end), end;
    };
    REQUIRE(pool.run_until([&] { return pool.replicas["r10"].version == 2; }, 10 * one_second));
    CHECK(ends.size() <= 3);
}

TEST_CASE("a later holder's fence stops all orders, until the fence rises") {
    auto pool = Pool(6);
    pool.bend = [](auto const&, auto end) { return end == OrderEnd::taken ? OrderEnd::fenced : end; };
    pool.run(6 * one_second);
    CHECK(pool.orders <= 3);
    pool.bend = nullptr;
    pool.fence = 5;
    CHECK(pool.run_until([&] { return pool.all_hold(2); }, 10 * one_second));
}

TEST_CASE("a new version named in mid-roll is the one the others are ordered to load") {
    auto pool = Pool(9);
    REQUIRE(pool.run_until([&] { return pool.orders >= 4; }, 5 * one_second));
    auto const before = pool.orders;
    pool.target = 3;
    auto old = 0;
    pool.bend = [&](auto const& order, auto end) { return old += order.version == 2 ? 1 : 0, end; };
    REQUIRE(pool.run_until([&] { return pool.all_hold(3); }, 15 * one_second));
    CHECK(old <= 1);
    CHECK(pool.most_at_once == 3);
    CHECK(pool.orders == 9 + before + old);
}

TEST_CASE("a replica that is gone frees its place, one that is silent too, and the rest goes on") {
    auto pool = Pool(7);
    REQUIRE(pool.run_until([&] { return pool.orders == 3; }, 2 * one_second));
    auto ordered = std::vector<std::string>();
    for (auto const& [name, course] : pool.rollout.courses)
        if (course.stage == VersionsRollout::Course::Stage::loading) ordered.push_back(name);
    REQUIRE(ordered.size() == 3);
    pool.replicas[ordered[0]].listed = false;
    pool.replicas[ordered[1]].silent = true;
    pool.replicas[ordered[1]].load = pool.replicas[ordered[1]].done_at = 1'000 * one_second;
    auto const others_hold = [&] {
        auto behind = 0;
        for (auto const& [name, replica] : pool.replicas) behind += replica.version < 2 ? 1 : 0;
        return behind <= 1;
    };
    CHECK(pool.run_until(others_hold, 8 * one_second));
    CHECK_FALSE(pool.rollout.courses.contains(ordered[0]));
    // A new life in its stead, with its former weights.
    pool.replicas["r99"];
    pool.replicas[ordered[1]].silent = false;
    pool.replicas[ordered[1]].done_at = pool.now;
    CHECK(pool.run_until([&] { return pool.replicas["r99"].version == 2; }, 6 * one_second));
    CHECK(pool.run_until([&] { return pool.all_hold(2); }, 2 * one_second));
}

TEST_CASE("one that can't be reached is tried ever more rarely and holds no place") {
    auto pool = Pool(4);
    auto tries = 0;
    pool.bend = [&](auto const& order, auto end) {
        if (order.replica != "r10") return end;
        pool.replicas["r10"].loading = 0;
        return ++tries, OrderEnd::unreachable;
    };
    pool.run(20 * one_second);
    CHECK(tries > 3);
    CHECK(tries < 10);
    for (auto const* name : {"r11", "r12", "r13"}) CHECK(pool.replicas[name].version == 2);
}

TEST_CASE("a replica that leaves is not loaded") {
    auto pool = Pool(3);
    pool.replicas["r11"].drain = true;
    pool.run(6 * one_second);
    CHECK(pool.orders == 2);
    CHECK(pool.replicas["r11"].version == 1);
    CHECK_FALSE(pool.rollout.under_way());
}

TEST_CASE("a new owner asks after what the former one had under way, and orders nothing before its time") {
    auto pool = Pool(9);
    REQUIRE(pool.run_until([&] { return pool.orders >= 4; }, 5 * one_second));
    auto const before = pool.orders;
    auto words = WeightsWords();
    pool.rollout.words("m", words);
    pool.rollout = VersionsRollout();
    pool.rollout.target = 2;
    for (auto const& [name, word] : words)
        pool.rollout.adopt(
            {name, "service", "", pool.listed[name].second, false}, word.versions.at("m"), word.loading, pool.now);
    pool.fence = 5;
    pool.may_order = false;
    pool.run(3'200 * one_millisecond);
    CHECK(pool.orders == before);
    words.clear();
    pool.rollout.words("m", words);
    for (auto const& [name, word] : words) CHECK_FALSE(word.loading);  // all done meanwhile, and known
    pool.may_order = true;
    REQUIRE(pool.run_until([&] { return pool.all_hold(2); }, 8 * one_second));
    CHECK(pool.orders == 9);
    CHECK(pool.most_at_once == 3);
}

TEST_CASE("a holder waits unless it is the first of all, or held the part all the time") {
    constexpr auto wait = 3'200 * one_millisecond;
    auto first = Tenure();
    CHECK(first.step(1, true, true, wait, 10 * one_second));

    auto next = Tenure();
    CHECK_FALSE(next.step(1, false, false, wait, 10 * one_second));
    CHECK_FALSE(next.step(2, true, false, wait, 11 * one_second));
    CHECK_FALSE(next.step(2, true, true, wait, 12 * one_second));  // from here
    CHECK_FALSE(next.step(2, true, true, wait, 12 * one_second + wait - 1));
    CHECK(next.step(2, true, true, wait, 12 * one_second + wait));
    CHECK_FALSE(next.step(2, true, false, wait, 16 * one_second));  // without its licence
    CHECK(next.step(2, true, true, wait, 17 * one_second));
    CHECK(next.step(3, true, true, wait, 18 * one_second));        // a new understudy
    CHECK_FALSE(next.step(5, true, true, wait, 19 * one_second));  // who held 4 is not known
    CHECK(next.step(5, true, true, wait, 19 * one_second + wait));
    CHECK_FALSE(next.step(6, false, false, wait, 24 * one_second));
    CHECK_FALSE(next.step(7, true, true, wait, 25 * one_second));
}

TEST_CASE("a listed version that is higher than the owner's word ends the word") {
    auto listed = ReplicaWeights{{{"m", 1}}, false};
    apply_word(listed, {{{"m", 1}}, true});
    CHECK(listed == ReplicaWeights{{{"m", 1}}, true});
    listed = {{{"m", 1}}, false};
    apply_word(listed, {{{"m", 2}}, false});
    CHECK(listed == ReplicaWeights{{{"m", 2}}, false});
    listed = {{{"m", 3}}, false};
    apply_word(listed, {{{"m", 2}}, true});
    CHECK(listed == ReplicaWeights{{{"m", 3}}, false});
}

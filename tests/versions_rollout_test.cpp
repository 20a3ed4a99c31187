#include "rollout_helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

TEST_CASE(
    "eighteen replicas reach the target version within its bound, three at a time, with one order and load each") {
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
    CHECK(pool.reports == reports);  // no polling while no order is in progress
    CHECK_FALSE(pool.rollout.under_way());
    auto states = WeightsStates();
    pool.rollout.add_states("m", states);
    CHECK(states.empty());  // the list alone is enough again
}

TEST_CASE("a replica is published as loading before its order, and until a report says otherwise") {
    auto pool = Pool(1);
    auto said_at = Microseconds{0};
    auto ordered_at = Microseconds{0};
    auto const loading = [&] {
        auto states = WeightsStates();
        pool.rollout.add_states("m", states);
        return states.contains("r10") && states["r10"].loading;
    };
    pool.bend = [&](auto const&, auto end) { return ordered_at = pool.now, end; };
    REQUIRE(pool.run_until(loading, one_second));
    said_at = pool.now;
    REQUIRE(pool.run_until([&] { return pool.orders > 0; }, one_second));
    CHECK(ordered_at - said_at >= 50 * one_millisecond);
    REQUIRE(pool.run_until([&] { return !loading(); }, 5 * one_second));
    CHECK(pool.replicas["r10"].version == 2);
    auto states = WeightsStates();
    pool.rollout.add_states("m", states);
    CHECK(states["r10"].versions["m"] == 2);  // published before the list shows it
}

TEST_CASE("an order without an answer is followed up by reports, not repeated blindly") {
    auto pool = Pool(1);
    SECTION("it had been taken") {
        pool.bend = [](auto const&, auto) { return OrderResult::unknown; };
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

TEST_CASE("another order in progress is waited for; one for an older version is followed by ours") {
    auto pool = Pool(1);
    auto& replica = pool.replicas["r10"];
    replica.loading = 2;
    replica.done_at = pool.now + 3 * one_second;
    replica.orders = 7;
    pool.target = 3;
    auto ends = std::vector<OrderResult>();
    pool.bend = [&](auto const&, auto end) { return ends.push_back(end), end; };
    REQUIRE(pool.run_until([&] { return pool.all_hold(3); }, 10 * one_second));
    CHECK(ends == std::vector{OrderResult::conflict, OrderResult::accepted});
    CHECK(replica.loads == 1);
}

TEST_CASE("a count of orders that differs is read again before the next order") {
    auto pool = Pool(1);
    pool.lost.insert("r10");
    auto ends = std::vector<OrderResult>();
    pool.bend = [&](auto const& order, auto end) {
        if (order.orders && pool.replicas["r10"].orders == 0) {  // it came late, after the report
            pool.replicas["r10"].orders = 1;
            return ends.push_back(OrderResult::conflict), pool.replicas["r10"].loading = 0, OrderResult::conflict;
        }
        return ends.push_back(end), end;
    };
    REQUIRE(pool.run_until([&] { return pool.replicas["r10"].version == 2; }, 10 * one_second));
    CHECK(ends.size() <= 3);
}

TEST_CASE("a later leader's fence stops all orders until the own fence is higher") {
    auto pool = Pool(6);
    pool.bend = [](auto const&, auto end) { return end == OrderResult::accepted ? OrderResult::fenced : end; };
    pool.run(6 * one_second);
    CHECK(pool.orders <= 3);
    pool.bend = nullptr;
    pool.fence = 5;
    CHECK(pool.run_until([&] { return pool.all_hold(2); }, 10 * one_second));
}

TEST_CASE("a new target set during a roll-out is the one that the remaining replicas are ordered to load") {
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

TEST_CASE("a removed or silent replica frees its load slot, and the rest continues") {
    auto pool = Pool(7);
    REQUIRE(pool.run_until([&] { return pool.orders == 3; }, 2 * one_second));
    auto ordered = std::vector<std::string>();
    for (auto const& [name, progress] : pool.rollout.by_replica)
        if (progress.stage == VersionsRollout::ReplicaProgress::Stage::loading) ordered.push_back(name);
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
    CHECK_FALSE(pool.rollout.by_replica.contains(ordered[0]));
    // A new incarnation under the same name, with its old weights.
    pool.replicas["r99"];
    pool.replicas[ordered[1]].silent = false;
    pool.replicas[ordered[1]].done_at = pool.now;
    CHECK(pool.run_until([&] { return pool.replicas["r99"].version == 2; }, 6 * one_second));
    CHECK(pool.run_until([&] { return pool.all_hold(2); }, 2 * one_second));
}

#include "rollout_helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

TEST_CASE("an unreachable replica is tried with backoff and occupies no load slot") {
    auto pool = Pool(4);
    auto tries = 0;
    pool.bend = [&](auto const& order, auto end) {
        if (order.replica != "r10") return end;
        pool.replicas["r10"].loading = 0;
        return ++tries, OrderResult::unreachable;
    };
    pool.run(20 * one_second);
    CHECK(tries > 3);
    CHECK(tries < 10);
    for (auto const* name : {"r11", "r12", "r13"}) CHECK(pool.replicas[name].version == 2);
}

TEST_CASE("a draining replica is not loaded") {
    auto pool = Pool(3);
    pool.replicas["r11"].drain = true;
    pool.run(6 * one_second);
    CHECK(pool.orders == 2);
    CHECK(pool.replicas["r11"].version == 1);
    CHECK_FALSE(pool.rollout.under_way());
}

TEST_CASE("a new leader polls the orders of the former one, and sends no orders before its wait is over") {
    auto pool = Pool(9);
    REQUIRE(pool.run_until([&] { return pool.orders >= 4; }, 5 * one_second));
    auto const before = pool.orders;
    auto states = WeightsStates();
    pool.rollout.add_states("m", states);
    pool.rollout = VersionsRollout();
    pool.rollout.target = 2;
    for (auto const& [name, state] : states)
        pool.rollout.adopt(
            {name, "service", "", pool.listed[name].second, false}, state.versions.at("m"), state.loading, pool.now);
    pool.fence = 5;
    pool.may_order = false;
    pool.run(3'200 * one_millisecond);
    CHECK(pool.orders == before);
    states.clear();
    pool.rollout.add_states("m", states);
    for (auto const& [name, state] : states) CHECK_FALSE(state.loading);  // all finished meanwhile, and reported
    pool.may_order = true;
    REQUIRE(pool.run_until([&] { return pool.all_hold(2); }, 8 * one_second));
    CHECK(pool.orders == 9);
    CHECK(pool.most_at_once == 3);
}

TEST_CASE("a leader waits unless it is the first one ever, or held the partition all the time") {
    constexpr auto wait = 3'200 * one_millisecond;
    auto first = TakeoverWait();
    CHECK(first.step(1, true, true, wait, 10 * one_second));

    auto next = TakeoverWait();
    CHECK_FALSE(next.step(1, false, false, wait, 10 * one_second));
    CHECK_FALSE(next.step(2, true, false, wait, 11 * one_second));
    CHECK_FALSE(next.step(2, true, true, wait, 12 * one_second));  // from here
    CHECK_FALSE(next.step(2, true, true, wait, 12 * one_second + wait - 1));
    CHECK(next.step(2, true, true, wait, 12 * one_second + wait));
    CHECK_FALSE(next.step(2, true, false, wait, 16 * one_second));  // without its lease
    CHECK(next.step(2, true, true, wait, 17 * one_second));
    CHECK(next.step(3, true, true, wait, 18 * one_second));        // a new follower
    CHECK_FALSE(next.step(5, true, true, wait, 19 * one_second));  // the holder of term 4 is unknown
    CHECK(next.step(5, true, true, wait, 19 * one_second + wait));
    CHECK_FALSE(next.step(6, false, false, wait, 24 * one_second));
    CHECK_FALSE(next.step(7, true, true, wait, 25 * one_second));
}

TEST_CASE("a listed version higher than the published one overrides the published state") {
    auto listed = ReplicaWeights{{{"m", 1}}, false};
    apply_weights_state(listed, {{{"m", 1}}, true});
    CHECK(listed == ReplicaWeights{{{"m", 1}}, true});
    listed = {{{"m", 1}}, false};
    apply_weights_state(listed, {{{"m", 2}}, false});
    CHECK(listed == ReplicaWeights{{{"m", 2}}, false});
    listed = {{{"m", 3}}, false};
    apply_weights_state(listed, {{{"m", 2}}, true});
    CHECK(listed == ReplicaWeights{{{"m", 3}}, false});
}

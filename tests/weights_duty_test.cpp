#include "control/list_polling.hpp"
#include "duty_helpers.hpp"

using namespace dockrock;
using namespace dockrock::simulation;

TEST_CASE("the first leader orders at once, the next one only a lease duration after its takeover") {
    auto world = formed(11);
    auto const partition = partition_of_service(model);
    auto const holder = *world->leader(partition);
    for (auto index = std::size_t{0}; index < world->nodes.size(); ++index) {
        auto& node = *world->nodes[index];
        world->act(index, node.control.list_read(world->local(node), world->local(node), list_text()));
    }
    name_version(*world, 2);
    auto duties = Duties{*world};
    auto const first_term = world->nodes[holder]->control.best_record(partition).term;
    auto const began = world->now;
    duties.run(2 * one_second);
    REQUIRE_FALSE(duties.sent.empty());
    if (first_term == 1) CHECK(duties.sent[0].at - began < one_second);
    auto spread = 0;
    for (auto const& node : world->nodes) spread += snapshot_of(*node).replica_weights.at("a").versions.at(model) == 1;
    CHECK(spread == static_cast<int>(world->nodes.size()));
    auto told = 0;
    for (auto const& node : world->nodes)
        for (auto const& [replica, word] : snapshot_of(*node).replica_weights) told += word.loading ? 1 : 0;
    CHECK(told > 0);

    SECTION("after a crash") { world->kill(holder, false); }
    SECTION("after a polite handover") {
        auto pending = false;
        auto const until = world->now + 2 * one_second;
        while (world->now < until && world->leader(partition) == holder) {
            auto& node = *world->nodes[holder];
            world->act(holder, node.control.hand_over(world->local(node), pending));
            duties.step();
        }
    }
    duties.run(10 * one_second);
    auto last_of = std::map<std::size_t, Microseconds>();
    auto holders = std::set<std::size_t>();
    auto highest = std::uint64_t{0};
    for (auto const& order : duties.sent) {
        for (auto const& [other, at] : last_of)
            if (other != order.node) CHECK(order.at - at >= 3 * one_second);
        last_of[order.node] = order.at;
        holders.insert(order.node);
        CHECK(order.fence >= highest);
        highest = order.fence;
    }
    CHECK(holders.size() == 2);
    for (auto const next : holders) {
        if (next == holder) continue;
        auto const& told = duties.held[next];  // why it sent no orders until then
        REQUIRE(told.size() >= 2);
        CHECK(std::vector(told.end() - 2, told.end()) == std::vector{OrdersHeld::new_holder, OrdersHeld::no});
    }
    CHECK(world->violations.empty());
}

TEST_CASE("states published by a leader reach every node at once, and those of removed replicas are ignored") {
    auto world = formed(12);
    auto const partition = partition_of_service(model);
    auto const holder = *world->leader(partition);
    auto& node = *world->nodes[holder];
    auto const text =
        std::string(R"({"a":{"versions":{"m":2},"loading":true},"gone":{"versions":{"m":9},"loading":true}})");
    for (auto index = std::size_t{0}; index < world->nodes.size(); ++index) {
        auto& other = *world->nodes[index];
        world->act(index, other.control.list_read(world->local(other), world->local(other), list_text()));
    }
    world->run_until(world->now + one_second);
    world->act(holder, node.control.live_read(partition, world->local(node), world->local(node), text));
    world->run_until(world->now + 100 * one_millisecond);
    for (auto const& other : world->nodes) {
        auto const snapshot = snapshot_of(*other);
        CHECK(snapshot.replica_weights.at("a") == ReplicaWeights{{{model, 2}}, true});
        CHECK(snapshot.replica_weights.at("b") == ReplicaWeights{{{model, 1}}, false});
        CHECK_FALSE(snapshot.replica_weights.contains("gone"));
        CHECK(snapshot.target_version(model) == 1);
    }
}

TEST_CASE("a failing list is read with backoff, and thirteen nodes stay within the rate limit") {
    auto random = Random{3};
    std::vector<ListPolling> paces(13);
    for (auto& pace : paces) pace.configure(3 * one_second, 47);
    auto calls = std::vector<Microseconds>();
    auto view = ListView{false, false, 0, 13};
    for (auto now = 100 * one_second; now < 160 * one_second; now += 50 * one_millisecond)
        for (auto index = std::size_t{0}; index < paces.size(); ++index) {
            view.leader = index == 0;
            if (!paces[index].due(view, now, random)) continue;
            paces[index].record_start(now);
            paces[index].record_failure(view, now, random);
            calls.push_back(now);
        }
    auto most = std::size_t{0};
    for (auto const from : calls)
        most = std::max(most, static_cast<std::size_t>(std::count_if(calls.begin(), calls.end(), [&](auto at) {
                            return at >= from && at < from + one_second;
                        })));
    CHECK(most <= 47);
    CHECK(calls.size() < 13 * 60 / 2);  // of 60 s
}

TEST_CASE("a node with an outdated list reads it itself within the drain bound, the leader at every interval") {
    auto random = Random{5};
    auto pace = ListPolling();
    pace.configure(3 * one_second, 47);
    CHECK(pace.interval == 900 * one_millisecond);
    auto view = ListView{false, false, 10 * one_second, 13};
    auto now = 10 * one_second;
    while (!pace.due(view, now, random)) now += 10 * one_millisecond;
    CHECK(now - view.list_at > 2 * one_second);
    CHECK(now - view.list_at + 100 * one_millisecond + pace.page_limit < 3 * one_second);
    view.list_at = now - one_second;  // an update came meanwhile
    CHECK_FALSE(pace.due(view, now, random));
    view.leader = true;
    CHECK(pace.due(view, now, random));
    pace.record_start(now);
    pace.record_success(1);
    CHECK_FALSE(pace.due(view, now + 800 * one_millisecond, random));
    CHECK(pace.due(view, now + 900 * one_millisecond, random));
}

TEST_CASE("a large service loads a sixth of its replicas at a time, a small one three") {
    for (auto const& [count, at_once] : {std::pair(12, 3), std::pair(48, 8)}) {
        auto world = formed(14);
        std::vector<std::string> names;
        for (auto number = 0; number < count; ++number) names.push_back("replica-" + std::to_string(number));
        for (auto index = std::size_t{0}; index < world->nodes.size(); ++index) {
            auto& node = *world->nodes[index];
            world->act(index, node.control.list_read(world->local(node), world->local(node), list_text(names)));
        }
        name_version(*world, 2);
        auto duties = Duties{*world};
        duties.run(one_second);
        auto loading = 0;
        auto const holder = *world->leader(partition_of_service(model));
        for (auto const& [replica, word] : snapshot_of(*world->nodes[holder]).replica_weights)
            loading += word.loading ? 1 : 0;
        CHECK(loading == at_once);
    }
}

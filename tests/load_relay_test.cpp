// Load through relays under lost, late and reordered messages, and relays that
// die, freeze and come back. docs/design.md 9.8.
#include "load_net.hpp"

using namespace dockrock;
using namespace dockrock::testing;

TEST_CASE("relays: once load stops changing, every node knows the load of all nodes despite lost messages") {
    for (auto seed = std::uint64_t{1}; seed <= 12; ++seed) {
        auto net = Net(seed, 14, 1 + seed % 4, 6);
        net.loss = 0.1;
        net.run(4 * one_second, true);
        net.loss = 0.0;
        net.run(2 * one_second + one_second / 2, false);
        INFO("seed " << seed);
        CHECK(net.error() == 0);
        for (auto const& node : net.nodes)
            CHECK(net.nodes_placing() + (node.placed.empty() ? 1 : 0) == node.table.active_nodes(net.now));
    }
}

TEST_CASE("relays: under load, a node's count lags by the requests of half a second") {
    auto net = Net(5, 14, 3, 6);
    net.run(3 * one_second, true);
    auto most = std::int64_t{0};
    for (auto round = 0; round < 100; ++round) {
        net.run(50 * one_millisecond, true);
        most = std::max(most, net.error());
    }
    CHECK(most <= 25);  // one move every ten milliseconds, over six replicas
    CHECK(most > 0);
}

TEST_CASE("relays: nodes of a lost relay are counted by others within two seconds, and not twice for long") {
    for (auto seed = std::uint64_t{1}; seed <= 8; ++seed) {
        auto net = Net(seed, 12, 3, 6);
        net.run(3 * one_second, true);
        net.relay_of(0).running = false;
        net.run(2 * one_second, false);
        INFO("seed " << seed);
        CHECK(net.relay_of(0).running);
        CHECK(net.error() == 0);
    }
}

TEST_CASE("relays: outdated sums of a relay that was frozen are not taken as fresh") {
    for (auto seed = std::uint64_t{1}; seed <= 8; ++seed) {
        auto net = Net(seed, 12, 3, 6);
        net.run(3 * one_second, true);
        auto& frozen = net.relay_of(0);
        frozen.frozen_until = net.now + 4 * one_second;
        net.run(4 * one_second, true);
        net.run(one_second, false);  // it resumes, with all messages queued meanwhile
        INFO("seed " << seed);
        CHECK(net.error() == 0);
        net.run(6 * one_second, false);  // its nodes return to it
        CHECK(net.error() == 0);
        CHECK(&net.relay_of(0) == &frozen);
    }
}

TEST_CASE("relays: a restarted relay sends no difference from the sums that its nodes hold") {
    auto net = Net(3, 8, 1, 6);
    net.run(2 * one_second, true);
    net.relays[0].relay = LoadRelay();
    net.relays[0].relay.number = net.random.next() >> 12U;
    net.run(one_second + one_second / 2, false);
    CHECK(net.error() == 0);
}

TEST_CASE("relays: without any relay each node stays within its share, and still places requests") {
    auto net = Net(4, 10, 2, 20);  // 32 slots and one more on each replica
    net.run(3 * one_second, true);
    for (auto& relay : net.relays) relay.running = false;
    net.run(one_second / 2, true);
    for (auto& node : net.nodes) {  // all requests finish
        for (auto const& [name, number] : node.placed) node.table.release(name, number);
        node.placed.clear();
    }
    net.run(12 * one_second, false);
    for (auto& node : net.nodes) {
        CHECK(node.table.active_nodes(net.now) == 10);
        auto placed = 0;
        for (auto round = 0; round < 400; ++round) {
            net.now += 3 * one_second;  // each round as if it had reported in between
            auto const name = "r" + std::to_string(net.random.below(20));
            if (!node.table.has_room(node.table.replicas.at(name), net.now)) continue;
            node.table.place(name, make_inference(net.next_request++), 1, net.now);
            ++placed;
        }
        CHECK(placed >= 20);
        for (auto const& [name, state] : node.table.replicas) CHECK(state.placed_slots <= 3);  // 32 slots, ten nodes
    }
    for (auto const& [name, state] : net.nodes[0].table.replicas) CHECK(net.truth(name) <= 33);
}

TEST_CASE("relays: a late sum, one based on another relay's numbers, and a damaged one change nothing") {
    auto scheduler = make_scheduler(2);
    auto& table = scheduler.load_table;
    table.relayed = true;
    auto const first = write_loads({{"r0", {3, 3, 10, 0, 0, 2}}});
    auto const second = write_loads({{"r0", {5, 5, 10, 0, 0, 2}}});
    auto const running = [&] { return table.running(table.replicas.at("r0"), 2'000); };
    table.take_sum("one", {7, 0, 0, 0, 2, first}, 1'000);
    CHECK(running() == 3);
    CHECK(table.active_nodes(2'000) == 3);
    table.take_sum("one", {6, 0, 0, 0, 2, second}, 1'100);
    CHECK(running() == 3);
    auto const difference = write_loads_difference(*read_loads(first), *read_loads(second));
    table.take_sum("other", {8, 7, 0, 0, 2, difference}, 1'200);  // the base is another relay's
    CHECK(running() == 3);
    table.take_sum("one", {8, 5, 0, 0, 2, difference}, 1'300);  // an unknown base
    CHECK(running() == 3);
    table.take_sum("one", {8, 7, 0, 0, 2, difference.substr(1)}, 1'400);
    CHECK(running() == 3);
    table.take_sum("one", {8, 7, 0, 0, 2, difference}, 1'500);
    CHECK(running() == 5);
}

TEST_CASE("relays: requests that a node placed and no sum contains yet limit its use of the last slots") {
    auto scheduler = make_scheduler(1, 2);
    auto& table = scheduler.load_table;
    table.relayed = true;
    table.fleet_nodes = 30;
    auto const& state = table.replicas.at("r0");
    auto rooms = 0;
    for (auto number = 0; number < 30; ++number) {  // one node is first in the order for the last slots
        table.self = "node-" + std::to_string(number);
        rooms += table.has_room(state, 20 * one_second);
    }
    CHECK(rooms > 0);
    CHECK(rooms < 30);
    for (auto number = 0; number < 30; ++number) {
        table.self = "node-" + std::to_string(number);
        if (table.has_room(state, 20 * one_second)) break;
    }
    table.place("r0", make_inference(1), 1, 20 * one_second);
    auto const word = table.make_load_report(static_cast<std::uint64_t>(20 * one_second + 10), 20 * one_second + 10);
    CHECK_FALSE(table.has_room(state, 20 * one_second + 20));  // reported, but no answer yet
    CHECK(read_loads(word)->size() == 1);
}

TEST_CASE("relays: every relay knows the request rate of each node, to decide which nodes may rest") {
    auto net = Net(9, 6, 3, 6);
    net.run(3 * one_second, true);
    for (auto index = std::size_t{0}; index < net.nodes.size(); ++index) {
        auto rate = 0.0;
        for (auto const& [name, state] : net.nodes[index].table.replicas)
            rate += static_cast<double>(state.recent.size());
        for (auto const& relay : net.relays)
            CHECK(std::abs(relay.relay.rate_of("node-" + std::to_string(index), net.now) - rate) <= 12.0);
    }
    CHECK(net.relays[0].relay.rate_of("node-5", net.now) > 0.0);
    CHECK(net.relays[0].relay.rate_of("nobody", net.now) == 0.0);
}

// What the next leader knows of target versions and of orders in progress.
// docs/design.md sections 11.3 and 11.4.
#include "control/weights_guard.hpp"
#include "duty_helpers.hpp"

using namespace dockrock;
using namespace dockrock::simulation;

TEST_CASE("the next leader counts from when the version became the target, not from its own start") {
    auto world = formed(15);
    auto const partition = partition_of_service(model);
    auto const holder = *world->leader(partition);
    for (auto index = std::size_t{0}; index < world->nodes.size(); ++index) {
        auto& node = *world->nodes[index];
        world->act(index, node.control.list_read(world->local(node), world->local(node), list_text()));
    }
    auto duties = Duties{*world};
    duties.run(one_second);
    name_version(*world, 2);
    duties.run(one_second);
    auto const heard = world->now;
    world->kill(holder, false);
    duties.run(10 * one_second);
    auto const next = world->leader(partition);
    REQUIRE(next);
    REQUIRE(*next != holder);
    auto const& node = *world->nodes[*next];
    auto const& rollout = duties.duties.at(*next).rollouts.at({partition, model});
    REQUIRE(rollout.version_times.superseded_at(1));
    CHECK(world->local(node) - *rollout.version_times.superseded_at(1) >= world->now - heard);
}

TEST_CASE("a leader that restarted counts from when the version became the target, like the other nodes") {
    auto world = formed(16);
    auto const partition = partition_of_service(model);
    auto const give_list = [&] {
        for (auto index = std::size_t{0}; index < world->nodes.size(); ++index) {
            auto& node = *world->nodes[index];
            if (!node.running) continue;
            world->act(index, node.control.list_read(world->local(node), world->local(node), list_text()));
        }
    };
    auto restarted = std::vector<std::size_t>();
    SECTION("alone") { restarted = {*world->leader(partition)}; }
    SECTION("with all other core nodes, so that only edges know") {
        for (auto index = std::size_t{0}; index < world->nodes.size(); ++index)
            if (world->nodes[index]->control.settings.core) restarted.push_back(index);
    }
    give_list();
    auto duties = Duties{*world};
    name_version(*world, 2);
    duties.run(one_second);
    auto const heard = world->now;
    duties.run(4 * one_second);
    name_version(*world, 3);
    duties.run(one_second);
    for (auto const index : restarted) world->kill(index, false);
    duties.step();
    for (auto const index : restarted) world->start(index);
    auto const led_again = [&] {
        auto const leader = world->leader(partition);
        return leader && std::find(restarted.begin(), restarted.end(), *leader) != restarted.end();
    };
    while (!led_again()) {
        REQUIRE(world->now - heard < 60 * one_second);
        duties.run(one_second);
        // Leadership moves from a node that did not restart to one that did.
        auto const leader = world->leader(partition);
        auto pending = false;
        if (leader && !led_again())
            world->act(
                *leader, world->nodes[*leader]->control.hand_over(world->local(*world->nodes[*leader]), pending));
    }
    give_list();
    duties.run(2 * one_second);
    auto const holder = *world->leader(partition);
    auto const& node = *world->nodes[holder];
    auto const& rollout = duties.duties.at(holder).rollouts.at({partition, model});
    REQUIRE(rollout.version_times.superseded_at(1));
    CHECK(world->local(node) - *rollout.version_times.superseded_at(1) >= world->now - heard);
    REQUIRE(rollout.version_times.superseded_at(2));
    CHECK(*rollout.version_times.superseded_at(2) - *rollout.version_times.superseded_at(1) >= 4 * one_second);
}

TEST_CASE("a leader that does not know the list yet leaves the states published by the former one") {
    auto world = formed(17);
    auto const partition = partition_of_service(model);
    auto const holder = *world->leader(partition);
    auto& node = *world->nodes[holder];
    auto const text = std::string(R"({"a":{"versions":{"m":2},"loading":true}})");
    world->act(holder, node.control.live_read(partition, world->local(node), world->local(node), text));
    auto duties = Duties{*world};
    duties.run(one_second);
    for (auto const& other : world->nodes)
        CHECK(other->control.views[static_cast<std::size_t>(partition)].live == text);
    world->act(holder, node.control.list_read(world->local(node), world->local(node), list_text()));
    duties.step();
    CHECK(snapshot_of(node).replica_weights.at("a") == ReplicaWeights{{{model, 2}}, true});
}

TEST_CASE("ages of a version that is not the partition's target withhold no replica") {
    auto world = formed(18);
    auto const partition = partition_of_service(model);
    auto const holder = *world->leader(partition);
    auto& node = *world->nodes[holder];
    auto const bound = 15 * one_second;
    world->act(holder, node.control.list_read(world->local(node), world->local(node), list_text()));
    auto duties = Duties{*world};
    for (auto index = std::size_t{0}; index < world->nodes.size(); ++index) duties.duties[index].bound = bound;
    duties.run(one_second);
    SECTION("none is named") {}
    SECTION("a lower one is named") { name_version(*world, 2); }
    auto const told = VersionAges{false, {{model, {{5, 60 * one_second}}}}};
    world->act(holder, node.control.receive(world->local(node), "former", "former", told));
    duties.run(2 * one_second);
    CHECK(duties.duties.at(holder).rollouts.at({partition, model}).collect_metrics(world->local(node)).overdue == 0);
    auto guard = WeightsGuard();
    guard.bound = bound;
    guard.learn_times(snapshot_of(node).version_times);
    CHECK_FALSE(guard.is_overdue(model, 1, world->local(node)));
}

// Core nodes whose disks become full or stalled and recover, in the simulator: no restart is needed, a
// node without a working disk has no duties, no acknowledged change is lost. docs/design.md section 6.
#include <catch2/catch.hpp>

#include "world_helpers.hpp"

using namespace dockrock;
using namespace dockrock::simulation;

namespace {

auto well_again(World& world, std::size_t index) -> void {
    world.nodes[index]->disk.mode = DiskMode::good;
    world.wake_disk(index);
}

auto formed_for_two(std::uint64_t seed) -> std::unique_ptr<World> {
    WorldOptions options;
    options.seed = seed;
    options.cores = 8;
    options.losses = 2;
    auto world = std::make_unique<World>(options);
    for (auto index = std::size_t{0}; index < world->nodes.size(); ++index) world->start(index);
    REQUIRE(world->run_until_true([&] { return world->settled(); }, 12 * one_second));
    return world;
}

// Retries one change under the same identity until it is acknowledged, as an operator does.
auto put_until_taken(World& world, std::size_t index, std::string const& document) -> bool {
    for (auto tries = 0; tries < 4; ++tries) {
        auto const number = world.put(index, document, "", "change of " + document);
        world.run_until_true([&] { return world.changes[number].status != 0; }, 6 * one_second);
        if (world.changes[number].status == 200) return true;
    }
    return false;
}

// The node runs but takes part in no decision.
auto without_duties(World const& world, std::size_t index) -> bool {
    auto const& control = world.nodes[index]->control;
    return !control.membership.self.core &&
        std::all_of(control.partitions.begin(), control.partitions.end(), [](auto const& partition) {
            return partition.votes.decided.term == 0 && partition.saving.empty();
        });
}

}  // namespace

TEST_CASE(
    "the leader's disk is full for seconds: another takes over, and the node has duties again without a restart") {
    for (auto seed = std::uint64_t{1}; seed <= 12; ++seed) {
        auto const world = seed % 2 == 0 ? formed(seed) : formed_for_two(seed);
        auto const edge = world->nodes.size() - 1;
        INFO("seed " << seed);
        REQUIRE(put_and_wait(*world, edge, "before") == 200);
        auto const ill = *world->leader(configuration_partition);
        auto const life = world->nodes[ill]->life;
        world->nodes[ill]->disk.mode = DiskMode::full;
        REQUIRE(put_until_taken(*world, edge, "meanwhile"));
        CHECK_FALSE(world->nodes[ill]->control.leads(configuration_partition, world->local(*world->nodes[ill])));
        world->run_until(world->now + 4 * one_second);
        well_again(*world, ill);
        CHECK(world->run_until_true([&] { return world->settled(); }, 8 * one_second));
        CHECK(world->nodes[ill]->life == life);
        CHECK(put_and_wait(*world, edge, "after") == 200);
        CHECK(world->run_until_true([&] { return all_hold(*world, "after"); }, 3 * one_second));
        CHECK(world->violations.empty());
    }
}

TEST_CASE("a core node that starts on a full or stalled disk has no duties until it gets its identity back") {
    for (auto seed = std::uint64_t{1}; seed <= 12; ++seed) {
        auto const world = seed % 2 == 0 ? formed(seed) : formed_for_two(seed);
        auto const edge = world->nodes.size() - 1;
        INFO("seed " << seed);
        auto const ill = *world->leader(configuration_partition);
        auto const identity = world->nodes[ill]->disk.identity;
        world->kill(ill, false);
        world->nodes[ill]->disk.mode = seed % 3 == 0 ? DiskMode::stalled : DiskMode::full;
        world->start(ill);
        REQUIRE(put_until_taken(*world, edge, "meanwhile"));
        world->run_until(world->now + 3 * one_second);
        CHECK(without_duties(*world, ill));
        CHECK(world->nodes[ill]->control.membership.self.identity != identity);
        CHECK(world->nodes[ill]->control.views[configuration_partition].copy.document == "meanwhile");
        well_again(*world, ill);
        CHECK(world->run_until_true([&] { return world->settled(); }, 8 * one_second));
        CHECK(world->nodes[ill]->control.membership.self.identity == identity);
        CHECK(world->violations.empty());
    }
}

TEST_CASE(
    "all core nodes start on full disks: none forms a fleet, and the stored state is in force after they recover") {
    for (auto seed = std::uint64_t{1}; seed <= 6; ++seed) {
        auto const world = formed(seed);
        auto const edge = world->nodes.size() - 1;
        INFO("seed " << seed);
        REQUIRE(put_and_wait(*world, edge, "kept") == 200);
        for (auto index = std::size_t{0}; index < world->nodes.size(); ++index) {
            world->kill(index, false);
            world->nodes[index]->disk.mode = DiskMode::full;
        }
        for (auto index = std::size_t{0}; index < world->nodes.size(); ++index) world->start(index);
        world->run_until(world->now + 12 * one_second);
        for (auto index = std::size_t{0}; index < world->options.cores; ++index) CHECK(without_duties(*world, index));
        for (auto index = std::size_t{0}; index < world->options.cores; ++index) well_again(*world, index);
        CHECK(world->run_until_true([&] { return world->settled(); }, 12 * one_second));
        CHECK(world->run_until_true([&] { return all_hold(*world, "kept"); }, 3 * one_second));
        CHECK(world->violations.empty());
    }
}

TEST_CASE("planted: a node that forgets what its full disk did not take is caught") {
    auto caught = 0;
    for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
        auto const world = formed(seed);
        auto const edge = world->nodes.size() - 1;
        for (auto index = std::size_t{0}; index < world->options.cores; ++index)
            world->nodes[index]->disk.mode = DiskMode::full;
        world->put(edge, "first", "");
        world->run_until(world->now + one_second);
        for (auto index = std::size_t{0}; index < world->options.cores; ++index) {
            for (auto& save : world->nodes[index]->unsynced)
                save.saved = SavedPartition{save.saved.partition, {}, std::nullopt, std::nullopt, "", false};
            well_again(*world, index);
        }
        world->run_until(world->now + 2 * one_second);
        for (auto index = std::size_t{0}; index < world->options.cores; ++index) {
            world->kill(index, false);
            world->start(index);
        }
        auto const settled = world->run_until_true([&] { return world->settled(); }, 12 * one_second);
        caught += settled && world->violations.empty() ? 0 : 1;
    }
    CHECK(caught >= 3);  // caught only if the change was in progress at the right moment
}

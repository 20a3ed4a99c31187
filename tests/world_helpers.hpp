#pragma once
#include <catch2/catch.hpp>

#include "world.hpp"

namespace dockrock::simulation {

inline auto formed(std::uint64_t seed, std::size_t edges = 3, std::size_t relays_from = 0) -> std::unique_ptr<World> {
    WorldOptions options;
    options.seed = seed;
    options.edges = edges;
    options.load_relays_from = relays_from;
    auto world = std::make_unique<World>(options);
    for (auto index = std::size_t{0}; index < world->nodes.size(); ++index) world->start(index);
    REQUIRE(world->run_until_true([&] { return world->settled(); }, 12 * one_second));
    return world;
}
inline auto put_and_wait(World& world, std::size_t index, std::string const& document) -> int {
    auto const number = world.put(index, document, "");
    world.run_until_true([&] { return world.changes[number].status != 0; }, 6 * one_second);
    return world.changes[number].status;
}
inline auto all_hold(World& world, std::string const& document) -> bool {
    return std::all_of(world.nodes.begin(), world.nodes.end(), [&](auto const& node) {
        return !node->running || node->control.views[configuration_partition].copy.document == document;
    });
}

}  // namespace dockrock::simulation

// Freezes and links: cut, slowed and healed.
#include <algorithm>

#include "world.hpp"

namespace dockrock::simulation {

auto World::freeze(std::size_t index, Microseconds length) -> void {
    auto& node = *nodes[index];
    if (!node.running || node.frozen_until > now) return;
    node.frozen_until = now + length;
    note("freeze " + node.address + " for " + std::to_string(length / 1'000) + "ms");
    at(node.frozen_until, [this, index, life = node.life] {
        auto& later = *nodes[index];
        if (!later.running || later.life != life) return;
        auto held = std::move(later.held);
        later.held.clear();
        for (auto& work : held) work();
    });
}

auto World::isolate(std::size_t index) -> void { split({index}); }

auto World::split(std::vector<std::size_t> const& side) -> void {
    auto const inside = [&](std::size_t index) { return std::find(side.begin(), side.end(), index) != side.end(); };
    for (auto from = std::size_t{0}; from < nodes.size(); ++from)
        for (auto to = std::size_t{0}; to < nodes.size(); ++to)
            if (inside(from) != inside(to)) cuts.insert({from, to});
    note("split of " + std::to_string(side.size()));
}

auto World::heal() -> void {
    cuts.clear();
    slowed.clear();
    note("heal");
}

}  // namespace dockrock::simulation

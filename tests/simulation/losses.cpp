// Which core nodes are lost at once. docs/design.md section 15.
#include <algorithm>

#include "world.hpp"

namespace dockrock::simulation {

auto World::some_cores(Random& by, bool of_the_group) -> std::vector<std::size_t> {
    std::vector<std::size_t> chosen;
    auto const take = [&](std::size_t index) {
        if (chosen.size() < options.losses && std::find(chosen.begin(), chosen.end(), index) == chosen.end())
            chosen.push_back(index);
    };
    if (auto const holder = leader(configuration_partition); holder && of_the_group) {
        take(*holder);
        auto const& record = nodes[*holder]->control.partitions[configuration_partition].votes.decided;
        auto const first = by.below(options.cores);
        for (auto step = std::size_t{0}; step < options.cores; ++step) {
            auto const index = (first + step) % options.cores;
            if (record.has_follower(nodes[index]->disk.identity)) take(index);
        }
    }
    while (chosen.size() < options.losses) take(by.below(options.cores));
    return chosen;
}

}  // namespace dockrock::simulation

#pragma once
// What one placement, one digest and one event of the kept index cost as nodes
// and replicas grow. docs/CAPACITY.md.
#include "figures.hpp"
#include "load.hpp"

namespace dockrock::hollow {

struct SlopeOptions {
    std::int64_t bytes_limit = std::int64_t{10} << 30U;
    std::int64_t time_limit = 60'000'000'000;  // nanoseconds of processor time for one size
    int placements = 200;
};

auto measure_placement(LoadShape const& shape, std::uint64_t seed, SlopeOptions const& options) -> Run;
auto measure_index(std::size_t blocks, std::size_t replicas, std::uint64_t seed) -> Run;

}  // namespace dockrock::hollow

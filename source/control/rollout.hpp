#pragma once
// Roll-out of new weights to the replicas of one model in waves. docs/design.md section 11.
#include "base/messages.hpp"

namespace dockrock {

struct RolloutReplica {
    std::string name;
    std::string weights;
    bool changing = false;
    bool drain = false;
};
struct Rollout {
    std::string target;
    Microseconds wave_at = 0;
    std::map<std::string, Microseconds> ordered;  // by replica name: time of the last order

    // Names of the replicas to order now. A wave is at most a third of the replicas; the
    // next wave begins when all of them are done, or after four seconds.
    auto step(std::string const& wanted, std::vector<RolloutReplica> const& replicas, Microseconds now)
        -> std::vector<std::string>;
};

inline constexpr Microseconds wave_limit = 4 * one_second;
inline constexpr Microseconds reorder_interval = 2 * one_second;

}  // namespace dockrock

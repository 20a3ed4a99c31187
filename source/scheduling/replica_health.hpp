#pragma once
// Outlier ejection: excludes replicas that fail requests, by the outcomes that all nodes have seen. An ejected
// replica is used again after a pause, and ejected for longer if it still fails. docs/design.md section 9.11.
#include <algorithm>
#include <cstdint>

#include "base/basics.hpp"

namespace dockrock {

// Outcomes of the tries at one replica, from all nodes, within the last `outcome_window`.
struct TryOutcomes {
    std::int64_t ended = 0;   // tries that were answered or failed
    std::int64_t failed = 0;  // of these; refusing a request without running it is not a failure
};

inline constexpr Microseconds outcome_window = 3 * one_second;

// Ejection state of one replica.
struct ReplicaHealth {
    static constexpr std::int64_t min_failed = 3;
    static constexpr std::int64_t failed_share = 4;  // failing: at least one in so many tries
    // The first pause is longer than the window, so that outcomes from before it don't count after it.
    static constexpr Microseconds first_pause = 4 * one_second;
    static constexpr Microseconds longest_pause = 32 * one_second;

    Microseconds ejected_until = 0;
    Microseconds pause = 0;

    auto usable(Microseconds now) const -> bool { return now >= ejected_until; }
    // Updates the state from the recent outcomes. Returns whether the replica is ejected from now on.
    auto update(TryOutcomes const& seen, Microseconds now) -> bool {
        if (!usable(now)) return false;
        auto const failing = seen.failed >= min_failed && seen.failed * failed_share >= seen.ended;
        if (failing) {
            pause = pause == 0 ? first_pause : std::min(2 * pause, longest_pause);
            ejected_until = now + pause;
        } else if (seen.failed == 0 && seen.ended >= min_failed) {
            pause = 0;
        }
        return failing;
    }
};

}  // namespace dockrock

#pragma once
// Until when a request that was passed on to a replica may begin there, and may go on, so that none begins on
// weights older than those that have to serve by then. Kept by the sender and by the replica itself: neither the
// leader of the roll-out nor a link to it is needed. docs/design.md section 11.5.
#include <limits>

#include "control/snapshot.hpp"

namespace dockrock {

struct WorkLimits {
    static constexpr auto none = std::numeric_limits<Microseconds>::max();
    Microseconds begin_by = none;  // what has not begun by then is recalled by its sender
    Microseconds end_by = none;    // told to the replica, which ceases work then
};

// Before the end of the time in which older weights may serve. Both come after `weights_margin`, when the order for
// the newer version turns away what has not begun, so that runs under way have the time between to end.
inline constexpr Microseconds recall_margin = one_second;  // a node may hear of a naming so much later than the leader
inline constexpr Microseconds end_margin = 300 * one_millisecond;  // for senders that can't recall any more

// `bound`: within it named weights serve everywhere; none: no limits. A version that is named after `now` leaves at
// least as much time as one that is named now.
auto work_limits(Snapshot const& snapshot, std::string const& replica, Microseconds bound, Microseconds now)
    -> WorkLimits;

}  // namespace dockrock

#pragma once
// The deadlines for a request at a replica to begin and to end, so that none begins on weights older than those
// that have to serve by then. Enforced by the sender and by the replica itself, so that neither the leader of the
// roll-out nor a connection to it is needed. docs/design.md section 11.5.
#include <limits>

#include "control/snapshot.hpp"

namespace dockrock {

struct WorkLimits {
    static constexpr auto none = std::numeric_limits<Microseconds>::max();
    Microseconds begin_by = none;  // a request that has not begun by then is recalled by its sender
    Microseconds end_by = none;    // sent to the replica, which stops its work then
};

// Times before the end of the period in which older weights may serve. Both deadlines are later than the one of
// `weights_margin`, when the order for the newer version rejects requests that have not begun; running ones can end
// in between.
inline constexpr Microseconds recall_margin = one_second;  // a node may learn of a target so much later than the leader
inline constexpr Microseconds end_margin = 300 * one_millisecond;  // for senders that can no longer recall requests

// `bound`: the time in which target weights have to serve everywhere; 0: no limits. A version that becomes the target
// after `now` leaves at least as much time as one that does so now.
auto work_limits(Snapshot const& snapshot, std::string const& replica, Microseconds bound, Microseconds now)
    -> WorkLimits;

}  // namespace dockrock

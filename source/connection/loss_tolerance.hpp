#pragma once
// How many core nodes the fleet can lose, reported to its operators. docs/operators.md.
#include <atomic>

#include "control/control.hpp"

namespace dockrock {

// The reasons why the fleet could not tolerate the loss of one more core node, as seen by this node; empty if it could.
auto loss_problems(Control const& control, Microseconds now) -> json::array;
// How many core nodes could be lost simultaneously now, disks included: the minimum over all partitions of the live
// voters beyond a majority and the live copies beyond one. A leader counts only followers that reported the committed
// state as synced. 0 if a partition has no fresh proof of a leased leader.
auto tolerated_losses(Control const& control, Microseconds now) -> std::size_t;

// The last computed tolerance and the time since it has had this value; readable from any thread.
struct LossTolerance {
    std::atomic<std::size_t> count{0};
    std::atomic<Microseconds> since{0};
    Microseconds updated_at = 0;

    // Recomputes the tolerance, at most every 200 ms.
    auto update(Control const& control, Microseconds now) -> void;
};

}  // namespace dockrock

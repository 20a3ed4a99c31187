#pragma once
// What losses of core nodes the fleet stands, for its operators. docs/operators.md.
#include <atomic>

#include "control/control.hpp"

namespace dockrock {

// Whether the fleet stands one more lost core node, as far as this node sees; if not, why.
auto loss_problems(Control const& control, Microseconds now) -> json::array;
// How many core nodes may be lost at once now, with their disks: what lives of the voters over a
// majority, and of each group over one copy; a leader counts the copies that it was told are synced.
auto tolerated_losses(Control const& control, Microseconds now) -> std::size_t;

// That number as it was last looked at, and since when it has been so; read by any thread.
struct LossTolerance {
    std::atomic<std::size_t> count{0};
    std::atomic<Microseconds> since{0};
    Microseconds looked_at = 0;

    auto look(Control const& control, Microseconds now) -> void;
};

}  // namespace dockrock

#pragma once
// What losses of core nodes the fleet stands, for its operators. docs/operators.md.
#include "control/control.hpp"

namespace dockrock {

// Whether the fleet stands one more lost core node, as far as this node sees; if not, why.
auto loss_problems(Control const& control, Microseconds now) -> json::array;
// How many core nodes may be lost at once now, with their disks.
auto losses_borne(Control const& control, Microseconds now) -> std::size_t;

}  // namespace dockrock

#pragma once
// What the process takes before it does anything: stacks of threads, also of those that libraries start, and how the
// allocator keeps memory. Both have defaults that grow with the machine. docs/CAPACITY.md.
#include <string>

#include "process/machine_limits.hpp"

namespace dockrock {

// Before the first thread.
auto limit_footprint() -> void;

// What the start takes on top of what is in use now, and what there is not: empty where all of it is there. The kernel
// is asked for the memory, and gets it back at once.
auto missing_for_start(MachineLimits const& limits) -> std::string;

}  // namespace dockrock

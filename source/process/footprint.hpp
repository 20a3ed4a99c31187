#pragma once
// Limits the base memory use of the process: the stacks of threads, including those that libraries start, and the
// memory that the allocator retains. Both have defaults that grow with the machine. docs/CAPACITY.md.
#include <string>

#include "process/machine_limits.hpp"

namespace dockrock {

// Call before the first thread starts.
auto limit_footprint() -> void;

// Checks that the resources for the start are available; returns what is missing, or empty. The memory is requested
// from the kernel as a test and released at once.
auto missing_for_start(MachineLimits const& limits) -> std::string;

}  // namespace dockrock

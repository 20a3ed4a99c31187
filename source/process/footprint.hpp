#pragma once
// What the process takes before it does anything: stacks of threads, also of those that libraries start, and how the
// allocator keeps memory. Both have defaults that grow with the machine. docs/CAPACITY.md.
namespace dockrock {

// Before the first thread.
auto limit_footprint() -> void;

}  // namespace dockrock

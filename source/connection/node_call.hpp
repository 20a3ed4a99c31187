#pragma once
// What operators ask of the control machines, within the memory that there is for it. docs/CAPACITY.md.
#include "base/memory_budget.hpp"
#include "process/node.hpp"

namespace dockrock {

// Makes the call once `room` has taken what this node will hold of it at once: the copies of a change on its way, or of
// the document on its way back. 503 where that is not left for half a second. `room` is the caller's until the answer
// has been written.
auto node_call(Node& node, Call call, MemoryReservation& room) -> awaitable<CallDone>;

}  // namespace dockrock

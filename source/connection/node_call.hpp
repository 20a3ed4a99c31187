#pragma once
// Operator calls to the control state, bounded by the node's memory budget. docs/CAPACITY.md.
#include "base/memory_budget.hpp"
#include "process/node.hpp"

namespace dockrock {

// Makes the call once `room` has reserved the memory that the node will hold for it at a time: the copies of a change,
// or of the document that is returned. 503 if that much stays unavailable for half a second. The caller keeps `room`
// until the response has been written.
auto node_call(Node& node, Call call, MemoryReservation& room) -> awaitable<CallDone>;

}  // namespace dockrock

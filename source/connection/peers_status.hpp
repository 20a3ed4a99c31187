#pragma once
// The connections to other nodes, for the status document. docs/operators.md.
#include "base/json_structs.hpp"
#include "process/transport.hpp"

namespace dockrock {

auto write_peers(Transport& transport, Microseconds now) -> json::array;

}  // namespace dockrock

#pragma once
// One node as a program: settings, log, start, run. docs/design.md sections 1 and 13.
#include "process/node.hpp"

namespace dockrock {

struct NodeProgram {
    // Called at the start and again for each reload; may set the fields below.
    std::function<Problems(NodeSettings&)> read;
    std::string settings_file;
    bool check_only = false;
    WireProtocol const* form = nullptr;
};

// The exit status.
auto run_node(NodeProgram& program) -> int;

}  // namespace dockrock

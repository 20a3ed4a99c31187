#pragma once
// Runs a node as a program: settings, log, start, run. docs/design.md sections 1 and 13.
#include "process/node.hpp"

namespace dockrock {

struct NodeProgram {
    // Reads the settings, at the start and at each reload; may set the fields below.
    std::function<Problems(NodeSettings&)> read;
    std::string settings_file;
    bool check_only = false;
    WireProtocol const* protocol = nullptr;
};

// Starts the node and runs it until it stops; ends the process with the exit status.
auto run_node(NodeProgram& program) -> int;

}  // namespace dockrock

#pragma once
// Applies an operator's change to the document of a partition. docs/design.md section 7.
#include "consensus/partition.hpp"

namespace dockrock {

// Replaces the configuration; operation "patch": applies a JSON Patch to it.
auto apply_configuration(Copy const& current, Call const& call) -> ChangeResult;
// Merges the change into the document of a service partition: the weights of each service.
auto apply_service(Copy const& current, Call const& call) -> ChangeResult;

}  // namespace dockrock

#pragma once
// What an operator's change makes of a part's document. docs/design.md section 7.
#include "consensus/partition.hpp"

namespace dockrock {

auto apply_configuration(Copy const& current, Call const& call) -> ChangeResult;
// A service part's document: the weights named for each service.
auto apply_service(Copy const& current, Call const& call) -> ChangeResult;

}  // namespace dockrock

#pragma once
// What a change of the configuration would move. docs/design.md section 7.1.
#include "sequence/configuration.hpp"

namespace dockrock {

// Where the parts stand now; as a node's status gives it.
struct PlanPart {
    std::string name;
    std::string primary;
    std::vector<std::string> understudies;
};

// An object with the lists models, kinds, mappings, limits, tenants, keys,
// walls and parts; each names what is added, removed or changed.
auto plan_change(
    CheckedConfiguration const& before, CheckedConfiguration const& after, std::vector<PlanPart> const& parts)
    -> json::object;

// The plan for people, a line for each thing that moves.
auto plan_text(json::object const& plan) -> std::string;

}  // namespace dockrock

#pragma once
// What a change of the configuration would move. docs/design.md section 7.1.
#include "sequence/configuration.hpp"

namespace dockrock {

// Where the partitions stand now; as a node's status gives it.
struct PlanPartition {
    std::string name;
    std::string leader;
    std::vector<std::string> followers;
};

// An object with the lists models, kinds, mappings, limits, tenants, keys,
// walls and partitions; each names what is added, removed or changed.
auto plan_change(
    CheckedConfiguration const& before, CheckedConfiguration const& after, std::vector<PlanPartition> const& partitions)
    -> json::object;

// The plan for people, a line for each thing that moves.
auto plan_text(json::object const& plan) -> std::string;

}  // namespace dockrock

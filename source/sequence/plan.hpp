#pragma once
// Dry run of a configuration change: lists what it would change. docs/design.md section 7.1.
#include "sequence/configuration.hpp"

namespace dockrock {

// A partition's current leader and followers, as a node's status reports them.
struct PlanPartition {
    std::string name;
    std::string leader;
    std::vector<std::string> followers;
};

// An object with the lists models, kinds, mappings, limits, tenants, keys, walls and partitions; each item is
// added, removed or changed.
auto plan_change(
    CheckedConfiguration const& before, CheckedConfiguration const& after, std::vector<PlanPartition> const& partitions)
    -> json::object;

// The plan as text for people, one line for each change.
auto plan_text(json::object const& plan) -> std::string;

}  // namespace dockrock

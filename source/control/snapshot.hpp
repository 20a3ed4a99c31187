#pragma once
// The state that inference requests are interpreted with: built from a node's views of
// the partitions, immutable, replaced as a whole. docs/design.md section 14.
#include "control/control.hpp"
#include "control/replica_weights.hpp"
#include "control/overdue_check.hpp"
#include "sequence/rules.hpp"
#include "ticket/replica_load_table.hpp"

namespace dockrock {

struct Snapshot {
    std::shared_ptr<Rules const> rules;
    std::size_t document_bytes = 0;  // size of the configuration document
    ReplicaList list;
    std::map<std::string, std::string> target_weights;
    std::map<std::string, std::int64_t> target_versions;  // by model, for models with a target version
    std::map<std::string, VersionTimes> version_times;    // of these, since when this node or others know them
    WeightsStates replica_weights;                        // of the listed replicas
    std::set<std::string> resting;
    OverdueCheck overdue_check;  // checked before a request is sent to a replica

    auto target_version(std::string const& model) const -> std::int64_t {
        auto const found = target_versions.find(model);
        return found == target_versions.end() ? first_version : found->second;
    }
};
using SnapshotPointer = std::shared_ptr<Snapshot const>;

// Unchanged rules are taken over from `old` without parsing. With `form` the document is in a relaying platform's
// format.
auto make_snapshot(Control const& control, Snapshot const& old, DocumentFormat const* form = nullptr)
    -> std::shared_ptr<Snapshot>;

// Parses the weights states that a leader published for its replicas; empty if the text is invalid.
auto read_weights_states(std::string const& text) -> WeightsStates;

}  // namespace dockrock

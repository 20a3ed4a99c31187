#pragma once
// What tickets are read against: made from a node's news, immutable, swapped
// whole. docs/design.md section 14.
#include "control/control.hpp"
#include "control/replica_weights.hpp"
#include "control/overdue_check.hpp"
#include "sequence/rules.hpp"
#include "ticket/replica_load_table.hpp"

namespace dockrock {

struct Snapshot {
    std::shared_ptr<Rules const> rules;
    std::size_t document_bytes = 0;  // of the configuration as it was given
    ReplicaList list;
    std::map<std::string, std::string> target_weights;
    std::map<std::string, std::int64_t> target_versions;  // by model, where a version was named
    std::map<std::string, VersionTimes> named;            // of these, since when this node or others knew
    WeightsStates replica_weights;                        // of the replicas listed
    std::set<std::string> resting;
    OverdueCheck overdue_check;  // for the check of what is written

    auto target_version(std::string const& model) const -> std::int64_t {
        auto const found = target_versions.find(model);
        return found == target_versions.end() ? first_version : found->second;
    }
};
using SnapshotPointer = std::shared_ptr<Snapshot const>;

// What did not change since `old` is taken over from it unread.
auto make_snapshot(Control const& control, Snapshot const& old, DocumentFormat const* form = nullptr)
    -> std::shared_ptr<Snapshot>;

// An leader's words of its replicas; none where the text can't be read.
auto read_weights_states(std::string const& text) -> WeightsStates;

}  // namespace dockrock

#pragma once
// What tickets are read against: made from a node's news, immutable, swapped
// whole. docs/design.md section 14.
#include "process/machine/control.hpp"
#include "sequence/rules.hpp"
#include "ticket/burden.hpp"

namespace dockrock {

struct Snapshot {
    std::shared_ptr<Rules const> rules;
    ReplicaList list;
    std::map<std::string, std::string> target_weights;
    std::set<std::string> resting;
};
using SnapshotPointer = std::shared_ptr<Snapshot const>;

// What did not change since `old` is taken over from it unread.
auto make_snapshot(Control const& control, Snapshot const& old, DocumentForm const* form = nullptr) -> std::shared_ptr<Snapshot>;

}  // namespace dockrock

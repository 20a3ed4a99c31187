#pragma once
// What a node remembers of a partition in its life, for the checks of its terms and of what is in
// force; no decision rests on it but to hold back. docs/consensus.md section 5.
#include "base/invariant_checks.hpp"
#include "consensus/partition.hpp"
#include "control/partition_view.hpp"

namespace dockrock {

struct PartitionWatch {
    std::uint64_t highest_term = 0;
    Sequence in_force;
    std::uint64_t digest = 0;                            // of the document of that sequence
    char const* document = nullptr;                      // where it lay: the same place holds the same text
    std::uint64_t compared_term = 0;                     // under which the leader's copy was compared with it
    Microseconds other_holder_at = -3'600 * one_second;  // another than this node was last known to lead

    // After anything happened; false where nothing may be told of the partition by this node.
    auto look(Partition const& partition, PartitionView const& view, std::string const& self, Microseconds now) -> bool;

   private:
    auto content_kept(Partition const& partition, PartitionView const& view, bool leased) -> bool;
};

}  // namespace dockrock

#pragma once
// Tracks a partition since the process started, to check invariants of its terms and of its document.
// A failed check only keeps the node from publishing. docs/consensus.md section 5.
#include "base/invariant_checks.hpp"
#include "consensus/partition.hpp"
#include "control/partition_view.hpp"

namespace dockrock {

struct PartitionWatch {
    std::uint64_t highest_term = 0;
    Sequence in_force;
    std::uint64_t digest = 0;                            // of the document with that sequence
    char const* document = nullptr;                      // its address: the same address means the same text
    std::uint64_t compared_term = 0;                     // the term in which the leader's copy was compared with it
    Microseconds other_holder_at = -3'600 * one_second;  // when another node was last known as leader

    // To be called after each event; false if this node must not publish the partition.
    auto check(Partition const& partition, PartitionView const& view, std::string const& self, Microseconds now)
        -> bool;

   private:
    auto content_unchanged(Partition const& partition, PartitionView const& view, bool leased) -> bool;
};

}  // namespace dockrock

#pragma once
// The state of a partition on disk, as a snapshot and as log entries.
// docs/design.md sections 5 and 6.
#include "base/messages.hpp"

namespace dockrock {

// Consensus state, in each save of a partition. Only what is saved survives a restart (design 6).
struct Votes {
    Record decided;
    Ballot promised;
    Ballot accepted_ballot;
    std::optional<Record> accepted;
    std::uint64_t sealed = 0;  // as member of a group of this or an earlier term, the node accepts no more changes
};
// One save: the new votes, and what changed of the copy and the claims.
struct SavedPartition {
    int partition = 0;
    Votes votes;
    std::optional<Copy> copy;          // the whole copy, where it changed
    std::optional<CopyChange> change;  // or its difference from the copy saved before
    std::string claims;                // claim lines since the last save (design 10.5),
    bool claims_whole = false;         // or all of them
};

struct IdentifiedMessage {
    std::string identity;
    Message message;
};

// A request to write to the disk; the messages in `after` are sent only once it is synced.
struct Save {
    std::uint64_t token = 0;
    SavedPartition saved;
    std::vector<IdentifiedMessage> after;
    std::optional<Sequence> copy_sequence;
};

// Merges a later save of one partition into its state; returns false as below.
auto merge_saved(SavedPartition& into, SavedPartition const& saved) -> bool;

// Merges a later save into the state of all partitions. Returns false and leaves that
// partition's state unmodified where the save holds a change to a copy that is not there.
auto take_saved(std::vector<SavedPartition>& held, SavedPartition const& saved) -> bool;

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(dockrock::Votes, decided, promised, accepted_ballot, accepted, sealed);
BOOST_HANA_ADAPT_STRUCT(dockrock::SavedPartition, partition, votes, copy, change, claims, claims_whole);

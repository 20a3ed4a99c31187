#pragma once
// What a partition keeps on disk, as a whole and as entries of a log.
// docs/design.md sections 5 and 6.
#include "base/messages.hpp"

namespace dockrock {

// What is on disk for a partition; nothing else survives (design 6).
struct Votes {
    Record decided;
    Ballot promised;
    Ballot accepted_ballot;
    std::optional<Record> accepted;
    std::uint64_t sealed = 0;  // this node takes no further partition as member of groups of terms up to here
};
struct SavedPartition {
    int partition = 0;
    Votes votes;
    std::optional<Copy> copy;          // only where it changed
    std::optional<CopyChange> change;  // or how it follows from the copy saved before
    std::string claims;                // lines that came since (design 10.5)
    bool claims_whole = false;         // or all there are
};

struct IdentifiedMessage {
    std::string identity;
    Message message;
};

// Written through to the disk; `after` is sent only once it is synced.
struct Save {
    std::uint64_t token = 0;
    SavedPartition saved;
    std::vector<IdentifiedMessage> after;
    std::optional<Sequence> copy_sequence;
};

// Brings what the disk holds of one partition up to a later save of it; false as below.
auto merge_saved(SavedPartition& into, SavedPartition const& saved) -> bool;

// Brings what the disk holds up to a later save. False, and nothing is changed, where
// that save holds a change of a copy that is not held.
auto take_saved(std::vector<SavedPartition>& held, SavedPartition const& saved) -> bool;

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(dockrock::Votes, decided, promised, accepted_ballot, accepted, sealed);
BOOST_HANA_ADAPT_STRUCT(dockrock::SavedPartition, partition, votes, copy, change, claims, claims_whole);

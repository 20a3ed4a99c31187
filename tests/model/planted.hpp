#pragma once
// Faults that the model's wrapper of the machines puts in on purpose: each one
// breaks an invariant, and shows that the check of it bites.
#include <array>
#include <optional>
#include <string_view>

#include "consensus/partition.hpp"

namespace dockrock::model {

enum class Planted : int {
    none,
    acknowledged_before_sync,       // a follower answers an append before its disk has it
    follower_not_asked,             // the leader takes its followers' copies for synced at once
    vote_while_granting,            // a voter takes part in a ballot while its grant lives
    lease_longer_than_grant,        // the leader counts its lease longer than the voters do
    lease_from_arrival,             // counted from the answer, not from before the question
    restarted_voter_does_not_wait,  // a grant given before a restart is forgotten at once
    promises_not_saved,             // votes do not reach the disk
    lower_offer_taken,              // a sealed copy of a lower ballot replaces that of a higher one
    new_member_not_given,           // the sealed copy is held for taken without an answer
    seal_forgotten,                 // a leader goes on acknowledging under a term that it sealed
    outcomes_dropped,               // a new leader does not know what was acknowledged before
    condition_ignored,              // a change is made whatever its base
    answers_without_lease,          // a leader goes on without the voters' grants
    old_copy_served,                // a new leader gives out the copy before the newest
    group_too_small,                // a record names one member too few
    copy_kept_in_memory,            // saves leave the copy out
};

inline constexpr auto planted_names = std::to_array<std::string_view>(
    {"none", "acknowledged-before-sync", "follower-not-asked", "vote-while-granting", "lease-longer-than-grant",
     "lease-from-arrival", "restarted-voter-does-not-wait", "promises-not-saved", "lower-offer-taken",
     "new-member-not-given", "seal-forgotten", "outcomes-dropped", "condition-ignored", "answers-without-lease",
     "old-copy-served", "group-too-small", "copy-kept-in-memory"});

auto planted_named(std::string_view name) -> std::optional<Planted>;

// Before the machine gets a message; may change both.
auto plant_before(Planted planted, Partition& partition, Context const& context, Message& message) -> void;
// After the machine did anything.
auto plant_after(Planted planted, Partition& partition, Context& context, Votes const& votes_before) -> void;
// What the disk is given.
auto plant_in_save(Planted planted, SavedPartition& saved, SavedPartition const& held) -> void;
// What an operator asks.
auto plant_in_call(Planted planted, Call& call) -> void;

}  // namespace dockrock::model

#include "planted.hpp"

#include <algorithm>

namespace dockrock::model {

namespace {

auto was_elected(Partition const& partition, Context const& context, Votes const& before) -> bool {
    return partition.is_leader(context.self) && partition.votes.decided.term > before.decided.term;
}

auto tell_before_sync(Context& context) -> void {
    for (auto& save : context.saves) {
        for (auto const& item : save.after)
            if (std::holds_alternative<Appended>(item.message)) context.sends.push_back(item);
    }
}

auto take_copies_for_given(Partition& partition, Context& context) -> void {
    auto& proposal = *partition.proposal;
    for (auto const& follower : proposal.value.followers) proposal.taken.insert(follower);
    proposal.taken.insert(proposal.value.leader);
    std::erase_if(context.sends, [](auto const& item) { return std::holds_alternative<CopyOffer>(item.message); });
}

auto take_followers_for_synced(Partition& partition) -> void {
    for (auto& [identity, follower] : partition.progress)
        follower.synced_sequence = std::max(follower.synced_sequence, partition.replicating.sequence);
}

}  // namespace

auto planted_named(std::string_view name) -> std::optional<Planted> {
    auto const found = std::find(planted_names.begin(), planted_names.end(), name);
    if (found == planted_names.end()) return std::nullopt;
    return static_cast<Planted>(found - planted_names.begin());
}

auto plant_before(Planted planted, Partition& partition, Context const& context, Message& message) -> void {
    auto const ballot = std::holds_alternative<Prepare>(message) || std::holds_alternative<Accept>(message);
    if (planted == Planted::vote_while_granting && ballot) partition.granted_until = 0;
    if (planted == Planted::restarted_voter_does_not_wait) partition.vote_from = 0;
    if (planted == Planted::lower_offer_taken && std::holds_alternative<CopyOffer>(message)) {
        partition.votes.promised = {};
        partition.proposal.reset();
    }
    if (planted != Planted::lease_from_arrival) return;
    if (auto* grant = std::get_if<LeaseGrant>(&message)) grant->asked_at = context.now;
}

auto plant_after(Planted planted, Partition& partition, Context& context, Votes const& before) -> void {
    auto const leads = partition.is_leader(context.self);
    auto& proposal = partition.proposal;
    using Stage = Partition::Proposal::Stage;
    switch (planted) {
        case Planted::acknowledged_before_sync: return tell_before_sync(context);
        case Planted::follower_not_asked:
            if (leads && partition.in_flight) take_followers_for_synced(partition);
            return;
        case Planted::new_member_not_given:
            if (proposal && proposal->stage == Stage::copying) take_copies_for_given(partition, context);
            return;
        case Planted::seal_forgotten: partition.votes.sealed = 0; return;
        case Planted::outcomes_dropped:
            if (was_elected(partition, context, before)) partition.copy.outcomes.clear();
            return;
        case Planted::answers_without_lease:
            if (leads)
                for (auto const& voter : partition.votes.decided.voters) partition.grants[voter] = context.now;
            return;
        case Planted::old_copy_served:
            if (was_elected(partition, context, before) && partition.committed)
                partition.committed->sequence.number = 0;
            return;
        case Planted::group_too_small:
            if (proposal && proposal->stage == Stage::preparing) proposal->wanted.followers.clear();
            return;
        default: return;
    }
}

auto plant_in_save(Planted planted, SavedPartition& saved, SavedPartition const& held) -> void {
    if (planted == Planted::copy_kept_in_memory) {
        saved.copy.reset();
        saved.change.reset();
    }
    if (planted != Planted::promises_not_saved || saved.votes.decided.term != held.votes.decided.term) return;
    saved.votes.promised = held.votes.promised;
    saved.votes.accepted_ballot = held.votes.accepted_ballot;
    saved.votes.accepted = held.votes.accepted;
}

auto plant_in_call(Planted planted, Call& call) -> void {
    if (planted == Planted::condition_ignored) call.if_match.clear();
}

}  // namespace dockrock::model

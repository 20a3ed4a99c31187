// Proposing the next record of a partition, by Paxos over its voters. docs/design.md 5.2.
#include <algorithm>

#include "consensus/partition.hpp"

namespace dockrock {

namespace {
auto members_of(Record const& record) -> std::vector<std::string> {
    auto members = record.followers;
    members.push_back(record.leader);
    return members;
}
}  // namespace

auto Partition::propose(Context& context, Record wanted) -> void {
    highest_round = std::max(highest_round, votes.promised.round) + 1;
    Proposal fresh;
    fresh.ballot = Ballot{highest_round, context.self};
    wanted.term = votes.decided.term + 1;
    fresh.wanted = std::move(wanted);
    fresh.started = fresh.sent = context.now;
    proposal = std::move(fresh);
    send_proposal(context);
}

// Sends the message of the current stage to all who have not answered it; repeated in case of loss.
auto Partition::send_proposal(Context& context) -> void {
    proposal->sent = context.now;
    auto const term = votes.decided.term + 1;
    if (proposal->stage == Proposal::Stage::copying) {
        auto const offer =
            CopyOffer{index, votes.decided, proposal->ballot, copy, claims.write_all(context.now, false)};
        for (auto const& member : members_of(proposal->value))
            if (member != context.self && !proposal->taken.contains(member)) context.sends.push_back({member, offer});
        return;
    }
    for (auto const& voter : votes.decided.voters) {
        if (proposal->stage == Proposal::Stage::preparing && !proposal->promises.contains(voter))
            context.sends.push_back({voter, Prepare{index, term, proposal->ballot, votes.decided}});
        if (proposal->stage == Proposal::Stage::accepting && !proposal->accepts.contains(voter))
            context.sends.push_back({voter, Accept{index, term, proposal->ballot, proposal->value, votes.decided}});
    }
}

auto Partition::on(Context& context, std::string const& from, Promise const& message) -> void {
    if (!proposal || proposal->stage != Proposal::Stage::preparing || message.ballot != proposal->ballot) return;
    if (message.term != votes.decided.term + 1 || !contains(votes.decided.voters, from)) return;
    proposal->promises.insert(from);
    if (message.accepted && (!proposal->prior_accepted || message.accepted_ballot > proposal->prior_ballot)) {
        proposal->prior_accepted = message.accepted;
        proposal->prior_ballot = message.accepted_ballot;
    }
    if (proposal->promises.size() < majority_of(votes.decided.voters.size())) return;
    if (proposal->prior_accepted) {
        proposal->value = *proposal->prior_accepted;
        begin_accepting(context);
    } else {
        proposal->value = proposal->wanted;
        begin_copying(context);
    }
}

// Before any voter is asked to accept, the old term is sealed on disk and all members of
// the new group hold the sealed copy: nothing can be acknowledged that the new group lacks.
auto Partition::begin_copying(Context& context) -> void {
    if (votes.decided.term == 0) return begin_accepting(context);
    proposal->stage = Proposal::Stage::copying;
    proposal->sent = proposal->copying_since = context.now;
    votes.sealed = std::max(votes.sealed, votes.decided.term);
    claims.drop_unsaved();
    proposal->seal_token = save(context, true, {});
    send_proposal(context);  // the copy is sent while the seal is synced; accepting waits for both
    copies_taken(context);
}

auto Partition::on(Context& context, std::string const& from, CopyOffer const& message) -> void {
    learn(context, message.record);
    if (!healthy || votes.decided != message.record) return;
    // Among several proposers the copy of the highest ballot is kept: a late offer of a lower one would replace the
    // copy that a decided record relies on (design 5.2). So an offer also counts as a promise, in the same save.
    auto const least = proposal ? std::max(votes.promised, proposal->ballot) : votes.promised;
    auto const term = votes.decided.term;
    if (message.ballot < least) {
        context.sends.push_back({from, Refusal{index, term + 1, least, votes.decided}});
        return;
    }
    votes.promised = message.ballot;
    votes.sealed = std::max(votes.sealed, term);
    if (proposal && proposal->ballot.node != from) proposal.reset();
    copy = message.copy;
    answer_outcomes_unknown(context);  // this node's own changes as leader may not be in it
    claims.drop_unsaved();
    claims.take(read_claims(message.claims), context.now, true);
    save(context, true, {{from, CopyTaken{index, term, message.ballot}}});
    context.saves.back().saved.claims = message.claims;
}

auto Partition::on(Context& context, std::string const& from, CopyTaken const& message) -> void {
    if (!proposal || proposal->stage != Proposal::Stage::copying || message.ballot != proposal->ballot) return;
    if (message.term != votes.decided.term) return;
    silent_since.erase(from);
    proposal->taken.insert(from);
    copies_taken(context);
}

auto Partition::copies_taken(Context& context) -> void {
    auto const members = members_of(proposal->value);
    auto const all = std::all_of(members.begin(), members.end(), [&](auto const& member) {
        return member == context.self || proposal->taken.contains(member);
    });
    if (!all || !proposal->seal_synced) return;
    proposal->copied = true;
    begin_accepting(context);
}

// No voter was asked to accept yet, so a member that stays silent may still be replaced under
// the same ballot. Members that answered, even late, are preferred to ones that must be asked.
auto Partition::replace_silent_members(Context& context) -> void {
    proposal->copying_since = context.now;
    for (auto const& member : proposal->value.followers) proposal->replaced_members.insert(member);
    std::erase_if(proposal->replaced_members, [&](auto const& member) { return proposal->taken.contains(member); });
    if (proposal->replaced_members.empty()) return;
    for (auto const& member : proposal->replaced_members) silent_since[member] = context.now;
    auto from = proposal->value;
    from.followers.assign(proposal->taken.begin(), proposal->taken.end());
    for (auto const& member : proposal->value.followers) from.followers.push_back(member);
    proposal->value.followers = followers_for(context, from, proposal->replaced_members);
    copies_taken(context);
    if (proposal->stage == Proposal::Stage::copying) send_proposal(context);
}

auto Partition::begin_accepting(Context& context) -> void {
    proposal->stage = Proposal::Stage::accepting;
    send_proposal(context);
}

auto Partition::on(Context& context, std::string const& from, Accepted const& message) -> void {
    if (!proposal || proposal->stage != Proposal::Stage::accepting || message.ballot != proposal->ballot) return;
    if (message.term != votes.decided.term + 1 || !contains(votes.decided.voters, from)) return;
    proposal->accepts.insert(from);
    if (proposal->accepts.size() < majority_of(votes.decided.voters.size())) return;
    auto const record = proposal->value;
    auto const all_hold_it = proposal->copied && record.leader == context.self;
    std::set<std::string> recipients(votes.decided.voters.begin(), votes.decided.voters.end());
    recipients.insert(record.voters.begin(), record.voters.end());
    for (auto const& member : members_of(record)) recipients.insert(member);
    for (auto const& member : members_of(votes.decided)) recipients.insert(member);
    learn(context, record);
    if (all_hold_it) {  // committed already: freshness proofs need not wait for the new term's first replication
        committed = copy;
        for (auto& [identity, follower] : progress) follower.synced_sequence = copy.sequence;
        claims.whole_needed = false;
    }
    for (auto const& identity : recipients)
        if (identity != context.self) context.sends.push_back({identity, Decided{index, record}});
}

}  // namespace dockrock

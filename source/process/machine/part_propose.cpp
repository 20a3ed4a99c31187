// Proposing the next record of a part. docs/design.md 5.2.
#include <algorithm>

#include "process/machine/part.hpp"

namespace dockrock {

namespace {
auto contains(std::vector<std::string> const& list, std::string const& item) -> bool {
    return std::find(list.begin(), list.end(), item) != list.end();
}
auto members_of(Record const& record) -> std::vector<std::string> {
    auto members = record.understudies;
    members.push_back(record.primary);
    return members;
}
}  // namespace

auto Part::propose(Context& context, Record wanted) -> void {
    highest_round = std::max(highest_round, votes.promised.round) + 1;
    Proposal fresh;
    fresh.ballot = Ballot{highest_round, context.self};
    wanted.epoch = votes.decided.epoch + 1;
    fresh.wanted = std::move(wanted);
    fresh.started = fresh.sent = context.now;
    proposal = std::move(fresh);
    send_proposal(context);
}

// To all who have not answered yet; again where a message or answer is lost.
auto Part::send_proposal(Context& context) -> void {
    proposal->sent = context.now;
    auto const epoch = votes.decided.epoch + 1;
    if (proposal->stage == Proposal::Stage::copying) {
        auto const offer = CopyOffer{index, votes.decided, proposal->ballot, copy, claims.whole(context.now, false)};
        for (auto const& member : members_of(proposal->value))
            if (member != context.self && !proposal->taken.contains(member)) context.sends.push_back({member, offer});
        return;
    }
    for (auto const& voter : votes.decided.voters) {
        if (proposal->stage == Proposal::Stage::preparing && !proposal->promises.contains(voter))
            context.sends.push_back({voter, Prepare{index, epoch, proposal->ballot, votes.decided}});
        if (proposal->stage == Proposal::Stage::accepting && !proposal->accepts.contains(voter))
            context.sends.push_back({voter, Accept{index, epoch, proposal->ballot, proposal->value, votes.decided}});
    }
}

auto Part::on(Context& context, std::string const& from, Promise const& message) -> void {
    if (!proposal || proposal->stage != Proposal::Stage::preparing || message.ballot != proposal->ballot) return;
    if (message.epoch != votes.decided.epoch + 1 || !contains(votes.decided.voters, from)) return;
    proposal->promises.insert(from);
    if (message.accepted && (!proposal->found || message.accepted_ballot > proposal->best)) {
        proposal->found = message.accepted;
        proposal->best = message.accepted_ballot;
    }
    if (proposal->promises.size() < majority_of(votes.decided.voters.size())) return;
    if (proposal->found) {
        proposal->value = *proposal->found;
        begin_accepting(context);
    } else {
        proposal->value = proposal->wanted;
        begin_copying(context);
    }
}

// The old epoch is sealed on disk, and all members of the successor hold the
// sealed copy, before any acceptance: nothing can be acknowledged that the new
// group does not hold.
auto Part::begin_copying(Context& context) -> void {
    if (votes.decided.epoch == 0) return begin_accepting(context);
    proposal->stage = Proposal::Stage::copying;
    proposal->sent = proposal->copying_since = context.now;
    votes.sealed = std::max(votes.sealed, votes.decided.epoch);
    claims.drop_fresh();
    proposal->seal_token = save(context, true, {});
    send_proposal(context);  // the copy travels while the seal is synced; acceptances wait for both
    copies_taken(context);
}

auto Part::on(Context& context, std::string const& from, CopyOffer const& message) -> void {
    learn(context, message.record);
    if (!healthy || votes.decided != message.record) return;
    // Of several proposers the highest ballot's copy stays: a late offer of a lower one would undo what a decided
    // record rests on (design 5.2). So the offer is promised to as well, on disk, by the same save.
    auto const least = proposal ? std::max(votes.promised, proposal->ballot) : votes.promised;
    auto const epoch = votes.decided.epoch;
    if (message.ballot < least) {
        context.sends.push_back({from, Refusal{index, epoch + 1, least, votes.decided}});
        return;
    }
    votes.promised = message.ballot;
    votes.sealed = std::max(votes.sealed, epoch);
    if (proposal && proposal->ballot.node != from) proposal.reset();
    copy = message.copy;
    claims.drop_fresh();
    claims.take(read_claims(message.claims), context.now, true);
    save(context, true, {{from, CopyTaken{index, epoch, message.ballot}}});
    context.saves.back().saved.claims = message.claims;
}

auto Part::on(Context& context, std::string const& from, CopyTaken const& message) -> void {
    if (!proposal || proposal->stage != Proposal::Stage::copying || message.ballot != proposal->ballot) return;
    if (message.epoch != votes.decided.epoch) return;
    proposal->taken.insert(from);
    copies_taken(context);
}

auto Part::copies_taken(Context& context) -> void {
    auto const members = members_of(proposal->value);
    auto const all = std::all_of(members.begin(), members.end(), [&](auto const& member) {
        return member == context.self || proposal->taken.contains(member);
    });
    if (!all || !proposal->seal_synced) return;
    proposal->copied = true;
    begin_accepting(context);
}

// Nothing was asked for acceptance yet, so a partner that stays silent may
// still be exchanged for another under the same ballot; one that answers late
// comes before any that would have to be asked.
auto Part::pass_over(Context& context) -> void {
    proposal->copying_since = context.now;
    for (auto const& member : proposal->value.understudies) proposal->passed_over.insert(member);
    std::erase_if(proposal->passed_over, [&](auto const& member) { return proposal->taken.contains(member); });
    if (proposal->passed_over.empty()) return;
    auto from = proposal->value;
    from.understudies.assign(proposal->taken.begin(), proposal->taken.end());
    for (auto const& member : proposal->value.understudies) from.understudies.push_back(member);
    proposal->value.understudies = understudies_for(context, from, proposal->passed_over);
    copies_taken(context);
    if (proposal->stage == Proposal::Stage::copying) send_proposal(context);
}

auto Part::begin_accepting(Context& context) -> void {
    proposal->stage = Proposal::Stage::accepting;
    send_proposal(context);
}

auto Part::on(Context& context, std::string const& from, Accepted const& message) -> void {
    if (!proposal || proposal->stage != Proposal::Stage::accepting || message.ballot != proposal->ballot) return;
    if (message.epoch != votes.decided.epoch + 1 || !contains(votes.decided.voters, from)) return;
    proposal->accepts.insert(from);
    if (proposal->accepts.size() < majority_of(votes.decided.voters.size())) return;
    auto const record = proposal->value;
    auto const all_hold_it = proposal->copied && record.primary == context.self;
    std::set<std::string> told(votes.decided.voters.begin(), votes.decided.voters.end());
    told.insert(record.voters.begin(), record.voters.end());
    for (auto const& member : members_of(record)) told.insert(member);
    learn(context, record);
    if (all_hold_it) {  // committed as it stands: proofs need not wait for the new epoch's first flight
        committed = copy;
        for (auto& [identity, follower] : followers) follower.has = copy.sequence;
        claims.whole_needed = false;
    }
    for (auto const& identity : told)
        if (identity != context.self) context.sends.push_back({identity, Decided{index, record}});
}

}  // namespace dockrock

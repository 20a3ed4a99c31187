// Proposing the next record of a part. docs/design.md 5.2.
#include <algorithm>

#include "process/machine/part.hpp"

namespace dockrock {

namespace {
auto contains(std::vector<std::string> const& list, std::string const& item) -> bool {
    return std::find(list.begin(), list.end(), item) != list.end();
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
        context.sends.push_back(
            {proposal->value.understudy,
             CopyOffer{index, votes.decided.epoch, proposal->ballot, copy, claims.whole(context.now, false)}});
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

// The old epoch is sealed on disk before the successor's partner gets its
// copy: nothing can be acknowledged that the new pair does not hold.
auto Part::begin_copying(Context& context) -> void {
    if (votes.decided.epoch == 0) return begin_accepting(context);
    proposal->stage = Proposal::Stage::copying;
    proposal->sent = context.now;
    votes.sealed = std::max(votes.sealed, votes.decided.epoch);
    claims.drop_fresh();
    proposal->seal_token = save(context, true, {});
    send_proposal(context);  // the copy travels while the seal is synced; acceptances wait for both
}

auto Part::on(Context& context, std::string const& from, CopyOffer const& message) -> void {
    if (!healthy || message.epoch < votes.decided.epoch) return;
    if (message.epoch == votes.decided.epoch) votes.sealed = std::max(votes.sealed, message.epoch);
    if (proposal && proposal->ballot.node != from) proposal.reset();
    copy = message.copy;
    claims.drop_fresh();
    claims.take(read_claims(message.claims), context.now, true);
    save(context, true, {{from, CopyTaken{index, message.epoch, message.ballot}}});
    context.saves.back().saved.claims = message.claims;
}

auto Part::on(Context& context, std::string const& from, CopyTaken const& message) -> void {
    if (!proposal || proposal->stage != Proposal::Stage::copying || message.ballot != proposal->ballot) return;
    if (message.epoch != votes.decided.epoch || from != proposal->value.understudy) return;
    proposal->copy_taken = true;
    if (proposal->seal_synced) begin_accepting(context);
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
    auto const both_hold_it = proposal->copy_taken && proposal->seal_synced && record.primary == context.self;
    std::set<std::string> told(votes.decided.voters.begin(), votes.decided.voters.end());
    told.insert(record.voters.begin(), record.voters.end());
    told.insert(record.understudy);
    learn(context, record);
    if (both_hold_it) {  // committed as it stands: proofs need not wait for the new epoch's first flight
        committed = copy;
        understudy_has = copy.sequence;
        claims.whole_needed = false;
    }
    for (auto const& identity : told)
        if (identity != context.self) context.sends.push_back({identity, Decided{index, record}});
}

}  // namespace dockrock

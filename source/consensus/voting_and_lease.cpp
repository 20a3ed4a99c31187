// Voting on a partition's next record, and granting the leader's lease. docs/design.md 5.1 to 5.3.
#include <algorithm>

#include "consensus/partition.hpp"

namespace dockrock {

auto Partition::save(Context& context, bool with_copy, std::vector<IdentifiedMessage> after) -> std::uint64_t {
    SavedPartition state;
    if (with_copy) state.copy = copy;
    return queue_save(context, std::move(state), std::move(after));
}

// Writes the whole copy where the one last given to the disk is not the base of the change.
auto Partition::save_change(Context& context, std::optional<CopyChange> change, std::vector<IdentifiedMessage> after)
    -> std::uint64_t {
    if (!change || change->base != last_written) return save(context, true, std::move(after));
    SavedPartition state;
    state.change = std::move(change);
    return queue_save(context, std::move(state), std::move(after));
}

auto Partition::queue_save(Context& context, SavedPartition state, std::vector<IdentifiedMessage> after)
    -> std::uint64_t {
    Save request;
    request.token = context.random.next() | 1U;
    if (state.copy || state.change) request.copy_sequence = last_written = copy.sequence;
    request.saved = std::move(state);
    request.saved.partition = index;
    request.saved.votes = votes;
    request.after = std::move(after);
    auto& [since, pending] = saving[request.token];
    since = context.now;
    pending.after = request.after;
    pending.copy_sequence = request.copy_sequence;
    auto const token = request.token;
    context.saves.push_back(std::move(request));
    return token;
}

auto Partition::saved(Context& context, std::uint64_t token, bool ok) -> void {
    healthy = ok;
    auto const found = saving.find(token);
    // A failed save stays pending: it is reported again after everything was rewritten and synced (design 6).
    if (!ok || found == saving.end()) return;
    auto pending = std::move(found->second.second);
    saving.erase(found);
    if (pending.copy_sequence) synced = *pending.copy_sequence;  // saves complete in order
    for (auto& item : pending.after) context.sends.push_back(std::move(item));
    advance_commit(context);
    claims_saved(context, token);
    if (!proposal || proposal->stage != Proposal::Stage::copying || token != proposal->seal_token) return;
    proposal->seal_synced = true;
    copies_taken(context);
}

auto Partition::disk_late(Microseconds now) const -> bool {
    for (auto const& [token, entry] : saving)
        if (now - entry.first > times.disk_limit) return true;
    return false;
}

auto Partition::learn(Context& context, Record const& record) -> void {
    auto const blank = votes.decided.term == 0 && votes.decided.voters.empty();
    if (record.term < votes.decided.term || record.voters.empty()) return;
    if (record.term == votes.decided.term && !blank) return;
    auto const was_leader = is_leader(context.self);
    votes.decided = record;
    votes.promised = {};
    votes.accepted_ballot = {};
    votes.accepted.reset();
    proposal.reset();
    highest_round = 0;
    granted_until = 0;
    grants.clear();
    heard.clear();
    in_flight = false;
    reset_progress(context.now);
    leader_heard = context.now;
    rival_proposed_at = 0;
    lease_requested_at = 0;
    if (is_leader(context.self)) {
        if (!was_leader) leader_since = context.now;
    } else {
        step_down(context);
    }
    claims_under_new_record(context);
    save(context, false, {});
}

auto Partition::may_vote(Context& context, std::string const& from, std::uint64_t term, Record const& proof) -> bool {
    if (proof.term + 1 != term || !healthy) return false;
    learn(context, proof);
    auto const refuse = [&] {
        context.sends.push_back({from, Refusal{index, term, votes.promised, votes.decided}});
        return false;
    };
    if (votes.decided.term >= term) return refuse();
    if (votes.decided.voters != proof.voters || !contains(votes.decided.voters, context.self)) return false;
    if (context.now < vote_from && votes.decided.term > 0) return refuse();
    if (granted_until > context.now && granted_to != from) return refuse();
    return true;
}

auto Partition::on(Context& context, std::string const& from, Prepare const& message) -> void {
    auto const may = may_vote(context, from, message.term, message.proof);
    auto const& followers = votes.decided.followers;
    auto const place = std::find(followers.begin(), followers.end(), context.self);
    if (message.term == votes.decided.term + 1 && std::find(followers.begin(), place, from) != place)
        rival_proposed_at = context.now;
    if (!may) return;
    if (message.ballot < votes.promised) {
        context.sends.push_back({from, Refusal{index, message.term, votes.promised, votes.decided}});
        return;
    }
    votes.promised = message.ballot;
    save(context, false, {{from, Promise{index, message.term, message.ballot, votes.accepted_ballot, votes.accepted}}});
}

auto Partition::on(Context& context, std::string const& from, Accept const& message) -> void {
    if (!may_vote(context, from, message.term, message.proof)) return;
    if (message.ballot < votes.promised || message.record.term != message.term) {
        context.sends.push_back({from, Refusal{index, message.term, votes.promised, votes.decided}});
        return;
    }
    votes.promised = message.ballot;
    votes.accepted_ballot = message.ballot;
    votes.accepted = message.record;
    save(context, false, {{from, Accepted{index, message.term, message.ballot}}});
}

auto Partition::on(Context& context, std::string const& from, Refusal const& message) -> void {
    learn(context, message.decided);
    if (message.term == votes.decided.term + 1) highest_round = std::max(highest_round, message.promised.round);
    if (!proposal) return;
    proposal->refusals.insert(from);
    auto const count = votes.decided.voters.size();
    auto const hopeless = proposal->refusals.size() > count - majority_of(count);
    if (message.promised > proposal->ballot || (hopeless && proposal->stage == Proposal::Stage::preparing))
        proposal.reset();
}

auto Partition::on(Context& context, std::string const&, Decided const& message) -> void {
    learn(context, message.record);
}

// A voter that accepted a record for the next term grants no more leases: so a decided
// successor and a valid lease exclude each other (design 5.3).
auto Partition::on(Context& context, std::string const& from, LeaseRequest const& message) -> void {
    learn(context, message.record);
    if (votes.decided.term > message.record.term) {
        context.sends.push_back({from, Decided{index, votes.decided}});
        return;
    }
    if (votes.decided != message.record || from != votes.decided.leader || !healthy) return;
    if (votes.accepted || !contains(votes.decided.voters, context.self)) return;
    if (message.without_lease.value_or(false)) {  // a grant would only delay a successor (design 5.3)
        context.sends.push_back({from, LeaseGrant{index, message.record.term, message.asked_at, true}});
        return;
    }
    granted_until = context.now + times.grant_duration;
    granted_to = from;
    context.sends.push_back({from, LeaseGrant{index, message.record.term, message.asked_at, std::nullopt}});
}

auto Partition::on(Context& context, std::string const& from, LeaseGrant const& message) -> void {
    if (message.term != votes.decided.term || !is_leader(context.self) || message.asked_at > context.now) return;
    auto& answered = heard[from];
    answered = std::max(answered, message.asked_at);
    if (message.withheld.value_or(false)) {
        if (message.asked_at == lease_requested_at) lease_requested_at = 0;  // answered in time: ask again at once
        return;
    }
    auto& newest = grants[from];
    newest = std::max(newest, message.asked_at);
    advance_commit(context);
}

auto Partition::lease_until(std::string const& self) const -> Microseconds {
    return is_leader(self) ? lease_by(grants) : 0;
}

// The end of a lease that is based on answers to requests sent at these times; 0 where there are too few.
auto Partition::lease_by(std::map<std::string, Microseconds> const& answers) const -> Microseconds {
    std::vector<Microseconds> asked;
    for (auto const& voter : votes.decided.voters)
        if (auto const found = answers.find(voter); found != answers.end()) asked.push_back(found->second);
    auto const needed = blocking_of(votes.decided.voters.size());
    if (asked.size() < needed) return 0;
    std::sort(asked.begin(), asked.end(), std::greater<>());
    return asked[needed - 1] + times.lease_duration;
}

auto Partition::has_lease(std::string const& self, Microseconds now) const -> bool {
    return healthy && lease_until(self) > now && !disk_late(now);
}

}  // namespace dockrock

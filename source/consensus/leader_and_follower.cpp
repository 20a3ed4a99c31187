// Periodic work and replication at the leader and its followers. docs/design.md 5.4 to 5.6.
#include <algorithm>

#include "consensus/error_body.hpp"
#include "consensus/partition.hpp"

namespace dockrock {

namespace {
constexpr Microseconds waiter_limit = 3 * one_second;
constexpr auto proposal_jitter = std::uint64_t{60'000};  // microseconds, at most; so that ballots do not compete
constexpr auto outcome_unknown = std::string_view("outcome not known; ask again under the same change identity");
}  // namespace

// Answers 504 to all callers that wait for a commit.
auto Partition::answer_outcomes_unknown(Context& context) -> void {
    for (auto const& waiter : waiters)
        context.done.push_back({waiter.origin, waiter.token, 504, error_body(outcome_unknown), ""});
    waiters.clear();
}

auto Partition::step_down(Context& context) -> void {
    committed.reset();
    offered.reset();
    offered_change.reset();
    in_flight = false;
    answer_outcomes_unknown(context);
    for (auto const& item : queued)
        context.done.push_back(
            {item.origin, item.token, 503, error_body("the leader of this partition changed; nothing was changed"),
             ""});
    queued.clear();
}

auto Partition::expire_queued(Context& context, std::string_view reason) -> void {
    std::erase_if(queued, [&](auto const& item) {
        if (context.now - item.since <= max_queue_wait) return false;
        context.done.push_back({item.origin, item.token, 503, error_body(reason), ""});
        return true;
    });
}

auto Partition::expire_waiters(Context& context, std::string_view reason) -> void {
    std::erase_if(waiters, [&](auto const& waiter) {
        if (context.now - waiter.since <= waiter_limit) return false;
        context.done.push_back({waiter.origin, waiter.token, 504, error_body(reason), ""});
        return true;
    });
}

auto Partition::tick(Context& context) -> void {
    if (last_tick != 0 && context.now - last_tick > times.frozen_gap) {
        leader_heard = context.now;  // after a process pause, its own timers say nothing about other nodes
        for (auto& [identity, follower] : progress) follower.heard = context.now;
    }
    last_tick = context.now;
    if (!healthy || disk_late(context.now)) {
        if (is_leader(context.self) && !has_lease(context.self, context.now))
            expire_queued(context, "the leader's disk does not answer");
        expire_waiters(context, "outcome not known");
        return;
    }
    proposal_tick(context);
    tick_claims(context);
    if (is_leader(context.self)) leader_tick(context);
    else if (votes.decided.has_follower(context.self) && votes.decided.term > 0) follower_tick(context);
}

auto Partition::proposal_tick(Context& context) -> void {
    if (!proposal) return;
    if (context.now - proposal->started > times.proposal_limit) {
        proposal.reset();
        return;
    }
    if (proposal->stage == Proposal::Stage::copying && context.now - proposal->copying_since > times.copy_timeout)
        replace_silent_members(context);
    if (context.now - proposal->sent > times.resend_interval) send_proposal(context);
}

// A leader that has had no lease for the duration of a grant reports it, so that voters and followers can turn to
// another; once enough answers arrive in time, it asks for grants again.
auto Partition::ask_for_lease(Context& context) -> void {
    lease_requested_at = context.now;
    auto const lease_possible = recently_leased(context.now) || lease_by(heard) > context.now;
    auto const without = lease_possible ? std::nullopt : std::optional(true);
    for (auto const& voter : votes.decided.voters)
        context.sends.push_back({voter, LeaseRequest{index, votes.decided, context.now, without}});
    for (auto const& follower : votes.decided.followers)
        context.sends.push_back({follower, Heartbeat{index, votes.decided, copy.sequence, without}});
}

// Replicates the first copy of the term, until it is committed: the document taken over, under a new sequence.
auto Partition::open_term(Context& context) -> void {
    if (copy.sequence.term < votes.decided.term) {
        auto const fresh = Sequence{votes.decided.term, copy.sequence.number + 1};
        last_change = CopyChange{copy.sequence, fresh, text_digest(copy.document), {}, 0, {}};
        copy.sequence = fresh;
        save_change(context, last_change, {});
        replicate(context);
    } else if (!committed) {
        replicate(context);
    }
}

auto Partition::resend_replication(Context& context) -> void {
    if (!in_flight || !recently_leased(context.now) || context.now - replication_sent_at <= times.resend_interval)
        return;
    replication_sent_at = context.now;
    replication_sent = false;
    advance_commit(context);
}

// Proposes a new term where a member is lost, the term is sealed, the group can grow, the voters must change, or
// this leader could get no lease.
auto Partition::reconfigure_group(Context& context, bool leased) -> void {
    if (proposal) return;
    if (context.now - last_proposal_at <
        times.proposal_interval + static_cast<Microseconds>(context.random.below(proposal_jitter)))
        return;
    auto const& record = votes.decided;
    auto wanted = record;
    wanted.voters = renewed_voters(context);
    auto const lost = lost_followers(context);
    auto const too_few = leased && record.followers.size() + 1 < group_size();
    auto avoided = silent_members(context.now);
    avoided.insert(lost.begin(), lost.end());
    if (!lost.empty() || too_few) wanted.followers = followers_for(context, record, avoided);
    auto const grows = wanted.followers.size() > record.followers.size();
    auto const without_lease = !recently_leased(context.now);
    auto const voters_changed = wanted.voters != record.voters && leased;
    auto const is_sealed = votes.sealed >= record.term;
    if (lost.empty() && !grows && !is_sealed && !without_lease && !voters_changed) return;
    last_proposal_at = context.now;
    propose(context, wanted);
}

auto Partition::leader_tick(Context& context) -> void {
    if (context.now - lease_requested_at >= times.heartbeat_interval || lease_requested_at == 0) {
        ask_for_lease(context);
        if (committed && context.now - spares_announced_at > times.spare_interval) announce_to_spares(context);
    }
    auto const leased = has_lease(context.self, context.now);
    if (leased) leader_since = context.now;
    if (votes.sealed < votes.decided.term) {
        if (leased && !in_flight) open_term(context);
        resend_replication(context);
    }
    process_queued(context);
    expire_waiters(context, outcome_unknown);
    reconfigure_group(context, leased);
}

// Any follower may take over. They try in the order of the record, so that ballots do not
// compete; a follower that does not succeed delays the later ones only for a limited time.
auto Partition::follower_tick(Context& context) -> void {
    if (proposal) return;
    auto const& followers = votes.decided.followers;
    auto const place = std::find(followers.begin(), followers.end(), context.self);
    auto const before =
        std::count_if(followers.begin(), place, [&](auto const& other) { return context.alive(other); });
    auto const silent = context.now - leader_heard - before * times.proposal_interval;
    if (silent <= times.leader_timeout &&
        (silent <= 2 * times.heartbeat_interval || context.alive(votes.decided.leader)))
        return;
    if (rival_proposed_at != 0 && context.now - rival_proposed_at < 2 * times.proposal_interval &&
        silent < times.leader_timeout + times.rival_timeout)
        return;
    if (context.now - last_proposal_at <
        times.proposal_interval + static_cast<Microseconds>(context.random.below(proposal_jitter)))
        return;
    last_proposal_at = context.now;
    auto wanted = votes.decided;
    wanted.leader = context.self;
    wanted.followers.erase(wanted.followers.begin() + (place - followers.begin()));
    wanted.followers.push_back(votes.decided.leader);
    auto lost = silent_members(context.now);
    lost.insert(votes.decided.leader);
    for (auto const& other : followers)
        if (!context.alive(other)) lost.insert(other);
    wanted.followers = followers_for(context, wanted, lost);
    wanted.voters = renewed_voters(context);
    propose(context, wanted);
}

auto Partition::on(Context& context, std::string const& from, Heartbeat const& message) -> void {
    learn(context, message.record);
    if (votes.decided != message.record || from != votes.decided.leader || !healthy || disk_late(context.now)) return;
    if (!message.without_lease.value_or(false)) leader_heard = context.now;
    // A follower that sealed the term can acknowledge nothing more in it. It stays
    // silent so that the leader proposes a new group.
    if (votes.decided.has_follower(context.self) && votes.sealed >= votes.decided.term) return;
    context.sends.push_back({from, Appended{index, votes.decided.term, synced}});
}

auto Partition::takes_appends(std::string const& from, std::string const& self, Record const& record) const -> bool {
    auto const follows = votes.decided == record && from == record.leader && record.has_follower(self);
    return follows && healthy && votes.sealed < record.term;
}

// If the change does not apply to the copy here, the leader is asked for a snapshot.
auto Partition::on(Context& context, std::string const& from, AppendChange const& message) -> void {
    learn(context, message.record);
    if (!takes_appends(from, context.self, message.record)) return;
    leader_heard = context.now;
    auto const& change = message.change;
    auto const reply = IdentifiedMessage{from, Appended{index, votes.decided.term, change.sequence}};
    if (change.sequence <= synced) return context.sends.push_back(reply);
    if (change.sequence <= copy.sequence) return;  // applied, its sync is in progress
    if (!apply_change(copy, change))
        return context.sends.push_back({from, Appended{index, votes.decided.term, synced, true}});
    save_change(context, change, {reply});
}

auto Partition::on(Context& context, std::string const& from, Append const& message) -> void {
    learn(context, message.record);
    if (!takes_appends(from, context.self, message.record)) return;
    leader_heard = context.now;
    auto const reply = IdentifiedMessage{from, Appended{index, votes.decided.term, message.copy.sequence}};
    if (message.copy.sequence > copy.sequence) {
        copy = message.copy;
        save(context, true, {reply});
    } else if (message.copy.sequence <= synced) {
        context.sends.push_back(reply);
    }
}

auto Partition::on(Context& context, std::string const& from, Appended const& message) -> void {
    if (!is_leader(context.self) || message.term != votes.decided.term) return;
    if (!votes.decided.has_follower(from)) {
        offer_spare(context, from, message);
        return;
    }
    auto& follower = progress[from];
    follower.heard = context.now;
    follower.synced_sequence = std::max(follower.synced_sequence, message.sequence);
    if (message.lacks_base && in_flight && replication_sent && follower.synced_sequence < replicating.sequence) {
        follower.lacks_base = true;
        context.sends.push_back({from, Append{index, votes.decided, replicating}});
    }
    advance_commit(context);
}

}  // namespace dockrock

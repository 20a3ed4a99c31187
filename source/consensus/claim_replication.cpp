// Granting and replicating claims of run-once requests. docs/design.md 10.5.
#include <algorithm>

#include "consensus/partition.hpp"

namespace dockrock {

namespace {
constexpr Microseconds claim_wait_limit = 3 * one_second;
constexpr auto max_lines_between_snapshots = std::size_t{8'192};
}  // namespace

auto Partition::answer_claim(Context& context, std::string const& origin, std::uint64_t token, ClaimState state)
    -> void {
    context.claim_answers.emplace_back(origin, ClaimAnswer{index, token, votes.decided.term, static_cast<int>(state)});
}

auto Partition::claim(Context& context, std::string const& origin, ClaimAsk const& ask) -> void {
    auto const sealed_now = votes.sealed >= votes.decided.term;
    if (!has_lease(context.self, context.now) || sealed_now)
        return answer_claim(context, origin, ask.token, ClaimState::not_here);
    if (ask.key.empty() || ask.key.size() > claim_text_limit || ask.key.find_first_of(" \n") != std::string::npos)
        return;
    if (ask.ticket.size() < 2 || ask.ticket.size() > claim_text_limit) return;
    if (ask.ticket.find_first_of(" \n") != std::string::npos) return;
    auto const found = claims.held.find(ask.key);
    auto const taken = found != claims.held.end() && found->second.ticket != "-";
    auto const mine = taken && found->second.ticket == ask.ticket;
    if (ask.release) {
        if (mine) {
            claims.put(ask.key, "-", context.now, false);
            claims.unsaved.insert(ask.key);
            push_claims(context);
        }
        return answer_claim(context, origin, ask.token, ClaimState::granted);
    }
    if (taken && !mine) return answer_claim(context, origin, ask.token, ClaimState::seen);
    if (mine && claims.is_replicated(ask.key)) return answer_claim(context, origin, ask.token, ClaimState::granted);
    if (!mine) {
        if (claims.held.size() >= max_claims) return answer_claim(context, origin, ask.token, ClaimState::full);
        claims.put(ask.key, ask.ticket, context.now, false);
        claims.unsaved.insert(ask.key);
    }
    claims.waiters.push_back({origin, ask.token, ask.key, ask.ticket, context.now});
    push_claims(context);
}

// Only one save is in progress at a time: claims that come in the meantime share the next sync (group commit).
auto Partition::push_claims(Context& context) -> void {
    if (claims.save_token != 0 || claims.unsaved.empty()) return replicate_claims(context);
    std::string text;
    for (auto const& key : claims.unsaved) text += write_claim(key, claims.held[key], context.now);
    claims.logged += claims.unsaved.size();
    claims.saving.swap(claims.unsaved);
    claims.unsaved.clear();
    claims.save_token = save_claims(context, text, {});
}

auto Partition::save_claims(Context& context, std::string text, std::vector<IdentifiedMessage> after) -> std::uint64_t {
    auto const token = save(context, false, std::move(after));
    auto& saved = context.saves.back().saved;
    saved.claims_whole = claims.logged > max_lines_between_snapshots + claims.held.size();
    saved.claims = saved.claims_whole ? claims.write_all(context.now, false) : std::move(text);
    if (saved.claims_whole) claims.logged = claims.held.size();
    return token;
}

auto Partition::claims_saved(Context& context, std::uint64_t token) -> void {
    if (token != claims.save_token || token == 0) return;
    claims.save_token = 0;
    for (auto const& key : claims.saving) {
        if (auto const found = claims.held.find(key); found != claims.held.end())
            found->second.synced = !claims.unsaved.contains(key);
        claims.to_replicate.insert(key);
    }
    claims.saving.clear();
    push_claims(context);
    replicate_claims(context);
}

// Claims go to the followers only after they are synced at the leader. A leader that restarts
// thus holds all that a follower holds, and never grants one key to two requests.
auto Partition::replicate_claims(Context& context) -> void {
    if (claims.replication_active || !is_leader(context.self) || votes.sealed >= votes.decided.term) return;
    claims.replicating_claims.clear();
    for (auto const& key : claims.to_replicate)
        if (!claims.unsaved.contains(key) && !claims.saving.contains(key)) claims.replicating_claims.insert(key);
    if (claims.replicating_claims.empty() && !claims.whole_needed) return;
    for (auto const& key : claims.replicating_claims) claims.to_replicate.erase(key);
    claims.replicating_whole = claims.whole_needed;
    claims.replication_batch.clear();
    if (claims.whole_needed) claims.replication_batch = claims.write_all(context.now, true);
    else
        for (auto const& key : claims.replicating_claims)
            if (auto const found = claims.held.find(key); found != claims.held.end())
                claims.replication_batch += write_claim(key, found->second, context.now);
    claims.replication_active = true;
    claims.replicated_at_followers.clear();
    ++claims.replication_number;
    send_claims(context);
    claims_replicated(context);
}

auto Partition::send_claims(Context& context) -> void {
    claims.replication_sent_at = context.now;
    for (auto const& follower : votes.decided.followers)
        if (!claims.replicated_at_followers.contains(follower))
            context.sends.push_back(
                {follower,
                 ClaimReplication{
                     index, votes.decided, claims.life, claims.replication_number, claims.replication_batch}});
}

auto Partition::on(Context& context, std::string const& from, ClaimReplication const& message) -> void {
    learn(context, message.record);
    if (votes.decided != message.record || from != votes.decided.leader || !healthy) return;
    if (!votes.decided.has_follower(context.self) || votes.sealed >= votes.decided.term) return;
    leader_heard = context.now;
    auto const place = std::pair(message.life, message.number);
    if (place < claims.newest_replication) return;
    auto const reply =
        IdentifiedMessage{from, ClaimReplicated{index, votes.decided.term, message.life, message.number}};
    claims.newest_replication = place;
    claims.take(read_claims(message.claims), context.now, true);
    save_claims(context, message.claims, {reply});
}

auto Partition::on(Context& context, std::string const& from, ClaimReplicated const& message) -> void {
    if (!is_leader(context.self) || message.term != votes.decided.term) return;
    if (!votes.decided.has_follower(from)) return;
    if (!claims.replication_active || message.life != claims.life || message.number != claims.replication_number)
        return;
    if (votes.sealed >= votes.decided.term) return;
    progress[from].heard = context.now;
    claims.replicated_at_followers.insert(from);
    claims_replicated(context);
}

auto Partition::claims_replicated(Context& context) -> void {
    if (claims.replicated_at_followers.size() < votes.decided.followers.size()) return;
    claims.replication_active = false;
    claims.replicating_claims.clear();
    if (claims.replicating_whole) claims.whole_needed = false;
    answer_claim_waiters(context);
    replicate_claims(context);
}

auto Partition::answer_claim_waiters(Context& context) -> void {
    std::erase_if(claims.waiters, [&](auto const& waiter) {
        auto const found = claims.held.find(waiter.key);
        auto const mine = found != claims.held.end() && found->second.ticket == waiter.ticket;
        if (mine && !claims.is_replicated(waiter.key)) return false;
        answer_claim(context, waiter.origin, waiter.token, mine ? ClaimState::granted : ClaimState::not_here);
        return true;
    });
}

auto Partition::tick_claims(Context& context) -> void {
    claims.expire(context.now);
    std::erase_if(claims.waiters, [&](auto const& waiter) { return context.now - waiter.since > claim_wait_limit; });
    if (!is_leader(context.self) || !healthy || disk_late(context.now)) return;
    if (!has_lease(context.self, context.now)) return;
    if (claims.replication_active && context.now - claims.replication_sent_at > times.resend_interval &&
        votes.sealed < votes.decided.term)
        send_claims(context);
    push_claims(context);
}

// A new record may name new followers, so they are sent all claims.
auto Partition::claims_under_new_record(Context& context) -> void {
    claims.newest_replication = {0, 0};
    claims.replication_active = false;
    if (!is_leader(context.self)) return claims.reset_leader_state();
    claims.whole_needed = true;
    for (auto const& key : claims.replicating_claims) claims.to_replicate.insert(key);
    claims.replicating_claims.clear();
}

}  // namespace dockrock

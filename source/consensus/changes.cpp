// Changes at the leader: queueing, applying, logging, replicating, acknowledging. docs/design.md 5.4 and 7.
#include <algorithm>

#include "consensus/answer_checks.hpp"
#include "consensus/error_body.hpp"

namespace dockrock {

namespace {
constexpr auto max_outcomes = std::size_t{1024};
constexpr auto max_queue_length = std::size_t{256};

// An error that does not depend on the current version (neither 200 nor 412) carries no ETag.
auto etag_for(int status, Sequence const& sequence) -> std::string {
    return status == 200 || status == 412 ? etag_of(sequence) : std::string();
}

auto outcome_body(std::string const& identity, std::string_view state, Sequence const& sequence) -> std::string {
    return json::serialize(json::object{{"identity", identity}, {"state", state}, {"sequence", etag_of(sequence)}});
}

auto find_outcome(Copy const& copy, std::string const& identity) {
    return std::find_if(
        copy.outcomes.begin(), copy.outcomes.end(), [&](auto const& outcome) { return outcome.identity == identity; });
}

// Detects another change under the same identity. For a call without a base the digest equals the one that older
// copies hold.
auto digest_of(Call const& asked) -> std::uint64_t {
    auto const on_base = asked.base.empty() ? std::string() : " on " + asked.base;
    return hash_text(asked.operation + on_base + "\n" + asked.if_match + "\n" + asked.body) >> 1U;
}
}  // namespace

auto Partition::replicate(Context& context) -> void {
    // The leader syncs its own copy before it sends any: a leader that restarts
    // can then never assign one sequence to two changes (design 5.4).
    in_flight = true;
    replicating = copy;
    replicating_change.reset();
    if (last_change && committed && last_change->base == committed->sequence && last_change->sequence == copy.sequence)
        replicating_change = last_change;
    else if (committed && committed->sequence < copy.sequence)
        replicating_change = change_between(*committed, replicating);
    for (auto& [identity, follower] : progress) follower.lacks_base = false;
    replication_sent_at = context.now;
    replication_sent = false;
    advance_commit(context);
}

auto Partition::send_replication(Context& context) -> void {
    for (auto const& [identity, follower] : progress) {
        if (follower.synced_sequence >= replicating.sequence) continue;
        if (replicating_change && !follower.lacks_base)
            context.sends.push_back({identity, AppendChange{index, votes.decided, *replicating_change}});
        else context.sends.push_back({identity, Append{index, votes.decided, replicating}});
    }
}

auto Partition::advance_commit(Context& context) -> void {
    if (!in_flight || !is_leader(context.self) || votes.sealed >= votes.decided.term) return;
    if (synced < replicating.sequence) return;
    if (!replication_sent) {
        replication_sent = true;
        replication_sent_at = context.now;
        send_replication(context);
    }
    if (!all_have(replicating.sequence)) return;
    if (!has_lease(context.self, context.now)) return;  // no answer without a lease; the next grant calls this again
    committed = replicating;
    in_flight = false;
    std::erase_if(waiters, [&](auto const& waiter) {
        if (waiter.sequence > committed->sequence) return false;
        auto const etag = etag_for(waiter.status, waiter.sequence);
        context.done.push_back(
            checked_outcome(*this, waiter.sequence, {waiter.origin, waiter.token, waiter.status, waiter.body, etag}));
        return true;
    });
    if (copy.sequence > committed->sequence) replicate(context);
    process_queued(context);
}

auto Partition::call(Context& context, std::string const& origin, std::uint64_t token, Call const& asked) -> void {
    if (!is_leader(context.self) || queued.size() >= max_queue_length) {
        context.done.push_back(
            {origin, token, 503,
             error_body(is_leader(context.self) ? "too many changes waiting" : "not the leader of this partition"),
             ""});
        return;
    }
    queued.push_back({origin, token, asked, context.now});
    process_queued(context);
}

auto Partition::process_queued(Context& context) -> void {
    if (queued.empty()) return;
    // Changes wait for the first copy of the current term: in the sequences of the term before,
    // a former leader may have assigned the next one to a change that was never acknowledged.
    auto const ready = committed && copy.sequence.term == votes.decided.term && votes.sealed < votes.decided.term &&
        has_lease(context.self, context.now);
    auto before = std::optional<Copy>();
    auto pending = std::move(queued);
    queued.clear();
    for (auto& item : pending) {
        auto const reads = item.call.operation == "get" || item.call.operation == "outcome";
        // Outcomes of changes are answered only after this term's first copy is synced at all members (before that,
        // another member's copy may hold the change), and not after the term is sealed.
        auto const own_term =
            committed && committed->sequence.term == votes.decided.term && votes.sealed < votes.decided.term;
        auto const readable =
            committed && has_lease(context.self, context.now) && (own_term || item.call.operation == "get");
        if (reads ? readable : ready) change(context, item, before);
        else if (context.now - item.since > max_queue_wait)
            context.done.push_back(
                {item.origin, item.token, 503, error_body("no leased leader now; nothing was changed"), ""});
        else queued.push_back(std::move(item));
    }
    if (!before) return;
    last_change = change_between(*before, copy);
    save_change(context, last_change, {});
    if (!in_flight) replicate(context);
}

// Reads the committed document; answers 304 without it if the caller already holds the newest one.
auto Partition::read_copy(Context& context, Queued const& item) -> void {
    auto const etag = etag_of(committed->sequence);
    auto read = checked_read(*this, context, CallDone{item.origin, item.token, 200, "", etag});
    if (read.status == 200 && item.call.if_match == etag) read.status = not_modified;
    else if (read.status == 200) read.body = committed->document;
    context.done.push_back(std::move(read));
}

// Answers the state of a change by its identity: acknowledged, under way, or not known.
auto Partition::answer_outcome(Context& context, Queued const& item) -> void {
    auto const& identity = item.call.identity;
    auto const done = find_outcome(copy, identity);
    if (done == copy.outcomes.end()) {
        auto body = error_body("no such change is in force or under way");
        return context.done.push_back({item.origin, item.token, 404, std::move(body), ""});
    }
    auto const settled = done->sequence <= committed->sequence;
    auto body = outcome_body(identity, settled ? "acknowledged" : "under way", done->sequence);
    context.done.push_back({item.origin, item.token, settled ? 200 : 202, std::move(body), etag_of(done->sequence)});
}

// Repeats the answer for a retry of the same change; refuses another change under the same identity.
auto Partition::repeat_change(Context& context, Queued const& item, Outcome const& done, std::uint64_t digest) -> void {
    if (done.digest != digest) {
        auto body = error_body("this change identity was used for another change");
        return context.done.push_back({item.origin, item.token, 422, std::move(body), ""});
    }
    auto body = outcome_body(item.call.identity, "acknowledged", done.sequence);
    if (done.sequence <= committed->sequence) {
        auto first = CallDone{item.origin, item.token, 200, std::move(body), etag_of(done.sequence)};
        return context.done.push_back(checked_outcome(*this, done.sequence, std::move(first)));
    }
    waiters.push_back({item.origin, item.token, done.sequence, 200, std::move(body), context.now});
}

// A refusal is answered only once the copy that it rests on is committed: an uncommitted change may still be lost.
auto Partition::refuse_change(Context& context, Queued const& item, int status, std::string body) -> void {
    if (copy.sequence <= committed->sequence) {
        auto etag = etag_for(status, copy.sequence);
        return context.done.push_back({item.origin, item.token, status, std::move(body), std::move(etag)});
    }
    waiters.push_back({item.origin, item.token, copy.sequence, status, std::move(body), context.now});
}

auto Partition::make_change(Queued const& item, std::string document, std::uint64_t digest, Microseconds now) -> void {
    copy.document = std::move(document);
    // In the current term: a sequence of an earlier term may have been assigned to a change that was lost.
    copy.sequence = Sequence{votes.decided.term, copy.sequence.number + 1};
    copy.outcomes.push_back({item.call.identity, copy.sequence, digest});
    if (copy.outcomes.size() > max_outcomes) copy.outcomes.erase(copy.outcomes.begin());
    auto body = outcome_body(item.call.identity, "acknowledged", copy.sequence);
    waiters.push_back({item.origin, item.token, copy.sequence, 200, std::move(body), now});
}

auto Partition::change(Context& context, Queued const& item, std::optional<Copy>& before) -> void {
    auto const& asked = item.call;
    if (asked.operation == "get") return read_copy(context, item);
    if (asked.operation == "outcome") return answer_outcome(context, item);
    auto const digest = digest_of(asked);
    auto const done = find_outcome(copy, asked.identity);
    if (done != copy.outcomes.end()) return repeat_change(context, item, *done, digest);
    if (!asked.if_match.empty() && asked.if_match != "*" && asked.if_match != etag_of(copy.sequence))
        return refuse_change(context, item, 412, error_body("the configuration has moved on; nothing was changed"));
    auto result = apply(copy, asked);
    if (result.status != 200) return refuse_change(context, item, result.status, std::move(result.body));
    if (!before) before = copy;
    make_change(item, std::move(result.document), digest, context.now);
}

}  // namespace dockrock

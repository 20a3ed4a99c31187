#pragma once
// Whether a request may go to a replica once more after a try has ended, and
// what its client is told if not. No other place decides this: connections
// report facts, the request's course asks here. docs/requests.md has the table.
#include <limits>

#include "base/basics.hpp"

namespace dockrock {

// How much of a request had been handed to the network when its try ended. An
// upper bound: a replica can't have more than this.
enum class BytesWritten : int { not_connected, none, part_of_head, head, whole };

// A reset on a reused connection proves nothing more than on a fresh one: the
// replica may have read the request before it broke off.
enum class ConnectionUse : int { fresh, reused };

// The most that had come back for this request.
enum class Received : int {
    nothing,            // silence, close, reset, bytes that form no answer, or only answers to other requests
    not_run,            // the replica's word that it has not run this request and never will
    seen_before,        // the same word; another request of this identity was taken
    failure,            // the replica's own failure, whole
    false_promise,      // a failure whose status promises "not run" without the replica's word for it
    cut_before_output,  // the beginning of an answer; the client has none of it
    cut_after_output,   // the client has a part of it
    complete,
};

enum class ClientState : int { waiting, gone };

struct TryFacts {
    BytesWritten written = BytesWritten::not_connected;
    ConnectionUse connection = ConnectionUse::fresh;
    Received received = Received::nothing;
    ClientState client = ClientState::waiting;
    bool output_resumable = false;  // what the client has ends after a whole event
};

// How a try ended, as far as it matters to what may follow.
enum class TryEnd : int {
    answered,
    did_not_run,
    not_sent,     // no connection
    not_written,  // connected, but the head never left whole
    unknown_before,
    broken_after,
    caller_gone,
    broken_resumable,  // whole events went out, and another replica may go on after the last
    answered_failure,  // the replica's own failure: it ran
    seen_before,
};
inline constexpr auto try_end_count = 10;

// What is known of the request itself and of its earlier tries.
struct RetryRequest {
    bool repeatable = false;
    bool may_have_run = false;  // an earlier try has run or may have
    bool output_begun = false;  // the client has a part of an answer
    bool failure_held = false;  // a replica's own failure can be passed on
};

struct RetryLimits {
    std::int64_t tries_left = std::numeric_limits<std::int64_t>::max();
    bool budget_left = true;
    Microseconds time_left = std::numeric_limits<Microseconds>::max();
};

enum class RetryDecision : int {
    finished,      // answered whole, or nobody waits any more
    send_again,    // to another replica
    refused,       // not run, and never will be: the client may come again
    unknown,       // may have run: nothing is promised
    pass_failure,  // the replica's own failure goes to the client
    cut,           // the answer under way ends visibly incomplete
    seen,          // another request of this identity was taken
};

namespace retry {

constexpr auto end_of(TryFacts const& facts) -> TryEnd {
    if (facts.received == Received::complete) return TryEnd::answered;
    if (facts.client == ClientState::gone) return TryEnd::caller_gone;
    switch (facts.received) {
        case Received::not_run: return TryEnd::did_not_run;
        case Received::seen_before: return TryEnd::seen_before;
        case Received::failure: return TryEnd::answered_failure;
        case Received::cut_after_output:
            return facts.output_resumable ? TryEnd::broken_resumable : TryEnd::broken_after;
        case Received::false_promise:
        case Received::cut_before_output: return TryEnd::unknown_before;
        default: break;
    }
    if (facts.written == BytesWritten::not_connected) return TryEnd::not_sent;
    // A replica runs nothing whose head it does not have whole.
    if (facts.written < BytesWritten::head) return TryEnd::not_written;
    return TryEnd::unknown_before;
}

constexpr auto ran_or_may_have(TryEnd end) -> bool {
    return end == TryEnd::unknown_before || end == TryEnd::broken_after || end == TryEnd::broken_resumable ||
        end == TryEnd::answered_failure || end == TryEnd::answered || end == TryEnd::caller_gone;
}

// Another try only where this one is known not to have run, or where the
// request may run more than once.
constexpr auto may_follow(TryEnd end, RetryRequest const& request) -> bool {
    switch (end) {
        case TryEnd::did_not_run:
        case TryEnd::not_sent:
        case TryEnd::not_written: return request.repeatable || !request.may_have_run;
        case TryEnd::unknown_before:
        case TryEnd::answered_failure:
        case TryEnd::broken_resumable: return request.repeatable;
        default: return false;
    }
}

// What the client is told where no further try is made.
constexpr auto without_another_try(RetryRequest const& request) -> RetryDecision {
    if (request.output_begun) return RetryDecision::cut;
    if (request.failure_held) return RetryDecision::pass_failure;
    return request.may_have_run ? RetryDecision::unknown : RetryDecision::refused;
}

constexpr auto decide(TryEnd end, RetryRequest request, RetryLimits const& limits) -> RetryDecision {
    if (end == TryEnd::answered || end == TryEnd::caller_gone) return RetryDecision::finished;
    if (end == TryEnd::broken_after) return RetryDecision::cut;
    if (end == TryEnd::seen_before) return RetryDecision::seen;
    auto const limited = limits.tries_left <= 0 || !limits.budget_left || limits.time_left <= 0;
    if (may_follow(end, request) && !limited) return RetryDecision::send_again;
    request.may_have_run = request.may_have_run || ran_or_may_have(end);
    request.output_begun = request.output_begun || end == TryEnd::broken_resumable;
    request.failure_held = request.failure_held || end == TryEnd::answered_failure;
    return without_another_try(request);
}

// Whether the end tells how well the replica works: it answered, failed, or broke off.
constexpr auto outcome_of_replica(TryEnd end) -> bool {
    return end == TryEnd::answered || end == TryEnd::answered_failure || end == TryEnd::unknown_before ||
        end == TryEnd::broken_after || end == TryEnd::broken_resumable;
}

// Statuses by which a client is told that its request has not run. A replica's
// own may be passed on only with the replica's word for it.
constexpr auto promises_not_run(int status) -> bool {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace retry

}  // namespace dockrock

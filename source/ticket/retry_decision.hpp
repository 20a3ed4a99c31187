#pragma once
// Retry policy: whether a request may be sent to another replica after a try has ended, and what its client is
// told if not. This is decided here only: connections report facts, and the request's state machine calls decide().
// docs/requests.md has the table.
#include <limits>

#include "base/basics.hpp"

namespace dockrock {

// How much of a request had been handed to the network when its try ended: an upper bound of what the replica
// can have received.
enum class BytesWritten : int { not_connected, none, part_of_head, head, whole };

// A reset on a reused connection proves no more than on a fresh one: the replica may have read the request before
// it closed the connection.
enum class ConnectionUse : int { fresh, reused };

// The most that was received in response to this request.
enum class Received : int {
    nothing,              // silence, close, reset, no valid response, or only responses to other requests
    not_run,              // the replica states that it has not run this request and never will
    seen_before,          // as not_run, since another request of this identity was accepted
    failure,              // a complete error response of the replica
    unconfirmed_not_run,  // an error status that means "not run" to clients, without the replica's statement
    cut_before_output,    // a partial response; nothing of it was sent to the client
    cut_after_output,     // a partial response; the client has a part of it
    complete,
};

enum class ClientState : int { waiting, gone };

struct TryFacts {
    BytesWritten written = BytesWritten::not_connected;
    ConnectionUse connection = ConnectionUse::fresh;
    Received received = Received::nothing;
    ClientState client = ClientState::waiting;
    bool output_resumable = false;  // the client has only whole events
};

// How a try ended, as far as retries depend on it.
enum class TryEnd : int {
    answered,
    did_not_run,
    not_sent,     // no connection
    not_written,  // connected, but the head was not written whole
    unknown_before,
    broken_after,
    caller_gone,
    broken_resumable,  // the client has whole events; another replica may resume after the last
    answered_failure,  // an error response of the replica: it ran
    seen_before,
};
inline constexpr auto try_end_count = 10;

// Facts about the request and its earlier tries.
struct RetryRequest {
    bool repeatable = false;
    bool may_have_run = false;  // an earlier try ran or may have run
    bool output_begun = false;  // the client has a part of a response
    bool failure_held = false;  // an error response of a replica can be passed on
};

struct RetryLimits {
    std::int64_t tries_left = std::numeric_limits<std::int64_t>::max();
    bool budget_left = true;
    Microseconds time_left = std::numeric_limits<Microseconds>::max();
};

enum class RetryDecision : int {
    finished,      // answered in full, or the client is gone
    send_again,    // to another replica
    refused,       // has not run and never will: the client may send it again
    unknown,       // may have run
    pass_failure,  // the replica's error response goes to the client
    cut,           // the response under way is ended so that the client sees it is incomplete
    seen,          // duplicate: another request of this identity was accepted
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
        case Received::unconfirmed_not_run:
        case Received::cut_before_output: return TryEnd::unknown_before;
        default: break;
    }
    if (facts.written == BytesWritten::not_connected) return TryEnd::not_sent;
    // A replica does not run a request before it has the whole head.
    if (facts.written < BytesWritten::head) return TryEnd::not_written;
    return TryEnd::unknown_before;
}

constexpr auto ran_or_may_have(TryEnd end) -> bool {
    return end == TryEnd::unknown_before || end == TryEnd::broken_after || end == TryEnd::broken_resumable ||
        end == TryEnd::answered_failure || end == TryEnd::answered || end == TryEnd::caller_gone;
}

// Another try is allowed only if the request is known not to have run, or may run more than once.
constexpr auto may_retry(TryEnd end, RetryRequest const& request) -> bool {
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

// What the client is told if no further try is made.
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
    if (may_retry(end, request) && !limited) return RetryDecision::send_again;
    request.may_have_run = request.may_have_run || ran_or_may_have(end);
    request.output_begun = request.output_begun || end == TryEnd::broken_resumable;
    request.failure_held = request.failure_held || end == TryEnd::answered_failure;
    return without_another_try(request);
}

// Whether the end counts for the replica's health: it answered, failed, or broke off.
constexpr auto outcome_of_replica(TryEnd end) -> bool {
    return end == TryEnd::answered || end == TryEnd::answered_failure || end == TryEnd::unknown_before ||
        end == TryEnd::broken_after || end == TryEnd::broken_resumable;
}

// Statuses that tell a client that its request has not run. A replica's response with one of them is passed on
// only if the replica also states that it did not run the request.
constexpr auto means_not_run(int status) -> bool {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace retry

}  // namespace dockrock

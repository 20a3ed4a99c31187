#pragma once
// State machine of one request: queueing, claim of its identity, checks before sending, tries, and exactly one
// outcome. A value type without I/O: each event returns the next step. Connections and the simulator run the same
// code. docs/design.md sections 8.3, 10 and 10.5.
#include "base/messages.hpp"
#include "ticket/piece_reader.hpp"
#include "ticket/scheduler.hpp"
#include "ticket/interpreter.hpp"
#include "ticket/retry_decision.hpp"

namespace dockrock {

enum class Step : int {
    enqueue,         // put it into the queue; `avoid` is set for a retry
    claim,           // claim its identity at the leader of the service's partition
    interpret,       // the rules changed: apply them again
    send,            // send it to its replica now
    answer_shed,     // 503: did not run and never will
    answer_refused,  // the current rules refuse it: did not run
    answer_unknown,  // 502: may have run
    answer_seen,     // 409: duplicate, another request has claimed this identity
    answer_failure,  // pass the replica's error response on
    finished,
};

inline constexpr auto step_names = std::to_array<std::string_view>(
    {"enter", "claim", "interpret", "send", "answer-shed", "answer-refused", "answer-unknown", "answer-seen",
     "answer-failure", "finished"});

// What the connection has to do next.
struct LifecycleStep {
    Step step = Step::finished;
    std::string release_replica;  // replica whose reserved place is to be released; empty: none
    bool release_claim = false;   // it never ran: release the claim of its identity
    std::string reason;
    int status = 0;
    std::int64_t retry_after = 1;
};

// What a node knows when it makes the checks before sending.
struct LifecycleFacts {
    Microseconds now = 0;
    Microseconds proof_age = 0;
    Microseconds proof_limit = dockrock::proof_limit;
    Microseconds refusal_limit = dockrock::refusal_limit;  // older: the rules are too stale to refuse anything
    Sequence rules;
    bool listed = false;  // the chosen replica is on the list and not draining
};

// A claim older than this is made again before sending: the leader may have dropped it.
inline constexpr Microseconds claim_use_limit = 60 * one_second;

struct RequestLifecycle {
    InferenceRequest inference;
    Sequence rules;  // the configuration version that admitted the request
    Placement placement;
    int try_number = 1;
    RetryRequest history;  // what earlier tries imply for further ones
    int may_have_run = 0;  // tries that may have run, counted independently for the invariant check before sending
    bool claim_held = false;
    Microseconds claimed_at = 0;
    std::uint64_t claim_term = 0;
    std::optional<std::string> avoid;

    auto begin() const -> LifecycleStep { return {Step::enqueue}; }
    auto placed(Placement given, LifecycleFacts const& facts) -> LifecycleStep;
    auto was_shed(std::string_view reason, std::int64_t retry_after) -> LifecycleStep;
    auto claimed(ClaimState state, std::uint64_t term, Microseconds asked_at, LifecycleFacts const& facts)
        -> LifecycleStep;
    auto reinterpreted(Verdict verdict, Sequence under, LifecycleFacts const& facts) -> LifecycleStep;
    // The current try has ended. `limits.tries_left` is set here.
    auto ended(TryEnd end, std::string_view reason, RetryLimits limits = RetryLimits{}) -> LifecycleStep;
    // The rules, the replica list or the proof changed just before the request was written. Nothing was sent, so
    // it does not count as a try.
    auto send_cancelled() -> LifecycleStep { return requeue(); }
    auto client_disconnected() const -> LifecycleStep;  // the client disconnected
    // Repeats the checks before sending after a delay, such as opening a connection.
    auto may_be_sent(LifecycleFacts const& facts) const -> bool {
        return facts.rules == rules && facts.listed && facts.proof_age <= facts.proof_limit;
    }
    auto needs_claim() const -> bool { return inference.body.run_once && !inference.body.identity.empty(); }

   private:
    auto last_checks(LifecycleFacts const& facts) -> LifecycleStep;
    auto requeue() -> LifecycleStep;
    auto request_facts() const -> RetryRequest;
    auto restrict_retries(InferenceRequest const& judged_inference) -> void;
    auto end_without_retry(std::string reason, std::int64_t retry_after) const -> LifecycleStep;
};

// The key under which an identity is claimed: unique for model, tenant and identity.
auto claim_key(InferenceRequest const& inference) -> std::string;
// The claim's owner: one request of one node.
auto claim_owner(std::string_view node, std::uint64_t number) -> std::string;

}  // namespace dockrock

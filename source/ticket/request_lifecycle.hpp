#pragma once
// A ticket's course: entry, wait, claim, last checks, tries, one outcome. A
// value type: events in, the next step out; the connection and the simulator
// drive the same. docs/design.md sections 8.3, 10 and 10.5.
#include "base/messages.hpp"
#include "ticket/piece_reader.hpp"
#include "ticket/scheduler.hpp"
#include "ticket/interpreter.hpp"
#include "ticket/retry_decision.hpp"

namespace dockrock {

enum class Step : int {
    enqueue,         // into the buffer; `avoid` is set where it is an extra try
    claim,           // the identity, at the leader of the service's part
    interpret,       // the rules moved: run them again
    send,            // the try may go to its replica now
    answer_shed,     // 503: did not run, never will
    answer_refused,  // the rules refuse it now: did not run
    answer_unknown,  // 502: may have run
    answer_seen,     // 409: another ticket of this identity has it
    answer_failure,  // the replica's own failure is passed on
    finished,
};

inline constexpr auto step_names = std::to_array<std::string_view>(
    {"enter", "claim", "interpret", "send", "answer-shed", "answer-refused", "answer-unknown", "answer-seen",
     "answer-failure", "finished"});

struct LifecycleStep {
    Step step = Step::finished;
    std::string give_back;       // a replica whose place is not used
    bool release_claim = false;  // it never ran: the identity is free again
    std::string reason;
    int status = 0;
    std::int64_t retry_after = 1;
};

// What a node knows at the moment of the last checks.
struct LifecycleFacts {
    Microseconds now = 0;
    Microseconds proof_age = 0;
    Microseconds proof_limit = dockrock::proof_limit;
    Microseconds refusal_limit = dockrock::refusal_limit;  // older: the rules may refuse nothing
    Sequence rules;
    bool listed = false;  // the placed replica is on the list, without a drain mark
};

inline constexpr Microseconds claim_use_limit = 60 * one_second;

struct RequestLifecycle {
    InferenceRequest inference;
    Sequence rules;  // under which the ticket was judged last
    Placement placement;
    int try_number = 1;
    RetryRequest history;  // what the tries so far have left behind
    int may_have_run = 0;  // tries so far, counted apart from the decisions, for the check of what is sent
    bool claim_held = false;
    Microseconds claimed_at = 0;
    std::uint64_t claim_term = 0;
    std::optional<std::string> avoid;

    auto begin() const -> LifecycleStep { return {Step::enqueue}; }
    auto placed(Placement given, LifecycleFacts const& facts) -> LifecycleStep;
    auto given_up(std::string_view reason, std::int64_t retry_after) -> LifecycleStep;
    auto claimed(ClaimState state, std::uint64_t term, Microseconds asked_at, LifecycleFacts const& facts)
        -> LifecycleStep;
    auto judged(Verdict verdict, Sequence under, LifecycleFacts const& facts) -> LifecycleStep;
    // `limits` but for the tries, which are counted here.
    auto ended(TryEnd end, std::string_view reason, RetryLimits limits = RetryLimits{}) -> LifecycleStep;
    // The try was kept back right before it was written, as its rules, list or proof went on: nothing was sent, so
    // it counts as no try.
    auto held_back() -> LifecycleStep { return enter_back(); }
    auto gone() const -> LifecycleStep;
    // The last checks once more, after what took time: a connection that is opened.
    auto may_be_sent(LifecycleFacts const& facts) const -> bool {
        return facts.rules == rules && facts.listed && facts.proof_age <= facts.proof_limit;
    }
    auto needs_claim() const -> bool { return inference.body.run_once && !inference.body.identity.empty(); }

   private:
    auto last_checks(LifecycleFacts const& facts) -> LifecycleStep;
    auto enter_back() -> LifecycleStep;
    auto request_facts() const -> RetryRequest;
    auto take_rules(InferenceRequest const& judged_inference) -> void;
    auto give_up(std::string reason, std::int64_t retry_after) const -> LifecycleStep;
};

// What is claimed: one identity of one tenant, at one model's part.
auto claim_key(InferenceRequest const& inference) -> std::string;
auto claim_owner(std::string_view node, std::uint64_t number) -> std::string;

}  // namespace dockrock

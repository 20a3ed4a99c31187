#include "ticket/request_lifecycle.hpp"

namespace dockrock {

auto claim_key(InferenceRequest const& inference) -> std::string {
    return sha256_of(inference.body.model + "\n" + inference.tenant_path + "\n" + inference.body.identity)
        .substr(0, 32);
}

auto claim_owner(std::string_view node, std::uint64_t number) -> std::string {
    return std::string(node) + "-" + std::to_string(number);
}

namespace {

auto step_for(RetryDecision decision) -> Step {
    switch (decision) {
        case RetryDecision::send_again: return Step::enqueue;
        case RetryDecision::refused: return Step::answer_shed;
        case RetryDecision::unknown: return Step::answer_unknown;
        case RetryDecision::pass_failure: return Step::answer_failure;
        case RetryDecision::seen: return Step::answer_seen;
        case RetryDecision::cut:
        case RetryDecision::finished: break;
    }
    return Step::finished;
}

// Derived from the try's end alone, independently of the retry decision.
auto surely_not_run(TryEnd end) -> bool {
    return end == TryEnd::did_not_run || end == TryEnd::seen_before || end == TryEnd::not_sent ||
        end == TryEnd::not_written;
}

}  // namespace

auto RequestLifecycle::request_facts() const -> RetryRequest {
    auto facts = history;
    facts.repeatable = !inference.body.run_once;
    return facts;
}

// Ends the request without another try. Not a refusal if a try may have run (design 10.1).
auto RequestLifecycle::end_without_retry(std::string reason, std::int64_t retry_after) const -> LifecycleStep {
    LifecycleStep step;
    step.step = step_for(retry::without_another_try(request_facts()));
    step.release_claim = claim_held && !history.may_have_run;
    step.reason = std::move(reason);
    step.status = 503;
    step.retry_after = retry_after;
    return step;
}

auto RequestLifecycle::was_shed(std::string_view reason, std::int64_t retry_after) -> LifecycleStep {
    return end_without_retry(std::string(reason), retry_after);
}

auto RequestLifecycle::placed(Placement given, LifecycleFacts const& facts) -> LifecycleStep {
    placement = std::move(given);
    // An old claim may have expired at the leader: a node that was suspended claims again.
    if (claim_held && facts.now - claimed_at > claim_use_limit) claim_held = false;
    if (needs_claim() && !claim_held) return {Step::claim};
    return last_checks(facts);
}

auto RequestLifecycle::claimed(ClaimState state, std::uint64_t term, Microseconds asked_at, LifecycleFacts const& facts)
    -> LifecycleStep {
    if (state == ClaimState::granted && facts.now - asked_at <= claim_use_limit) {
        claim_held = true;
        claimed_at = asked_at;
        claim_term = term;
        return last_checks(facts);
    }
    auto step = LifecycleStep();
    if (state == ClaimState::seen) {
        step.step = Step::answer_seen;
    } else {  // it is unknown who holds the claim, so the request is never sent
        step = end_without_retry(
            state == ClaimState::full ? "claims-full" : "no-claim", state == ClaimState::full ? 30 : 2);
    }
    step.release_replica = placement.replica;
    return step;
}

// Checks the rules, the deadline, the replica and the proof's age right before sending (design 8.3, 8.4).
auto RequestLifecycle::last_checks(LifecycleFacts const& facts) -> LifecycleStep {
    if (facts.rules != rules) return {Step::interpret};
    if (inference.deadline != 0 && facts.now >= inference.deadline) {  // no time is left for the replica
        auto step = end_without_retry("deadline", 1);
        step.release_replica = placement.replica;
        return step;
    }
    if (facts.listed && facts.proof_age <= facts.proof_limit) return {Step::send};
    return requeue();
}

// Queues it again. Nothing was sent: neither a retry nor a new request for the retry budget.
auto RequestLifecycle::requeue() -> LifecycleStep {
    avoid.reset();
    inference.in_retry_budget = true;
    LifecycleStep step;
    step.step = Step::enqueue;
    step.release_replica = placement.replica;
    return step;
}

auto RequestLifecycle::reinterpreted(Verdict verdict, Sequence under, LifecycleFacts const& facts) -> LifecycleStep {
    rules = under;
    LifecycleStep step;
    step.release_replica = placement.replica;
    if (verdict.kind != Verdict::Kind::enqueue) {
        if (facts.proof_age > facts.refusal_limit) {  // a newer configuration may allow it
            step = end_without_retry("not-fresh", 1);
            step.release_replica = placement.replica;
            return step;
        }
        step.step = step_for(retry::without_another_try(request_facts()));
        if (step.step == Step::answer_shed) step.step = Step::answer_refused;
        step.release_claim = claim_held && !history.may_have_run;
        step.status = verdict.status;
        step.reason = verdict.reason;
        return step;
    }
    restrict_retries(verdict.inference);
    if (inference.body.run_once && history.may_have_run) {  // it was repeatable and no longer is
        step.step = step_for(retry::without_another_try(request_facts()));
        return step;
    }
    // A response that has begun is finished by the same service.
    auto const elsewhere = !history.output_begun && verdict.inference.body.model != inference.body.model;
    auto const moved = elsewhere || verdict.inference.chain != inference.chain ||
        verdict.inference.isolation_domain != inference.isolation_domain;
    if (!moved) return last_checks(facts);
    verdict.inference.number = inference.number;
    verdict.inference.arrived_at = inference.arrived_at;
    verdict.inference.deadline = inference.deadline;
    verdict.inference.body.run_once = inference.body.run_once;
    verdict.inference.tries = inference.tries;
    inference = std::move(verdict.inference);
    return requeue();
}

// Rules that change while a request is queued can only restrict its retries further.
auto RequestLifecycle::restrict_retries(InferenceRequest const& judged_inference) -> void {
    inference.body.run_once = inference.body.run_once || judged_inference.body.run_once;
    inference.tries = std::min(inference.tries, judged_inference.tries);
}

auto RequestLifecycle::ended(TryEnd end, std::string_view reason, RetryLimits limits) -> LifecycleStep {
    if (end == TryEnd::did_not_run && reason == "seen") end = TryEnd::seen_before;
    may_have_run += surely_not_run(end) ? 0 : 1;
    limits.tries_left = inference.tries - try_number;
    LifecycleStep step;
    step.reason = std::string(reason);
    step.status = 503;
    step.step = step_for(retry::decide(end, request_facts(), limits));
    step.release_claim = step.step == Step::answer_shed && claim_held;
    if (step.step != Step::enqueue) return step;
    history.may_have_run = history.may_have_run || retry::ran_or_may_have(end);
    history.output_begun = history.output_begun || end == TryEnd::broken_resumable;
    history.failure_held = history.failure_held || end == TryEnd::answered_failure;
    avoid = placement.replica;
    ++try_number;
    return step;
}

auto RequestLifecycle::client_disconnected() const -> LifecycleStep {
    LifecycleStep step;
    step.release_claim = claim_held && !history.may_have_run;
    return step;
}

}  // namespace dockrock

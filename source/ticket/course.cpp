#include "ticket/course.hpp"

namespace dockrock {

auto claim_key(Ticket const& ticket) -> std::string {
    return sha256_of(ticket.body.model + "\n" + ticket.tenant_path + "\n" + ticket.body.identity).substr(0, 32);
}

auto claim_ticket(std::string_view node, std::uint64_t number) -> std::string {
    return std::string(node) + "-" + std::to_string(number);
}

namespace {

auto step_for(RetryDecision decision) -> Step {
    switch (decision) {
        case RetryDecision::send_again: return Step::enter;
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

auto Course::request_facts() const -> RetryRequest {
    auto facts = history;
    facts.repeatable = !ticket.body.run_once;
    return facts;
}

// Ends the request without another try. Not a refusal if a try may have run (design 10.1).
auto Course::end_without_retry(std::string reason, std::int64_t retry_after) const -> CourseStep {
    CourseStep step;
    step.step = step_for(retry::without_another_try(request_facts()));
    step.release_claim = claim_held && !history.may_have_run;
    step.reason = std::move(reason);
    step.status = 503;
    step.retry_after = retry_after;
    return step;
}

auto Course::was_shed(std::string_view reason, std::int64_t retry_after) -> CourseStep {
    return end_without_retry(std::string(reason), retry_after);
}

auto Course::placed(Placement given, CourseFacts const& facts) -> CourseStep {
    placement = std::move(given);
    // An old claim may have expired at the leader: a node that was suspended claims again.
    if (claim_held && facts.now - claimed_at > claim_use_limit) claim_held = false;
    if (needs_claim() && !claim_held) return {Step::claim};
    return last_checks(facts);
}

auto Course::claimed(ClaimState state, std::uint64_t term, Microseconds asked_at, CourseFacts const& facts)
    -> CourseStep {
    if (state == ClaimState::granted && facts.now - asked_at <= claim_use_limit) {
        claim_held = true;
        claimed_at = asked_at;
        claim_term = term;
        return last_checks(facts);
    }
    auto step = CourseStep();
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
auto Course::last_checks(CourseFacts const& facts) -> CourseStep {
    if (facts.rules != rules) return {Step::interpret};
    if (ticket.deadline != 0 && facts.now >= ticket.deadline) {  // no time is left for the replica
        auto step = end_without_retry("deadline", 1);
        step.release_replica = placement.replica;
        return step;
    }
    if (facts.listed && facts.proof_age <= facts.proof_limit) return {Step::send};
    return requeue();
}

// Queues it again. Nothing was sent: neither a retry nor a new request for the retry budget.
auto Course::requeue() -> CourseStep {
    avoid.reset();
    ticket.in_retry_budget = true;
    CourseStep step;
    step.step = Step::enter;
    step.release_replica = placement.replica;
    return step;
}

auto Course::reinterpreted(Verdict verdict, Sequence under, CourseFacts const& facts) -> CourseStep {
    rules = under;
    CourseStep step;
    step.release_replica = placement.replica;
    if (verdict.kind != Verdict::Kind::enter) {
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
    restrict_retries(verdict.ticket);
    if (ticket.body.run_once && history.may_have_run) {  // it was repeatable and no longer is
        step.step = step_for(retry::without_another_try(request_facts()));
        return step;
    }
    // A response that has begun is finished by the same service.
    auto const elsewhere = !history.output_begun && verdict.ticket.body.model != ticket.body.model;
    auto const moved =
        elsewhere || verdict.ticket.chain != ticket.chain || verdict.ticket.wall_domain != ticket.wall_domain;
    if (!moved) return last_checks(facts);
    verdict.ticket.number = ticket.number;
    verdict.ticket.arrived_at = ticket.arrived_at;
    verdict.ticket.deadline = ticket.deadline;
    verdict.ticket.body.run_once = ticket.body.run_once;
    verdict.ticket.tries = ticket.tries;
    ticket = std::move(verdict.ticket);
    return requeue();
}

// Rules that change while a request is queued can only restrict its retries further.
auto Course::restrict_retries(Ticket const& judged_ticket) -> void {
    ticket.body.run_once = ticket.body.run_once || judged_ticket.body.run_once;
    ticket.tries = std::min(ticket.tries, judged_ticket.tries);
}

auto Course::ended(TryEnd end, std::string_view reason, RetryLimits limits) -> CourseStep {
    if (end == TryEnd::did_not_run && reason == "seen") end = TryEnd::seen_before;
    may_have_run += surely_not_run(end) ? 0 : 1;
    limits.tries_left = ticket.tries - try_number;
    CourseStep step;
    step.reason = std::string(reason);
    step.status = 503;
    step.step = step_for(retry::decide(end, request_facts(), limits));
    step.release_claim = step.step == Step::answer_shed && claim_held;
    if (step.step != Step::enter) return step;
    history.may_have_run = history.may_have_run || retry::ran_or_may_have(end);
    history.output_begun = history.output_begun || end == TryEnd::broken_resumable;
    history.failure_held = history.failure_held || end == TryEnd::answered_failure;
    avoid = placement.replica;
    ++try_number;
    return step;
}

auto Course::gone() const -> CourseStep {
    CourseStep step;
    step.release_claim = claim_held && !history.may_have_run;
    return step;
}

}  // namespace dockrock

// How the end of a try updates the shared tables and counters. docs/design.md sections 9.4 and 10.
#include "process/clock.hpp"
#include "process/node.hpp"

namespace dockrock {

auto Node::release(std::string const& replica, std::uint64_t request_number) -> void {
    table.with([&](Scheduler& scheduler) { scheduler.load_table.release(replica, request_number); });
}

// Facts for the checks just before sending. These checks use the same conditions as scheduling: a try that
// scheduling allows and the checks refuse would be rescheduled for ever (design 8.3).
auto Node::lifecycle_facts(std::string const& replica) const -> LifecycleFacts {
    auto facts = LifecycleFacts();
    facts.now = clock_now();
    facts.proof_age = proof_age(facts.now);  // read before the snapshot, which then holds at least what is proven
    facts.proof_limit = proof_limit();
    facts.refusal_limit = refusal_limit();
    auto const current = snapshot.load();
    facts.rules = current->rules->sequence;
    for (auto const& entry : current->list.replicas)
        if (entry.name == replica) facts.listed = !entry.drain;
    return facts;
}

auto Node::work_limits_at(std::string const& replica, Microseconds now) const -> WorkLimits {
    return work_limits(*snapshot.load(), replica, settings.bounds.weights, now);
}

// While a connection is opened, the rules, the replica list and the proof may change. Nothing has been written yet.
auto Node::check_before_send(RequestLifecycle const& lifecycle) const -> SendCheck {
    auto const facts = lifecycle_facts(lifecycle.placement.replica);
    if (!lifecycle.may_be_sent(facts)) return SendCheck::moved_on;
    return request_leaves(lifecycle, facts) ? SendCheck::send : SendCheck::forbidden;
}

auto Node::may_refuse(Microseconds proven) const -> bool { return clock_now() - proven <= refusal_limit(); }

// Counts refusals that the configuration rules caused; a 503 has other causes.
auto Node::note_refusal(int status, Sequence const& sequence) -> void {
    auto const now = clock_now();
    if (status != 503) update_metrics.refused(status, sequence, proof_age(now), now);
}

auto Node::try_ended(
    std::string const& replica, InferenceRequest const& inference, TryEnd end, std::string const& reason,
    Microseconds sent_at) -> void {
    auto const now = clock_now();
    {
        auto const guard = std::lock_guard(table.lock);
        table.scheduler.finished(replica, inference, now - sent_at, now, end == TryEnd::answered);
        if (retry::outcome_of_replica(end)) table.scheduler.load_table.ended(replica, end != TryEnd::answered, now);
        if (end == TryEnd::not_sent) table.scheduler.load_table.report_failed(replica, now);
        if (end == TryEnd::did_not_run) table.scheduler.load_table.refused(replica, reason, now);
        if (table.scheduler.waiting_count() > 0) schedule_locked(now);
    }
    if (end == TryEnd::answered) {
        ++counters.answered;
        latency_metrics.whole_answers.of(inference).add(now - inference.arrived_at);
    }
    if (end == TryEnd::broken_after) ++counters.broken;
    if (end == TryEnd::caller_gone) ++counters.callers_gone;
    if (end == TryEnd::did_not_run) ++counters.did_not_run;
    if (end == TryEnd::not_sent) ++counters.connect_failures;
}

}  // namespace dockrock

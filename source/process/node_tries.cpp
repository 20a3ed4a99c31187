// How the end of a try updates the shared tables and counters. docs/design.md sections 9.4 and 10.
#include "process/clock.hpp"
#include "process/node.hpp"

namespace dockrock {

auto Node::release(std::string const& replica, std::uint64_t ticket) -> void {
    table.with([&](Granting& granting) { granting.burden.release(replica, ticket); });
}

// Facts for the checks just before sending. These checks use the same conditions as scheduling: a try that
// scheduling allows and the checks refuse would be rescheduled for ever (design 8.3).
auto Node::facts_for(std::string const& replica) const -> CourseFacts {
    auto facts = CourseFacts();
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
auto Node::last_look(Course const& course) const -> LastLook {
    auto const facts = facts_for(course.placement.replica);
    if (!course.may_be_sent(facts)) return LastLook::moved_on;
    return request_leaves(course, facts) ? LastLook::send : LastLook::forbidden;
}

auto Node::may_refuse(Microseconds proven) const -> bool { return clock_now() - proven <= refusal_limit(); }

// Counts refusals that the configuration rules caused; a 503 has other causes.
auto Node::note_refusal(int status, Sequence const& sequence) -> void {
    auto const now = clock_now();
    if (status != 503) sight.refused(status, sequence, proof_age(now), now);
}

auto Node::try_ended(
    std::string const& replica, Ticket const& ticket, TryEnd end, std::string const& reason, Microseconds sent_at)
    -> void {
    auto const now = clock_now();
    {
        auto const guard = std::lock_guard(table.lock);
        table.granting.finished(replica, ticket, now - sent_at, now, end == TryEnd::answered);
        if (retry::outcome_of_replica(end)) table.granting.burden.ended(replica, end != TryEnd::answered, now);
        if (end == TryEnd::not_sent) table.granting.burden.report_failed(replica, now);
        if (end == TryEnd::did_not_run) table.granting.burden.refused(replica, reason, now);
        if (table.granting.waiting_count() > 0) match_locked(now);
    }
    if (end == TryEnd::answered) {
        ++counters.answered;
        measures.whole_answers.of(ticket).add(now - ticket.arrived_at);
    }
    if (end == TryEnd::broken_after) ++counters.broken;
    if (end == TryEnd::caller_gone) ++counters.callers_gone;
    if (end == TryEnd::did_not_run) ++counters.did_not_run;
    if (end == TryEnd::not_sent) ++counters.connect_failures;
}

}  // namespace dockrock

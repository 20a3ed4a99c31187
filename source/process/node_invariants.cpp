// Invariant checks on what a node sends (refusals, requests, orders) just before sending, and the reporting of
// violations. docs/consensus.md section 5.
#include "base/invariant_checks.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"
#include "process/node.hpp"

namespace dockrock {

namespace {

constexpr Microseconds log_interval = one_second;  // between log lines of one invariant
// From the write of a request to its start on the replica. Part of the margin that remains after the check, which
// runs once a second, and the connect.
constexpr Microseconds version_flight = 800 * one_millisecond;

// Logs the first violation at once and then at most one a second, with the count so far.
auto log_violation(Invariant which, InvariantFacts facts) -> void {
    static std::array<std::atomic<Microseconds>, invariant_count> logged_at{};
    auto& last = logged_at[static_cast<std::size_t>(which)];
    auto before = last.load();
    auto const now = clock_now();
    if (before != 0 && now - before < log_interval) return;
    if (!last.compare_exchange_strong(before, now)) return;
    auto const text = [](std::string_view name) { return json::string_view(name.data(), name.size()); };
    auto line = fields("invariant", text(name_of(which)), "violations", invariants::count(which));
    for (auto const& fact : facts) line[text(fact.name)] = fact.value;
    write_log(Level::failure, "invariant-violated", std::move(line));
}

}  // namespace

auto log_violations() -> void { invariants::set_sink(log_violation); }

auto violations_object() -> json::object {
    json::object counts;
    for (auto index = std::size_t{0}; index < invariant_count; ++index)
        counts[json::string_view(invariant_names[index].data(), invariant_names[index].size())] =
            invariants::count(static_cast<Invariant>(index));
    return counts;
}

auto write_violations(std::string& text) -> void {
    text += "# TYPE dockrock_invariant_violations_total counter\n";
    for (auto index = std::size_t{0}; index < invariant_count; ++index)
        text += "dockrock_invariant_violations_total{invariant=\"" + std::string(invariant_names[index]) + "\"} " +
            std::to_string(invariants::count(static_cast<Invariant>(index))) + "\n";
}

auto Node::refusal_leaves(int status) const -> bool {
    return invariants::check(invariants::RefusalFacts{status, proof_age(clock_now()), settings.bounds.apply});
}

auto Node::request_leaves(RequestLifecycle const& lifecycle, LifecycleFacts const& facts) const -> bool {
    auto const& inference = lifecycle.inference;
    auto const once = invariants::check(invariants::RunOnceFacts{inference.body.run_once, lifecycle.may_have_run});
    auto const sent = invariants::check(
        invariants::SendFacts{facts.proof_age, facts.proof_limit, facts.listed, facts.rules, lifecycle.rules});
    auto const current = snapshot.load();
    if (current->overdue_check.by_model.empty()) return once && sent;
    auto const held = current->replica_weights.find(lifecycle.placement.replica);
    if (held == current->replica_weights.end()) return once && sent;
    auto const bound = settings.bounds.weights - version_flight;
    auto fresh = true;
    for (auto const& [model, version] : held->second.versions)
        fresh = current->overdue_check.check(model, version, facts.now, bound) && fresh;
    return once && sent && fresh;
}

// `wait`: how long a new lease holder must wait, because these receivers check no fence.
auto Node::order_leaves(int partition, invariants::OrderFacts facts, Microseconds wait) -> bool {
    auto& highest = fences_sent[static_cast<std::size_t>(partition)];
    facts.lease_age = clock_now() - facts.lease_age;
    facts.highest_fence = highest.load();
    facts.wait = facts.term <= 1 ? 0 : wait;
    if (!invariants::check(facts)) return false;
    auto known = highest.load();
    while (known < facts.fence && !highest.compare_exchange_weak(known, facts.fence)) {}
    return true;
}

auto Node::learn_versions(Snapshot& fresh, Snapshot const& old) const -> void {
    fresh.overdue_check = old.overdue_check;
    auto const now = clock_now();
    for (auto const& [model, version] : fresh.target_versions)
        fresh.overdue_check.learn(model, version, now, settings.bounds.weights);
}

}  // namespace dockrock

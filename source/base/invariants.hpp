#pragma once
// Run-time checks of safety invariants, made immediately before the action that could break one: a name
// and a violation counter for each, and the callback that reports violations. docs/consensus.md section 5.
#include <array>
#include <span>
#include <string_view>

#include "base/basics.hpp"

namespace dockrock {

enum class Invariant : int {
    refusal_under_proof,        // refusals that depend on the configuration need a recent freshness proof of it
    send_under_proof,           // a request is sent under a recent proof, to a listed replica, by the current rules
    weights_not_overdue,        // no request goes to a replica that lacks announced weights beyond their time bound
    configuration_never_back,   // the sequence in force never decreases, and one sequence has one content
    order_under_lease,          // orders to replicas need a lease, its current fence and the takeover wait
    read_under_lease,           // a read is answered only under a lease
    acknowledged_is_durable,    // a change is acknowledged only after all group members reported it synced
    one_lease,                  // known terms never decrease, and a leader with a lease knows of no successor
    run_once_sent_once,         // a run-once request is not sent again after a try that may have run
    proof_not_from_the_future,  // the time of a proof is not later than the time it is received
};
inline constexpr auto invariant_names = std::to_array<std::string_view>(
    {"refusal-under-proof", "send-under-proof", "weights-not-overdue", "configuration-never-back", "order-under-lease",
     "read-under-lease", "acknowledged-is-durable", "one-lease", "run-once-sent-once", "proof-not-from-the-future"});
inline constexpr auto invariant_count = invariant_names.size();
constexpr auto name_of(Invariant which) -> std::string_view { return invariant_names[static_cast<std::size_t>(which)]; }

// One input of a check, for the report of a violation.
struct InvariantFact {
    std::string_view name;
    std::int64_t value = 0;
};
using InvariantFacts = std::span<InvariantFact const>;

namespace invariants {

// Called for each violation, on the thread that detected it.
using Sink = void (*)(Invariant which, InvariantFacts facts);
auto set_sink(Sink sink) -> void;

auto count(Invariant which) -> std::uint64_t;  // violations of one invariant in this process
auto total() -> std::uint64_t;                 // of all invariants
// Count and last description for this thread: simulators run one simulated fleet on each thread.
auto violations_on_this_thread() -> std::uint64_t;
auto last_violation_on_this_thread() -> std::string const&;
auto describe(Invariant which, InvariantFacts facts) -> std::string;

// Counts the violation and calls the sink; does not stop the process.
[[gnu::cold, gnu::noinline]] auto violated(Invariant which, InvariantFacts facts) -> void;

// Returns `kept`, and reports a violation where it is false. The usual path costs only the comparisons and a branch.
template <typename... Facts>
auto holds(Invariant which, bool kept, Facts const&... facts) -> bool {
    if (kept) [[likely]]
        return true;
    violated(which, std::array<InvariantFact, sizeof...(Facts)>{facts...});
    return false;
}

}  // namespace invariants

}  // namespace dockrock

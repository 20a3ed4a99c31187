#pragma once
// What must hold, checked in the code right before the effect: a name and a counter for each
// invariant, and whom a violation is told to. docs/consensus.md section 5.
#include <array>
#include <span>
#include <string_view>

#include "base/basics.hpp"

namespace dockrock {

enum class Invariant : int {
    refusal_under_proof,        // a refusal that only a configuration justifies leaves under a young proof
    send_under_proof,           // a request is written under a young proof, to a listed replica, by its rules
    weights_not_overdue,        // nor to a replica whose weights are older than named ones past their bound
    configuration_never_back,   // what is in force never falls, and one sequence has one content
    order_under_lease,          // an order to a replica leaves under a lease, its fence and its tenure
    read_under_lease,           // a read is answered under a lease
    acknowledged_is_durable,    // an acknowledgement leaves once all members reported it synced
    one_lease,                  // terms never fall, and a leased leader knows of no successor
    run_once_sent_once,         // what runs at most once is not written again after a try that may have run
    proof_not_from_the_future,  // a proof is no younger than the moment it is taken
};
inline constexpr auto invariant_names = std::to_array<std::string_view>(
    {"refusal-under-proof", "send-under-proof", "weights-not-overdue", "configuration-never-back", "order-under-lease",
     "read-under-lease", "acknowledged-is-durable", "one-lease", "run-once-sent-once", "proof-not-from-the-future"});
inline constexpr auto invariant_count = invariant_names.size();
constexpr auto name_of(Invariant which) -> std::string_view { return invariant_names[static_cast<std::size_t>(which)]; }

// One number that a check looked at.
struct InvariantFact {
    std::string_view name;
    std::int64_t value = 0;
};
using InvariantFacts = std::span<InvariantFact const>;

namespace invariants {

// Told of each violation, on the thread that met it.
using Sink = void (*)(Invariant which, InvariantFacts facts);
auto set_sink(Sink sink) -> void;

auto count(Invariant which) -> std::uint64_t;  // in this process
auto total() -> std::uint64_t;
// For simulators, which run a world to a thread.
auto met_on_this_thread() -> std::uint64_t;
auto last_on_this_thread() -> std::string const&;
auto describe(Invariant which, InvariantFacts facts) -> std::string;

// Counts it and tells the sink; never stops the process.
[[gnu::cold, gnu::noinline]] auto violated(Invariant which, InvariantFacts facts) -> void;

// Where it is kept this costs its comparisons and a branch.
template <typename... Facts>
auto holds(Invariant which, bool kept, Facts const&... facts) -> bool {
    if (kept) [[likely]]
        return true;
    violated(which, std::array<InvariantFact, sizeof...(Facts)>{facts...});
    return false;
}

}  // namespace invariants

}  // namespace dockrock

#pragma once
// The last look at what a leader tells: reads and acknowledgements, counted anew from grants and
// reports. An answer that breaks an invariant is held back. docs/consensus.md section 5.
#include "base/invariant_checks.hpp"
#include "consensus/partition.hpp"

namespace dockrock {

auto lease_facts(Partition const& partition, std::string const& self, Microseconds now) -> invariants::LeaseFacts;
auto durability_facts(Partition const& partition, Sequence const& covered) -> invariants::DurabilityFacts;

// The answer as it is, or 503: nothing is read without a lease.
auto checked_read(Partition const& partition, Context const& context, CallDone done) -> CallDone;
// The answer as it is; an acknowledgement that does not hold yet is an outcome that is not known.
auto checked_outcome(Partition const& partition, Sequence const& covered, CallDone done) -> CallDone;

}  // namespace dockrock

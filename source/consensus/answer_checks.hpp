#pragma once
// Final check of a leader's answers, reads and acknowledgements: lease and durability are recomputed from
// grants and follower reports. An answer that breaks an invariant is replaced by an error. docs/consensus.md section 5.
#include "base/invariant_checks.hpp"
#include "consensus/partition.hpp"

namespace dockrock {

auto lease_facts(Partition const& partition, std::string const& self, Microseconds now) -> invariants::LeaseFacts;
auto durability_facts(Partition const& partition, Sequence const& covered) -> invariants::DurabilityFacts;

// The answer unchanged, or status 503 where the leader holds no lease.
auto checked_read(Partition const& partition, Context const& context, CallDone done) -> CallDone;
// The answer unchanged, or status 504 (outcome not known) for an acknowledgement that is not durable yet.
auto checked_outcome(Partition const& partition, Sequence const& covered, CallDone done) -> CallDone;

}  // namespace dockrock

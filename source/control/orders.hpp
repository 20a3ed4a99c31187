#pragma once
// The replicas that the leased leader of a service's partition now orders to load
// weights. docs/design.md section 11.
#include "control/rollout.hpp"
#include "control/snapshot.hpp"

namespace dockrock {

struct Order {
    std::string replica;
    std::string address;
    std::string weights;
    std::string incarnation;  // of the receiver: an order for a former incarnation is refused
    std::uint64_t fence = 0;
    int partition = 0;
};

struct Orders {
    std::map<std::string, Rollout> rollouts;  // by model
    auto due(
        Control const& control, Snapshot const& snapshot, std::map<std::string, ReplicaReport> const& reports,
        Microseconds now) -> std::vector<Order>;
};

// The facts for the invariant check of an order, except those known only when it is sent: `lease_age` holds `now`.
auto order_facts(Control const& control, int partition, std::uint64_t fence, Microseconds now)
    -> invariants::OrderFacts;

}  // namespace dockrock

#pragma once
// Which replicas the leased leader of a service's partition orders to load weights
// now. docs/design.md section 11.
#include "control/rollout.hpp"
#include "control/snapshot.hpp"

namespace dockrock {

struct Order {
    std::string replica;
    std::string address;
    std::string weights;
    std::string incarnation;  // the receiver's life: an order for a former one is refused
    std::uint64_t fence = 0;
    int partition = 0;
};

struct Orders {
    std::map<std::string, Rollout> rollouts;  // by model
    auto due(
        Control const& control, Snapshot const& snapshot, std::map<std::string, ReplicaReport> const& reports,
        Microseconds now) -> std::vector<Order>;
};

// What the check of an order looks at, but for what is known only once it leaves. Its `lease_age` is the moment.
auto order_facts(Control const& control, int partition, std::uint64_t fence, Microseconds now)
    -> invariants::OrderFacts;

}  // namespace dockrock

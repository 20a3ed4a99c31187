#pragma once
// Which replicas the licensed owner of a service's part orders to load weights
// now. docs/design.md section 11.
#include "process/machine/rollout.hpp"
#include "process/machine/snapshot.hpp"

namespace dockrock {

struct Order {
    std::string replica;
    std::string address;
    std::string weights;
    std::string incarnation;  // the receiver's life: an order for a former one is refused
    std::uint64_t fence = 0;
    int part = 0;
};

struct Orders {
    std::map<std::string, Rollout> rollouts;  // by model
    auto due(
        Control const& control, Snapshot const& snapshot, std::map<std::string, ReplicaReport> const& reports,
        Microseconds now) -> std::vector<Order>;
};

// Asked again right before an order is sent.
inline auto may_order(Control const& control, Order const& order, Microseconds now) -> bool {
    return control.owns(order.part, now) && control.best_record(order.part).epoch == order.fence;
}

}  // namespace dockrock

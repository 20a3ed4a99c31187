#include "simulated_replica.hpp"

namespace dockrock::simulation {

auto SimulatedReplica::report() const -> ReplicaReport {
    ReplicaReport told;
    told.incarnation = std::to_string(life);
    told.weights = weights;
    told.changing = changing;
    told.free_memory = free();
    told.fence = fence;
    told.events = events;
    told.first_event = events.empty() ? next_event : events.front().number;
    told.next_event = next_event;
    return told;
}

auto SimulatedReplica::clear_kept() -> void {
    kept.clear();
    events.push_back({next_event++, "cleared", "0"});
}

}  // namespace dockrock::simulation

#include "control/orders.hpp"

#include "consensus/answer_checks.hpp"

namespace dockrock {

auto Orders::due(
    Control const& control, Snapshot const& snapshot, std::map<std::string, ReplicaReport> const& reports,
    Microseconds now) -> std::vector<Order> {
    std::vector<Order> orders;
    for (auto const& [model, target] : snapshot.target_weights) {
        auto const partition = partition_of_service(model);
        if (!control.leads(partition, now) || control.proof_age(partition, now) > one_second) {
            rollouts.erase(model);
            continue;
        }
        std::vector<RolloutReplica> replicas;
        for (auto const& entry : snapshot.list.replicas)
            if (auto const found = reports.find(entry.name); entry.model == model && found != reports.end())
                replicas.push_back({entry.name, found->second.weights, found->second.changing, entry.drain});
        for (auto const& name : rollouts[model].step(target, replicas, now))
            for (auto const& entry : snapshot.list.replicas)
                if (entry.name == name)
                    orders.push_back(
                        {name, entry.address, target, reports.at(name).incarnation, control.best_record(partition).term,
                         partition});
    }
    return orders;
}

auto order_facts(Control const& control, int partition, std::uint64_t fence, Microseconds now)
    -> invariants::OrderFacts {
    auto const place = static_cast<std::size_t>(partition);
    auto facts = invariants::OrderFacts();
    facts.leased = keeps(lease_facts(control.partitions[place], control.membership.self.identity, now));
    facts.lease_age = now;
    facts.fence = fence;
    facts.term = control.best_record(partition).term;
    facts.since_other = now - control.watches[place].other_holder_at;
    return facts;
}

}  // namespace dockrock

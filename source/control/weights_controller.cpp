#include "control/weights_controller.hpp"

#include <algorithm>

namespace dockrock {

namespace {
constexpr auto no_states = std::string_view("{}");

auto listed_for(Snapshot const& snapshot, int partition, std::string const& model) -> std::vector<ListedReplica> {
    std::vector<ListedReplica> replicas;
    for (auto const& entry : snapshot.list.replicas)
        if (auto const found = entry.weights.find(model);
            found != entry.weights.end() && ordering_partition(entry) == partition)
            replicas.push_back({entry.name, entry.model, entry.area, found->second, entry.drain});
    return replicas;
}

// A large service loads a sixth of its replicas at a time, or the last ones would load long
// after the target version has to serve everywhere.
auto load_slots_for(std::size_t least, std::size_t replicas) -> std::size_t { return std::max(least, replicas / 6); }

auto address_of(Snapshot const& snapshot, std::string const& replica) -> std::string {
    for (auto const& entry : snapshot.list.replicas)
        if (entry.name == replica) return entry.address;
    return {};
}

}  // namespace

auto ordering_partition(ReplicaEntry const& entry) -> int {
    return entry.weights.empty() ? -1 : partition_of_service(entry.weights.begin()->first);
}

auto may_order(Control const& control, int partition, std::uint64_t fence, Microseconds now) -> bool {
    auto const& held = control.partitions[static_cast<std::size_t>(partition)];
    return control.leads(partition, now) && held.votes.sealed < held.votes.decided.term &&
        control.best_record(partition).term == fence;
}

auto WeightsController::step(Control const& control, Snapshot const& snapshot, Microseconds now) -> ControllerActions {
    ControllerActions actions;
    for (auto const& [model, versions] : snapshot.version_times) version_times[model].merge(versions);
    for (auto const& [model, version] : snapshot.target_versions) version_times[model].take(version, now);
    for (auto partition = 1; partition <= service_partitions; ++partition)
        step_partition(partition, control, snapshot, now, actions);
    return actions;
}

auto WeightsController::step_partition(
    int partition, Control const& control, Snapshot const& snapshot, Microseconds now, ControllerActions& actions)
    -> void {
    auto const& record = control.best_record(partition);
    auto const leader = record.term > 0 && record.leader == control.membership.self.identity;
    auto const leased = control.leads(partition, now);
    auto const waited =
        takeover_waits[static_cast<std::size_t>(partition)].step(record.term, leader, leased, wait, now);
    if (!leader) {
        held[static_cast<std::size_t>(partition)] = OrdersHeld::no;
        std::erase_if(rollouts, [&](auto const& item) { return item.first.first == partition; });
        return;
    }
    if (snapshot.list.replicas.empty()) return;  // not known yet: the former leader's published states stay
    auto const& view = control.views[static_cast<std::size_t>(partition)];
    auto const sure = control.proof_age(partition, now) <= one_second &&
        control.proof_age(configuration_partition, now) <= one_second;
    std::set<std::string> models;
    for (auto const& entry : snapshot.list.replicas)
        if (ordering_partition(entry) == partition)
            for (auto const& [model, version] : entry.weights) models.insert(model);
    auto published_states = WeightsStates();
    auto states = WeightsStates();
    auto have_published_states = false;
    auto behind = false;
    for (auto const& model : models) {
        auto const replicas = listed_for(snapshot, partition, model);
        auto const [place, fresh] = rollouts.try_emplace({partition, model});
        auto& rollout = place->second;
        if (fresh) {  // continue what a former leader had in progress
            if (!have_published_states) published_states = read_weights_states(view.live);
            have_published_states = true;
            rollout.target = snapshot.target_version(model);
            for (auto const& replica : replicas)
                if (auto const state = published_states.find(replica.name); state != published_states.end())
                    if (auto const version = state->second.versions.find(model);
                        version != state->second.versions.end())
                        rollout.adopt(replica, version->second, state->second.loading, now);
        }
        rollout.times.bound = bound;
        rollout.version_times.merge(version_times[model]);
        auto const fence = record.term;
        auto const ordering = waited && sure && may_order(control, partition, fence, now);
        auto const load_slots = load_slots_for(at_once, replicas.size());
        auto const due = rollout.step(snapshot.target_version(model), fence, ordering, load_slots, replicas, now);
        for (auto const& order : due.orders)
            actions.orders.push_back({order, address_of(snapshot, order.replica), model, fence, partition});
        for (auto const& replica : due.reports)
            actions.reports.push_back({replica, address_of(snapshot, replica), model, partition});
        for (auto const& note : due.notes) actions.notes.emplace_back(model, note);
        rollout.add_states(model, states);
        behind = behind || rollout.under_way();
    }
    actions.under_way = actions.under_way || behind;
    auto const reason = !leased || !may_order(control, partition, record.term, now) ? OrdersHeld::no_lease
        : !waited                                                                   ? OrdersHeld::new_holder
        : !sure                                                                     ? OrdersHeld::no_fresh_news
                                                                                    : OrdersHeld::no;
    note_held(partition, behind ? reason : OrdersHeld::no, actions);
    if (!leased) return;
    auto text = json::serialize(write_json(states));
    if (text != view.live && !(text == no_states && view.live.empty()))
        actions.live_texts.emplace_back(partition, std::move(text));
}

auto WeightsController::note_held(int partition, OrdersHeld reason, ControllerActions& actions) -> void {
    auto& known = held[static_cast<std::size_t>(partition)];
    if (known == reason) return;
    known = reason;
    actions.held.emplace_back(partition, reason);
}

auto WeightsController::collect_metrics(Microseconds now) const -> RolloutMetrics {
    RolloutMetrics sum;
    for (auto const& [place, rollout] : rollouts) {
        auto const metrics = rollout.collect_metrics(now);
        sum.behind += metrics.behind;
        sum.overdue += metrics.overdue;
        sum.oldest = std::max(sum.oldest, metrics.oldest);
    }
    return sum;
}

auto WeightsController::order_ended(AddressedOrder const& order, OrderResult end, Microseconds now) -> void {
    auto const found = rollouts.find({order.partition, order.model});
    if (found != rollouts.end()) found->second.order_ended(order.order.replica, end, now);
}

auto WeightsController::reported(
    ReportRequest const& asked, std::optional<ReportedWeights> const& report, Microseconds asked_at, Microseconds now)
    -> void {
    auto const found = rollouts.find({asked.partition, asked.model});
    if (found != rollouts.end()) found->second.reported(asked.replica, report, asked_at, now);
}

}  // namespace dockrock

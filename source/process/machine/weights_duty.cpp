#include "process/machine/weights_duty.hpp"

#include <algorithm>

namespace dockrock {

namespace {
constexpr auto no_words = std::string_view("{}");

constexpr auto drain_time = one_second;  // so long before the first order a new holder begins to drain

// Where nobody tells of requests placed, there are none.
auto listed_for(
    Snapshot const& snapshot, int part, std::string const& model, RunningTold const& running, Microseconds now)
    -> std::vector<ListedReplica> {
    std::vector<ListedReplica> replicas;
    for (auto const& entry : snapshot.list.replicas) {
        auto const found = entry.weights.find(model);
        if (found == entry.weights.end() || ordering_part(entry) != part) continue;
        auto const there = running.counts.find(entry.name);
        auto const count = there == running.counts.end() ? std::int64_t{0} : there->second;
        replicas.push_back(
            {entry.name, entry.model, entry.area, found->second, entry.drain, count, running.told_at.value_or(now)});
    }
    return replicas;
}

auto address_of(Snapshot const& snapshot, std::string const& replica) -> std::string {
    for (auto const& entry : snapshot.list.replicas)
        if (entry.name == replica) return entry.address;
    return {};
}

}  // namespace

auto ordering_part(ReplicaEntry const& entry) -> int {
    return entry.weights.empty() ? -1 : part_of_service(entry.weights.begin()->first);
}

auto may_order(Control const& control, int part, std::uint64_t fence, Microseconds now) -> bool {
    auto const& held = control.parts[static_cast<std::size_t>(part)];
    return control.owns(part, now) && held.votes.sealed < held.votes.decided.epoch &&
        control.best_record(part).epoch == fence;
}

auto WeightsDuty::step(Control const& control, Snapshot const& snapshot, Microseconds now, RunningTold const& running)
    -> DutyActions {
    DutyActions actions;
    deadlines.take(control, snapshot, now);
    for (auto part = 1; part <= service_parts; ++part) step_part(part, control, snapshot, now, running, actions);
    return actions;
}

auto WeightsDuty::step_part(
    int part, Control const& control, Snapshot const& snapshot, Microseconds now, RunningTold const& running,
    DutyActions& actions) -> void {
    auto const& record = control.best_record(part);
    auto const primary = record.epoch > 0 && record.primary == control.membership.self.identity;
    auto const licensed = control.owns(part, now);
    auto& tenure = tenures[static_cast<std::size_t>(part)];
    auto const waited = tenure.step(record.epoch, primary, licensed, wait, now);
    auto const soon = licensed && tenure.step(record.epoch, primary, licensed, wait - drain_time, now);
    if (!primary) {
        std::erase_if(rollouts, [&](auto const& item) { return item.first.first == part; });
        return;
    }
    auto const& news = control.news[static_cast<std::size_t>(part)];
    auto const sure =
        control.proof_age(part, now) <= one_second && control.proof_age(configuration_part, now) <= one_second;
    std::set<std::string> models;
    for (auto const& entry : snapshot.list.replicas)
        if (ordering_part(entry) == part)
            for (auto const& [model, version] : entry.weights) models.insert(model);
    auto told = WeightsWords();
    auto words = WeightsWords();
    auto read_told = false;
    for (auto const& model : models) {
        auto const replicas = listed_for(snapshot, part, model, running, now);
        auto const [place, fresh] = rollouts.try_emplace({part, model});
        auto& rollout = place->second;
        if (fresh) {  // what a former owner had under way is asked after first
            if (!read_told) told = read_words(news.live);
            read_told = true;
            rollout.target = snapshot.target_version(model);
            for (auto const& replica : replicas)
                if (auto const word = told.find(replica.name); word != told.end())
                    if (auto const version = word->second.versions.find(model); version != word->second.versions.end())
                        rollout.adopt(replica, version->second, word->second.loading, now);
        }
        auto const fence = record.epoch;
        auto const holder = sure && may_order(control, part, fence, now);
        auto const task = RolloutTask{
            snapshot.target_version(model),
            fence,
            waited && holder,
            soon && holder,
            at_once,
            deadlines.models[model],
            deadlines.held_since[static_cast<std::size_t>(part)],
            bound};
        auto const due = rollout.step(task, replicas, now);
        for (auto const& order : due.orders)
            actions.orders.push_back({order, address_of(snapshot, order.replica), model, fence, part});
        for (auto const& replica : due.reports)
            actions.reports.push_back({replica, address_of(snapshot, replica), model, part});
        actions.drains.insert(actions.drains.end(), due.drains.begin(), due.drains.end());
        rollout.words(model, words);
        actions.under_way = actions.under_way || rollout.under_way();
    }
    if (!licensed) return;
    auto text = json::serialize(write_json(words));
    if (text != news.live && !(text == no_words && news.live.empty()))
        actions.words.emplace_back(part, std::move(text));
}

auto WeightsDuty::order_ended(DutyOrder const& order, OrderEnd end, Microseconds now) -> void {
    auto const found = rollouts.find({order.part, order.model});
    if (found != rollouts.end()) found->second.order_ended(order.order.replica, end, now);
}

auto WeightsDuty::reported(
    DutyReport const& asked, std::optional<ReportedWeights> const& report, Microseconds asked_at, Microseconds now)
    -> void {
    auto const found = rollouts.find({asked.part, asked.model});
    if (found != rollouts.end()) found->second.reported(asked.replica, report, asked_at, now);
}

}  // namespace dockrock

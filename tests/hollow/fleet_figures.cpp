// What a fleet's nodes spent, by role.
#include <algorithm>

#include "fleet.hpp"
#include "meter.hpp"

namespace dockrock::hollow {

auto HollowFleet::forget_traffic() -> void {
    for (auto const& node : nodes) node->traffic = Traffic();
    kind_messages.clear();
    kind_bytes.clear();
    platform_calls = 0;
}

auto HollowFleet::owner(int part) -> HollowNode* {
    for (auto const& node : nodes)
        if (node->running && node->control.leads(part, now)) return node.get();
    return nullptr;
}

auto HollowFleet::fresh(HollowNode const& node) const -> bool {
    return node.control.proof_age(configuration_partition, now) < node.control.times.proof_limit &&
        !node.snapshot->rules->empty() && !node.snapshot->list.replicas.empty();
}

auto HollowFleet::all_fresh() const -> bool {
    return std::all_of(nodes.begin(), nodes.end(), [&](auto const& node) { return !node->running || fresh(*node); });
}

auto HollowFleet::figures(std::string const& what, std::uint64_t seed, Microseconds length) -> std::vector<Run> {
    auto const seconds = static_cast<double>(length) / 1e6;
    std::map<std::string, std::pair<Run, double>> roles;
    auto running = 0.0;
    for (auto const& node : nodes) {
        if (!node->running) continue;
        running += 1.0;
        auto owns = false;
        for (auto part = 0; part < static_cast<int>(partition_count); ++part)
            owns = owns || node->control.leads(part, now);
        auto& [run, count] = roles[owns ? "owner" : node->core ? "core" : "edge"];
        count += 1.0;
        auto const add = [&](std::string const& name, double value) {
            run.figures[name] += value;
            auto& most = run.figures[name + "_most"];
            most = std::max(most, value);
        };
        add("processor_percent", static_cast<double>(node->traffic.processor) / 1e7 / seconds);
        add("messages_out", static_cast<double>(node->traffic.messages_out) / seconds);
        add("messages_in", static_cast<double>(node->traffic.messages_in) / seconds);
        add("bytes_out", static_cast<double>(node->traffic.bytes_out) / seconds);
        add("bytes_in", static_cast<double>(node->traffic.bytes_in) / seconds);
        add("state_bytes", static_cast<double>(live_bytes(node->account())));
    }
    std::vector<Run> runs;
    for (auto& [role, entry] : roles) {
        auto& [run, count] = entry;
        for (auto& [name, value] : run.figures)
            if (!name.ends_with("_most")) value /= count;
        run.figures["count"] = count;
        run.role = role;
        runs.push_back(std::move(run));
    }
    Run fleet;
    fleet.role = "fleet";
    for (auto const& [kind, bytes] : kind_bytes)
        fleet.figures["bytes " + kind] = static_cast<double>(bytes) / seconds / running;  // a node and second
    for (auto const& [kind, count] : kind_messages)
        fleet.figures["messages " + kind] = static_cast<double>(count) / seconds / running;
    auto least_known = nodes.size();
    for (auto const& node : nodes)
        if (node->running) least_known = std::min(least_known, node->control.membership.alive_members(false).size());
    fleet.figures["members_unknown_most"] = running - static_cast<double>(least_known);
    fleet.figures["platform_calls"] = static_cast<double>(platform_calls) / seconds;
    runs.push_back(std::move(fleet));
    for (auto& run : runs) {
        run.what = what;
        run.nodes = shape.nodes;
        run.replicas = shape.load.replicas;
        run.seed = seed;
    }
    return runs;
}

}  // namespace dockrock::hollow

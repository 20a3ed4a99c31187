#include "control/resting_policy.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace dockrock {

auto RestingPolicy::least_awake(std::vector<EdgeTraffic> const& edges) const -> std::size_t {
    auto total = 0.0;
    std::set<std::string> areas;
    for (auto const& node : edges) {
        total += node.rate;
        areas.insert(node.area);
    }
    auto const needed = static_cast<std::size_t>(std::ceil(total * options.headroom / options.node_rate));
    auto const slack = static_cast<std::size_t>(options.loss_slack);
    return std::min(edges.size(), std::max(needed, areas.size()) + slack);  // at least one per area, plus the spares
}

// A resting node that gets traffic counts as awake, except for traffic within the grace period.
auto RestingPolicy::still_rests(
    EdgeTraffic const& node, std::set<std::string> const& now_resting, Microseconds now) const -> bool {
    auto const rested = rested_at.find(node.identity);
    auto const in_grace = rested != rested_at.end() && now - rested->second < options.grace;
    return now_resting.contains(node.identity) && (node.rate <= 0.0 || in_grace);
}

auto RestingPolicy::step(
    std::vector<EdgeTraffic> const& edges, std::set<std::string> const& now_resting, Microseconds now)
    -> std::optional<std::set<std::string>> {
    Plan plan;
    for (auto const& node : edges) {
        if (still_rests(node, now_resting, now)) {
            plan.resting.insert(node.identity);
        } else {
            ++plan.awake;
            ++plan.awake_in_area[node.area];
        }
    }
    auto const least = least_awake(edges);
    wake_needed(edges, least, plan);
    if (plan.awake <= least) {
        low_since = 0;
    } else if (low_since == 0) {
        low_since = now;
    } else if (now - low_since >= options.calm && now - last_step >= options.step) {
        rest_one(edges, plan, now);
    }
    if (plan.resting == now_resting) return std::nullopt;
    return plan.resting;
}

// Wakes nodes without delay, first in the area with the fewest awake nodes.
auto RestingPolicy::wake_needed(std::vector<EdgeTraffic> const& edges, std::size_t least, Plan& plan) -> void {
    auto const area_asleep = [&] {
        return std::any_of(
            edges.begin(), edges.end(), [&](auto const& node) { return plan.awake_in_area[node.area] == 0; });
    };
    auto const fewest_first = [&](auto const& left, auto const& right) {
        return plan.awake_in_area[left->area] < plan.awake_in_area[right->area];
    };
    while (plan.awake < least || area_asleep()) {
        std::vector<EdgeTraffic const*> candidates;
        for (auto const& node : edges)
            if (plan.resting.contains(node.identity)) candidates.push_back(&node);
        if (candidates.empty()) return;
        auto const* chosen = *std::min_element(candidates.begin(), candidates.end(), fewest_first);
        plan.resting.erase(chosen->identity);
        ++plan.awake;
        ++plan.awake_in_area[chosen->area];
    }
}

// Rests the node with the least traffic in the area with the most awake nodes, if another one stays awake there.
auto RestingPolicy::rest_one(std::vector<EdgeTraffic> const& edges, Plan& plan, Microseconds now) -> void {
    auto const order = [&](EdgeTraffic const& node) { return std::pair(-plan.awake_in_area[node.area], node.rate); };
    EdgeTraffic const* chosen = nullptr;
    for (auto const& node : edges) {
        if (plan.resting.contains(node.identity) || plan.awake_in_area[node.area] < 2) continue;
        if (chosen == nullptr || order(node) < order(*chosen)) chosen = &node;
    }
    if (chosen == nullptr) return;
    plan.resting.insert(chosen->identity);
    rested_at[chosen->identity] = now;
    last_step = now;
}

}  // namespace dockrock

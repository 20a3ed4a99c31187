#include "control/resting.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace dockrock {

auto Resting::least_awake(std::vector<RestingNode> const& edges) const -> std::size_t {
    auto total = 0.0;
    std::set<std::string> areas;
    for (auto const& node : edges) {
        total += node.rate;
        areas.insert(node.area);
    }
    auto const needed = static_cast<std::size_t>(std::ceil(total * options.headroom / options.node_rate));
    auto const slack = static_cast<std::size_t>(options.loss_slack);
    return std::min(edges.size(), std::max(needed, areas.size()) + slack);  // one in every area, and one to lose
}

auto Resting::step(std::vector<RestingNode> const& edges, std::set<std::string> const& now_resting, Microseconds now)
    -> std::optional<std::set<std::string>> {
    auto wanted = std::set<std::string>();
    std::map<std::string, int> awake_in_area;
    auto awake = std::size_t{0};
    for (auto const& node : edges) {
        // A resting node that was given traffic is awake already.
        auto const rested = rested_at.find(node.identity);
        auto const in_grace = rested != rested_at.end() && now - rested->second < options.grace;
        if (now_resting.contains(node.identity) && (node.rate <= 0.0 || in_grace)) {
            wanted.insert(node.identity);
        } else {
            ++awake;
            ++awake_in_area[node.area];
        }
    }
    auto const least = least_awake(edges);
    auto const fewest_first = [&](auto const& left, auto const& right) {
        return awake_in_area[left->area] < awake_in_area[right->area];
    };
    while (awake < least ||
           std::any_of(edges.begin(), edges.end(), [&](auto const& node) { return awake_in_area[node.area] == 0; })) {
        std::vector<RestingNode const*> candidates;  // woken at once, the emptiest area first
        for (auto const& node : edges)
            if (wanted.contains(node.identity)) candidates.push_back(&node);
        if (candidates.empty()) break;
        auto const* chosen = *std::min_element(candidates.begin(), candidates.end(), fewest_first);
        wanted.erase(chosen->identity);
        ++awake;
        ++awake_in_area[chosen->area];
    }
    if (awake <= least) {
        low_since = 0;
    } else if (low_since == 0) {
        low_since = now;
    } else if (now - low_since >= options.calm && now - last_step >= options.step) {
        RestingNode const* chosen = nullptr;  // the idlest node of the fullest area
        for (auto const& node : edges) {
            if (wanted.contains(node.identity) || awake_in_area[node.area] < 2) continue;
            if (chosen == nullptr ||
                std::pair(-awake_in_area[node.area], node.rate) < std::pair(-awake_in_area[chosen->area], chosen->rate))
                chosen = &node;
        }
        if (chosen != nullptr) {
            wanted.insert(chosen->identity);
            rested_at[chosen->identity] = now;
            last_step = now;
        }
    }
    if (wanted == now_resting) return std::nullopt;
    return wanted;
}

}  // namespace dockrock

#include "control/rollout.hpp"

#include <algorithm>

namespace dockrock {

auto Rollout::step(std::string const& wanted, std::vector<RolloutReplica> const& replicas, Microseconds now)
    -> std::vector<std::string> {
    if (wanted != target) {
        target = wanted;
        ordered.clear();
        wave_at = 0;
    }
    std::vector<std::string> orders;
    if (target.empty()) return orders;
    auto in_progress = std::size_t{0};
    std::vector<std::string> behind;
    for (auto const& replica : replicas) {
        if (replica.weights == target && !replica.changing) {
            ordered.erase(replica.name);
            continue;
        }
        auto const known = ordered.find(replica.name);
        if (known == ordered.end()) {
            behind.push_back(replica.name);
            continue;
        }
        ++in_progress;
        if (!replica.changing && now - known->second > reorder_interval) {  // the order may have been lost
            known->second = now;
            orders.push_back(replica.name);
        }
    }
    if (behind.empty() || (in_progress > 0 && now - wave_at < wave_limit)) return orders;
    wave_at = now;
    auto const wave = std::max<std::size_t>(1, (replicas.size() + 2) / 3);
    for (auto index = std::size_t{0}; index < std::min(wave, behind.size()); ++index) {
        ordered[behind[index]] = now;
        orders.push_back(behind[index]);
    }
    return orders;
}

}  // namespace dockrock

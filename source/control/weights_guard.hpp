#pragma once
// A node's own guard against replicas of older weights, behind the leader's word:
// near the end of the time in which named weights have to serve everywhere,
// nothing new goes to replicas that hold older ones. docs/design.md section 11.
#include <algorithm>
#include <set>

#include "control/named_versions.hpp"

namespace dockrock {

struct WeightsGuard {
    Microseconds bound = 0;  // named weights serve everywhere; none: no bound
    std::map<std::string, std::pair<std::int64_t, Microseconds>> known;  // the newest version, and since when
    std::set<std::string> withheld;

    auto take_targets(std::map<std::string, std::int64_t> const& targets, Microseconds now) -> void {
        for (auto const& [model, version] : targets) {
            auto& place = known[model];
            if (place.first != version) place = {version, now};
        }
    }
    auto late(std::string const& model, std::int64_t version, Microseconds now) const -> bool {
        auto const found = known.find(model);
        return found != known.end() && version < found->second.first &&
            now - found->second.second > bound - weights_margin;
    }
    auto late(ReplicaWeights const& held, Microseconds now) const -> bool {
        return std::any_of(held.versions.begin(), held.versions.end(), [&](auto const& item) {
            return late(item.first, item.second, now);
        });
    }
    // True where it begins, to be told once.
    auto withhold(std::string const& replica, bool is_late) -> bool {
        if (is_late) return withheld.insert(replica).second;
        withheld.erase(replica);
        return false;
    }
    auto forget_others(WeightsWords const& listed) -> void {
        std::erase_if(withheld, [&](auto const& name) { return !listed.contains(name); });
    }
};

}  // namespace dockrock

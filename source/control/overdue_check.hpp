#pragma once
// The target versions and when this node learned of them, for the invariant check before a request is sent
// to a replica; independent of the roll-out's own data. docs/consensus.md section 5.
#include <algorithm>

#include "base/invariant_checks.hpp"

namespace dockrock {

struct OverdueCheck {
    struct Target {
        std::int64_t version = 0;
        Microseconds since = 0;
    };
    std::map<std::string, std::vector<Target>> by_model;  // ascending

    // Of the versions past their bound only the newest is needed.
    auto learn(std::string const& model, std::int64_t version, Microseconds now, Microseconds bound) -> void {
        auto& targets = by_model[model];
        if (targets.empty() || targets.back().version < version) targets.push_back({version, now});
        while (targets.size() > 1 && now - targets[1].since > bound) targets.erase(targets.begin());
    }
    // False if a replica with this version must get no more requests.
    auto check(std::string const& model, std::int64_t held, Microseconds now, Microseconds bound) const -> bool {
        auto const found = by_model.find(model);
        if (found == by_model.end()) return true;
        return std::all_of(found->second.begin(), found->second.end(), [&](Target const& target) {
            return invariants::check(invariants::VersionFacts{held, target.version, now - target.since, bound});
        });
    }
};

}  // namespace dockrock

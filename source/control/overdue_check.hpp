#pragma once
// Which versions were named and since when this node knows, for the check of what it writes; the
// roll-out keeps its own account. docs/consensus.md section 5.
#include <algorithm>

#include "base/invariant_checks.hpp"

namespace dockrock {

struct OverdueCheck {
    struct Named {
        std::int64_t version = 0;
        Microseconds since = 0;
    };
    std::map<std::string, std::vector<Named>> by_model;  // rising

    // Of versions past their bound the newest says it all.
    auto learn(std::string const& model, std::int64_t version, Microseconds now, Microseconds bound) -> void {
        auto& named = by_model[model];
        if (named.empty() || named.back().version < version) named.push_back({version, now});
        while (named.size() > 1 && now - named[1].since > bound) named.erase(named.begin());
    }
    // False where a replica with this version is to get nothing more.
    auto check(std::string const& model, std::int64_t held, Microseconds now, Microseconds bound) const -> bool {
        auto const found = by_model.find(model);
        if (found == by_model.end()) return true;
        return std::all_of(found->second.begin(), found->second.end(), [&](Named const& named) {
            return invariants::check(invariants::VersionFacts{held, named.version, now - named.since, bound});
        });
    }
};

}  // namespace dockrock

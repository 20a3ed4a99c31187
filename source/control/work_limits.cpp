#include "control/work_limits.hpp"

#include <algorithm>

namespace dockrock {

auto work_limits(Snapshot const& snapshot, std::string const& replica, Microseconds bound, Microseconds now)
    -> WorkLimits {
    auto const held = snapshot.replica_weights.find(replica);
    if (bound <= 0 || held == snapshot.replica_weights.end() || held->second.versions.empty()) return {};
    auto since = now;
    for (auto const& [model, version] : held->second.versions) {
        auto const times = snapshot.version_times.find(model);
        if (times == snapshot.version_times.end()) continue;
        since = std::min(since, times->second.superseded_at(version).value_or(now));
    }
    return {since + bound - recall_margin, since + bound - end_margin};
}

}  // namespace dockrock

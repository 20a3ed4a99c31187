#include "control/version_history.hpp"

#include <algorithm>

namespace dockrock {

auto VersionHistory::learn(std::string const& document, Microseconds now) -> void {
    auto const parsed = document.empty() ? std::nullopt : parse_json(document);
    if (!parsed || !parsed->is_object()) return;
    for (auto const& item : parsed->as_object())
        if (item.value().is_int64() && by_model[item.key()].take(item.value().as_int64(), now)) learned_at = now;
}

auto VersionHistory::take(VersionAgeLists const& told, Microseconds now) -> bool {
    auto changed = false;
    for (auto const& [model, versions] : told) {
        VersionTimes other;
        for (auto const& target : versions)
            if (target.version > first_version)
                other.at[target.version] = now - std::clamp(target.age, std::int64_t{0}, std::int64_t{longest_age});
        auto& known = by_model[model];
        auto const newest = known.newest();
        changed = known.merge(other) || changed;
        if (known.newest() > newest) learned_at = now;  // the sender may have learned of it just now as well
    }
    return changed;
}

auto VersionHistory::ages(Microseconds now) const -> VersionAgeLists {
    VersionAgeLists told;
    for (auto const& [model, times] : by_model)
        for (auto const& [version, moment] : times.at)
            told[model].push_back({version, std::min(now - moment, longest_age)});
    return told;
}

auto VersionHistory::ask_due(Microseconds now) -> bool {
    if (now - learned_at >= ask_for || now - asked_at < ask_interval) return false;
    asked_at = now;
    return true;
}

}  // namespace dockrock

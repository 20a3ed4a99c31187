#pragma once
// When the versions of one model were named, as this node came to know of them:
// from each of them runs the time in which older weights may still serve.
// docs/design.md section 11.4.
#include <map>
#include <algorithm>
#include <optional>

#include "control/replica_weights.hpp"

namespace dockrock {

// Weights are withheld this long before that time is over: until a node has heard
// of it, and what lies unstarted at the replica has begun or was turned away.
inline constexpr Microseconds weights_margin = 2'500 * one_millisecond;

struct VersionTimes {
    static constexpr std::size_t most = 64;
    std::map<std::int64_t, Microseconds> at;

    // True where it was not known before. Versions only rise.
    auto take(std::int64_t version, Microseconds now) -> bool {
        if (version <= first_version || (!at.empty() && version <= at.rbegin()->first)) return false;
        at[version] = now;
        drop_oldest();
        return true;
    }
    // Another account of the same versions: of each the earlier moment counts. True where it changed anything.
    auto merge(VersionTimes const& other) -> bool {
        auto changed = false;
        for (auto const& [version, moment] : other.at) {
            auto const [place, fresh] = at.try_emplace(version, moment);
            changed = changed || fresh || moment < place->second;
            place->second = std::min(place->second, moment);
        }
        drop_oldest();
        return changed;
    }
    auto newest() const -> std::int64_t { return at.empty() ? first_version : at.rbegin()->first; }
    auto up_to(std::int64_t version) const -> VersionTimes { return {{at.begin(), at.upper_bound(version)}}; }
    // When a version above `held` was named first: newer ones give no more time.
    auto named_after(std::int64_t held) const -> std::optional<Microseconds> {
        auto first = std::optional<Microseconds>();
        for (auto next = at.upper_bound(held); next != at.end(); ++next)
            first = first ? std::min(*first, next->second) : next->second;
        return first;
    }

   private:
    // The oldest gives way, and its moment stays: nobody is given more time by it.
    auto drop_oldest() -> void {
        while (at.size() > most) {
            auto const oldest = at.begin()->second;
            at.erase(at.begin());
            at.begin()->second = std::min(at.begin()->second, oldest);
        }
    }
};

}  // namespace dockrock

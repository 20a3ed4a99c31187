#pragma once
// When each version of one model became the target, as far as this node knows: from that
// moment runs the period in which older weights may still serve.
// docs/design.md section 11.4.
#include <map>
#include <algorithm>
#include <optional>

#include "control/replica_weights.hpp"

namespace dockrock {

// Replicas with older weights get no new requests this long before the period ends: the time until
// a node learns of it, and until queued requests at the replica have begun or are rejected.
inline constexpr Microseconds weights_margin = 2'500 * one_millisecond;

struct VersionTimes {
    static constexpr std::size_t most = 64;
    std::map<std::int64_t, Microseconds> at;  // by version: when it became the target, by this node's clock

    // True if it was not known. Versions only increase.
    auto take(std::int64_t version, Microseconds now) -> bool {
        if (version <= first_version || (!at.empty() && version <= at.rbegin()->first)) return false;
        at[version] = now;
        drop_oldest();
        return true;
    }
    // Merges another node's times: the earlier moment of each version counts. True if anything changed.
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
    // When the first version above `held` became the target: newer targets don't extend the period.
    auto superseded_at(std::int64_t held) const -> std::optional<Microseconds> {
        auto first = std::optional<Microseconds>();
        for (auto next = at.upper_bound(held); next != at.end(); ++next)
            first = first ? std::min(*first, next->second) : next->second;
        return first;
    }

   private:
    // Removes the oldest and passes its moment on to the next one, so that no replica gets more time by it.
    auto drop_oldest() -> void {
        while (at.size() > most) {
            auto const oldest = at.begin()->second;
            at.erase(at.begin());
            at.begin()->second = std::min(at.begin()->second, oldest);
        }
    }
};

}  // namespace dockrock

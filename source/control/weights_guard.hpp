#pragma once
// A node's own guard against replicas with older weights, in addition to the states that
// the leader publishes: near the deadline by which target weights must serve everywhere, no
// new requests go to replicas with older ones. For a short time after a start, none go
// to replicas of models whose target version this node does not know yet either.
// docs/design.md section 11.4.
#include <algorithm>
#include <bitset>
#include <limits>
#include <set>

#include "control/control.hpp"
#include "control/version_times.hpp"

namespace dockrock {

struct WeightsGuard {
    static constexpr Microseconds startup_wait = 3 * one_second;
    Microseconds bound = 0;                              // target weights serve everywhere by then; 0: no bound
    std::bitset<partition_count> proven;                 // service partitions with a leader's proof since the start
    std::map<std::string, VersionTimes> version_times;   // by model
    std::map<std::string, Microseconds> unproven_since;  // by model
    std::set<std::string> withheld;
    Microseconds next_check_at = never;  // when the next replica becomes overdue

    static constexpr auto never = std::numeric_limits<Microseconds>::max();

    auto learn_targets(std::map<std::string, std::int64_t> const& targets, Microseconds now) -> void {
        for (auto const& [model, version] : targets) version_times[model].take(version, now);
    }
    auto learn_times(std::map<std::string, VersionTimes> const& known) -> void {
        for (auto const& [model, versions] : known) version_times[model].merge(versions);
    }
    auto overdue_from(std::string const& model, std::int64_t version) const -> Microseconds {
        auto const found = version_times.find(model);
        auto const since = found == version_times.end() ? std::nullopt : found->second.superseded_at(version);
        return bound > 0 && since ? *since + bound - weights_margin : never;
    }
    auto is_overdue(std::string const& model, std::int64_t version, Microseconds now) const -> bool {
        return now >= overdue_from(model, version);
    }
    // The target version is not known yet and `startup_wait` has not run out.
    auto target_pending(std::string const& model, int partition, Microseconds now) -> bool {
        if (proven[static_cast<std::size_t>(partition)]) return false;
        return now - unproven_since.try_emplace(model, now).first->second < startup_wait;
    }
    auto overdue_from(ReplicaWeights const& held) const -> Microseconds {
        auto earliest = never;
        for (auto const& [model, version] : held.versions) earliest = std::min(earliest, overdue_from(model, version));
        return earliest;
    }
    auto is_overdue(ReplicaWeights const& held, Microseconds now) const -> bool { return now >= overdue_from(held); }
    // Replicas are checked when their state changes, and again at `next_check_at`.
    auto schedule_check(WeightsStates const& replicas, Microseconds now) -> void {
        next_check_at = never;
        for (auto const& [name, held] : replicas)
            if (auto const from = overdue_from(held); from > now) next_check_at = std::min(next_check_at, from);
    }
    // The targets of a partition, or their absence, are known once it had a proof.
    static auto proven_partitions(Control const& control) -> std::bitset<partition_count> {
        std::bitset<partition_count> partitions;
        for (auto index = std::size_t{1}; index <= service_partitions; ++index)
            partitions[index] = control.views[index].proven_at > PartitionView().proven_at;
        return partitions;
    }
    // True if the replica was not withheld before, so that it is logged once.
    auto withhold(std::string const& replica, bool overdue) -> bool {
        if (overdue) return withheld.insert(replica).second;
        withheld.erase(replica);
        return false;
    }
    auto forget_others(WeightsStates const& listed) -> void {
        std::erase_if(withheld, [&](auto const& name) { return !listed.contains(name); });
    }
};

}  // namespace dockrock

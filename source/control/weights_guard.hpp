#pragma once
// A node's own guard against replicas of older weights, behind the leader's word:
// near the end of the time in which named weights have to serve everywhere,
// nothing new goes to replicas that hold older ones; nor, for a moment, to
// replicas of models whose named version this node has not heard of in its life.
// docs/design.md section 11.4.
#include <algorithm>
#include <bitset>
#include <limits>
#include <set>

#include "control/control.hpp"
#include "control/version_times.hpp"

namespace dockrock {

struct WeightsGuard {
    static constexpr Microseconds patience = 3 * one_second;
    Microseconds bound = 0;                             // named weights serve everywhere; none: no bound
    std::bitset<partition_count> heard;                 // service partitions whose leader was heard of in this life
    std::map<std::string, VersionTimes> named;          // by model
    std::map<std::string, Microseconds> unheard_since;  // by model
    std::set<std::string> withheld;
    Microseconds judge_at = never;  // when the next replica's weights get late

    static constexpr auto never = std::numeric_limits<Microseconds>::max();

    auto take_targets(std::map<std::string, std::int64_t> const& targets, Microseconds now) -> void {
        for (auto const& [model, version] : targets) named[model].take(version, now);
    }
    auto take_named(std::map<std::string, VersionTimes> const& known) -> void {
        for (auto const& [model, versions] : known) named[model].merge(versions);
    }
    auto late_from(std::string const& model, std::int64_t version) const -> Microseconds {
        auto const found = named.find(model);
        auto const since = found == named.end() ? std::nullopt : found->second.named_after(version);
        return bound > 0 && since ? *since + bound - weights_margin : never;
    }
    auto late(std::string const& model, std::int64_t version, Microseconds now) const -> bool {
        return now >= late_from(model, version);
    }
    // Whether a version was named is not known yet; it is waited for so long.
    auto unjudged(std::string const& model, int partition, Microseconds now) -> bool {
        if (heard[static_cast<std::size_t>(partition)]) return false;
        return now - unheard_since.try_emplace(model, now).first->second < patience;
    }
    auto late_from(ReplicaWeights const& held) const -> Microseconds {
        auto earliest = never;
        for (auto const& [model, version] : held.versions) earliest = std::min(earliest, late_from(model, version));
        return earliest;
    }
    auto late(ReplicaWeights const& held, Microseconds now) const -> bool { return now >= late_from(held); }
    // Replicas are judged when something was heard of them, and again at this moment.
    auto plan_judging(WeightsStates const& replicas, Microseconds now) -> void {
        judge_at = never;
        for (auto const& [name, held] : replicas)
            if (auto const from = late_from(held); from > now) judge_at = std::min(judge_at, from);
    }
    // What is said to be named, or not to be, counts once its partition was heard of.
    static auto heard_by(Control const& control) -> std::bitset<partition_count> {
        std::bitset<partition_count> partitions;
        for (auto index = std::size_t{1}; index <= service_partitions; ++index)
            partitions[index] = control.views[index].proven_at > PartitionView().proven_at;
        return partitions;
    }
    // True where it begins, to be told once.
    auto withhold(std::string const& replica, bool is_late) -> bool {
        if (is_late) return withheld.insert(replica).second;
        withheld.erase(replica);
        return false;
    }
    auto forget_others(WeightsStates const& listed) -> void {
        std::erase_if(withheld, [&](auto const& name) { return !listed.contains(name); });
    }
};

}  // namespace dockrock

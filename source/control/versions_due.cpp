// Which replicas of a roll-out are due or overdue, and its log entries and metrics.
// docs/design.md section 11.4.
#include <algorithm>

#include "control/versions_rollout.hpp"

namespace dockrock {

namespace {
using Stage = VersionsRollout::ReplicaProgress::Stage;
}  // namespace

auto VersionsRollout::is_overdue(ReplicaProgress const& progress, Microseconds now) const -> bool {
    auto const since = version_times.superseded_at(progress.version);
    return times.bound > 0 && since && now - *since >= times.bound - times.margin;
}

// The number of replicas that may load at the same time: enough that, when older weights get no new
// requests any more, only one round of `least` replicas is left, which is ordered then. Computed from
// the measured time that a load takes; never above half of the replicas.
auto VersionsRollout::load_slots(std::string_view service, std::size_t least, Microseconds now) const -> std::size_t {
    if (times.bound == 0 || slot_time == 0) return least;
    auto replicas = std::size_t{0};
    std::multimap<Microseconds, double> behind;  // time left, and the part of a load that is still to be done
    for (auto const& [name, progress] : by_replica) {
        if (progress.service != service || progress.drain) continue;
        ++replicas;
        auto const since = version_times.superseded_at(progress.version);
        if (since && !is_overdue(progress, now))
            behind.emplace(*since + times.bound - times.margin - now, progress.stage == Stage::idle ? 1.0 : 0.5);
    }
    auto needed = 0.0;
    auto loads = -static_cast<double>(least);
    for (auto const& [left, part] : behind) {
        loads += part;
        needed = std::max(needed, loads * static_cast<double>(slot_time) / static_cast<double>(left));
    }
    auto const most = std::max(least, replicas / 2);
    return std::clamp(static_cast<std::size_t>(std::min(needed + 0.5, static_cast<double>(most))), least, most);
}

// Without a bound, a silent replica does not count as away: nothing would end the wait if it never returns.
auto VersionsRollout::is_last(std::string_view service, std::size_t least, Microseconds now) const -> bool {
    auto serving = std::size_t{0};
    auto away = std::size_t{0};
    auto replicas = std::size_t{0};
    for (auto const& [name, progress] : by_replica) {
        if (progress.service != service || progress.drain) continue;
        ++replicas;
        if (progress.stage == Stage::idle) serving += is_overdue(progress, now) ? 0 : 1;
        else away += times.bound > 0 || occupies_slot(progress, now) ? 1 : 0;
    }
    return replicas <= least && serving <= 1 && away > 0;
}

// If an overdue replica answers no report, it is unknown whether its order was taken. It is sent again
// without an expected count; a replica that holds or is loading the version does not load it twice.
auto VersionsRollout::reorder_silent(Microseconds now) -> void {
    for (auto& [name, progress] : by_replica) {
        if (progress.stage != Stage::unsure || !is_overdue(progress, now) ||
            now - progress.heard_at < times.reorder_after)
            continue;
        progress.stage = Stage::idle;
        progress.orders.reset();
        progress.next = now;
    }
}

// Logs each time that a replica becomes silent or overdue.
auto VersionsRollout::note(Microseconds now) -> void {
    for (auto& [name, progress] : by_replica) {
        auto const silent = progress.stage != Stage::idle && !occupies_slot(progress, now);
        if (silent && !progress.silent)
            notes.push_back({RolloutNote::Kind::silent, name, progress.version, now - progress.ordered_at});
        progress.silent = silent;
        auto const overdue = is_overdue(progress, now);
        if (overdue && !progress.overdue)
            notes.push_back(
                {RolloutNote::Kind::overdue, name, progress.version,
                 now - *version_times.superseded_at(progress.version)});
        progress.overdue = overdue;
    }
}

auto VersionsRollout::collect_metrics(Microseconds now) const -> RolloutMetrics {
    RolloutMetrics metrics;
    for (auto const& [name, progress] : by_replica) {
        if (is_overdue(progress, now)) ++metrics.overdue;
        if (progress.drain || progress.version >= target) continue;
        ++metrics.behind;
        if (auto const since = version_times.superseded_at(progress.version))
            metrics.oldest = std::max(metrics.oldest, now - *since);
    }
    return metrics;
}

auto VersionsRollout::loaded(std::string const& name, ReplicaProgress& progress, Microseconds now) -> void {
    if (progress.stage == Stage::loading)
        notes.push_back({RolloutNote::Kind::loaded, name, progress.version, now - progress.ordered_at});
    if (progress.stage == Stage::loading && progress.announced_at != 0) {
        auto const took = now - progress.announced_at;
        slot_time = slot_time == 0 ? took : (3 * slot_time + took) / 4;
    }
    progress.stage = Stage::idle;
    progress.failures = 0;
    progress.next = now;
}

}  // namespace dockrock

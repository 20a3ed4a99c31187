#include "process/machine/version_deadlines.hpp"

#include <algorithm>

namespace dockrock {

namespace {
constexpr auto most_remembered = std::size_t{16};
}

auto NamedVersions::learn(std::int64_t version, Microseconds now) -> void {
    if (!since.empty() && version <= since.rbegin()->first) return;
    since.emplace(version, now);
    if (since.size() > most_remembered) since.erase(since.begin());
}

auto NamedVersions::behind_since(std::int64_t held) const -> std::optional<Microseconds> {
    auto const newer = since.upper_bound(held);
    return newer == since.end() ? std::nullopt : std::optional(newer->second);
}

auto VersionDeadlines::take(Control const& control, Snapshot const& snapshot, Microseconds now) -> bool {
    auto moved = false;
    for (auto part = std::size_t{1}; part <= service_parts; ++part) {
        auto const& record = control.best_record(static_cast<int>(part));
        if (record.epoch == 0 || record.primary == holders[part]) continue;
        moved = moved || !holders[part].empty();
        holders[part] = record.primary;
        held_since[part] = now;
    }
    for (auto const& [model, version] : snapshot.target_versions) models[model].learn(version, now);
    return moved;
}

auto VersionDeadlines::behind_since(int part, std::string const& model, std::int64_t held) const
    -> std::optional<Microseconds> {
    auto const found = models.find(model);
    auto const since = found == models.end() ? std::nullopt : found->second.behind_since(held);
    if (!since || part < 0) return since;
    return std::max(*since, held_since[static_cast<std::size_t>(part)]);
}

auto VersionDeadlines::until(int part, ReplicaWeights const& held, Microseconds bound) const -> Microseconds {
    auto end = std::numeric_limits<Microseconds>::max();
    for (auto const& [model, version] : held.versions)
        if (auto const since = behind_since(part, model, version)) end = std::min(end, *since + bound);
    return end;
}

}  // namespace dockrock

// Which replicas of a roll-out are due, and what its log and metrics tell.
// docs/design.md section 11.4.
#include <algorithm>

#include "control/versions_rollout.hpp"

namespace dockrock {

namespace {
using Stage = VersionsRollout::Course::Stage;
}  // namespace

auto VersionsRollout::late(Course const& course, Microseconds now) const -> bool {
    auto const since = named.named_after(course.version);
    return times.bound > 0 && since && now - *since >= times.bound - times.margin;
}

// Once for each time that a replica falls silent or overdue.
auto VersionsRollout::note(Microseconds now) -> void {
    for (auto& [name, course] : courses) {
        auto const silent = course.stage != Stage::idle && !holds_place(course, now);
        if (silent && !course.silent)
            notes.push_back({RolloutNote::Kind::silent, name, course.version, now - course.ordered_at});
        course.silent = silent;
        auto const overdue = late(course, now);
        if (overdue && !course.overdue)
            notes.push_back(
                {RolloutNote::Kind::overdue, name, course.version, now - *named.named_after(course.version)});
        course.overdue = overdue;
    }
}

auto VersionsRollout::figures(Microseconds now) const -> RolloutFigures {
    RolloutFigures figures;
    for (auto const& [name, course] : courses) {
        if (late(course, now)) ++figures.overdue;
        if (course.drain || course.version >= target) continue;
        ++figures.behind;
        if (auto const since = named.named_after(course.version))
            figures.oldest = std::max(figures.oldest, now - *since);
    }
    return figures;
}

auto VersionsRollout::loaded(std::string const& name, Course& course, Microseconds now) -> void {
    if (course.stage == Stage::loading)
        notes.push_back({RolloutNote::Kind::loaded, name, course.version, now - course.ordered_at});
    course.stage = Stage::idle;
    course.failures = 0;
    course.next = now;
}

}  // namespace dockrock

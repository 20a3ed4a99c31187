// Which replicas of a roll-out are due or overdue, and its log entries and metrics.
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

// The number of replicas that may load at the same time: enough that, when older weights get no new
// requests any more, only one round of `least` replicas is left, which is ordered then. Computed from
// the measured time that a load takes; never above half of the replicas.
auto VersionsRollout::places(std::string_view service, std::size_t least, Microseconds now) const -> std::size_t {
    if (times.bound == 0 || held == 0) return least;
    auto replicas = std::size_t{0};
    std::multimap<Microseconds, double> behind;  // time left, and the part of a load that is still to be done
    for (auto const& [name, course] : courses) {
        if (course.service != service || course.drain) continue;
        ++replicas;
        auto const since = named.named_after(course.version);
        if (since && !late(course, now))
            behind.emplace(*since + times.bound - times.margin - now, course.stage == Stage::idle ? 1.0 : 0.5);
    }
    auto needed = 0.0;
    auto loads = -static_cast<double>(least);
    for (auto const& [left, part] : behind) {
        loads += part;
        needed = std::max(needed, loads * static_cast<double>(held) / static_cast<double>(left));
    }
    auto const most = std::max(least, replicas / 2);
    return std::clamp(static_cast<std::size_t>(std::min(needed + 0.5, static_cast<double>(most))), least, most);
}

// Without a bound, a silent replica does not count as away: nothing would end the wait if it never returns.
auto VersionsRollout::is_last(std::string_view service, std::size_t least, Microseconds now) const -> bool {
    auto serving = std::size_t{0};
    auto away = std::size_t{0};
    auto replicas = std::size_t{0};
    for (auto const& [name, course] : courses) {
        if (course.service != service || course.drain) continue;
        ++replicas;
        if (course.stage == Stage::idle) serving += late(course, now) ? 0 : 1;
        else away += times.bound > 0 || holds_place(course, now) ? 1 : 0;
    }
    return replicas <= least && serving <= 1 && away > 0;
}

// If an overdue replica answers no report, it is unknown whether its order was taken. It is sent again
// without an expected count; a replica that holds or is loading the version does not load it twice.
auto VersionsRollout::renew_silent(Microseconds now) -> void {
    for (auto& [name, course] : courses) {
        if (course.stage != Stage::unsure || !late(course, now) || now - course.heard_at < times.renew) continue;
        course.stage = Stage::idle;
        course.orders.reset();
        course.next = now;
    }
}

// Logs each time that a replica becomes silent or overdue.
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
    if (course.stage == Stage::loading && course.announced_at != 0) {
        auto const took = now - course.announced_at;
        held = held == 0 ? took : (3 * held + took) / 4;
    }
    course.stage = Stage::idle;
    course.failures = 0;
    course.next = now;
}

}  // namespace dockrock

#include "control/versions_rollout.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace dockrock {

namespace {
using Stage = VersionsRollout::Course::Stage;

auto polled(VersionsRollout::Course const& course) -> bool {
    return course.stage == Stage::unsure || course.stage == Stage::loading;
}
}  // namespace

auto VersionsRollout::holds_place(Course const& course, Microseconds now) const -> bool {
    if (course.stage == Stage::idle) return false;
    return !polled(course) || now - course.heard_at <= (course.doubted ? times.doubt : times.silence);
}

auto VersionsRollout::take_list(std::vector<ListedReplica> const& replicas, Microseconds now) -> void {
    std::set<std::string_view> named;
    for (auto const& replica : replicas) {
        named.insert(replica.name);
        auto& course = courses[replica.name];
        course.service = replica.service;
        course.area = replica.area;
        course.drain = replica.drain;
        course.listed = replica.version;
        course.version = std::max(course.version, replica.version);
        if (polled(course) && course.listed >= course.wanted) {
            loaded(replica.name, course, now);
            course.orders.reset();  // the known count is from before this load
        }
        if (course.stage != Stage::idle || !course.told || course.listed < course.version) {
            course.shown_at = 0;
        } else if (course.shown_at == 0) {
            course.shown_at = now;
        } else if (now - course.shown_at > times.shown) {
            course.told = false;
        }
    }
    std::erase_if(courses, [&](auto const& item) { return !named.contains(item.first); });
}

auto VersionsRollout::step(
    std::int64_t wanted, std::uint64_t under_fence, bool may_order, std::size_t at_once,
    std::vector<ListedReplica> const& replicas, Microseconds now) -> RolloutActions {
    fence = under_fence;
    take_list(replicas, now);
    named.take(wanted, now);
    if (wanted > target) {
        target = wanted;
        if (wanted > first_version) notes.push_back({RolloutNote::Kind::named, "", wanted, 0});
        for (auto& [name, course] : courses) course.failures = 0;
    }
    may_order = may_order && fence > stopped_fence;
    RolloutActions actions;
    for (auto& [name, course] : courses) {
        if (polled(course) && !course.asking && now >= course.next) {
            course.asking = true;
            actions.reports.push_back(name);
        }
        if (course.stage != Stage::announced || now < course.next) continue;
        if (!may_order || course.version >= target || (course.drain && !late(course, now))) {
            course.stage = Stage::idle;
            continue;
        }
        course.stage = Stage::ordering;
        course.wanted = target;
        course.ordered_at = course.heard_at = now;
        actions.orders.push_back({name, target, course.orders});
    }
    renew_silent(now);
    if (may_order) announce(at_once, now);
    note(now);
    actions.notes = std::exchange(notes, {});
    return actions;
}

// Fills free places immediately: first with replicas that are due first, then with those
// of areas with the fewest loads in progress. An overdue replica needs no place, since it
// gets no requests anyway; a draining one is only loaded when it is overdue.
auto VersionsRollout::announce(std::size_t at_once, Microseconds now) -> void {
    std::map<std::string_view, std::size_t> busy;
    std::map<std::string_view, std::size_t> allowed;
    std::map<std::pair<std::string_view, std::string_view>, std::size_t> busy_there;
    for (auto const& [name, course] : courses) {
        if (!allowed.contains(course.service)) allowed[course.service] = places(course.service, at_once, now);
        if (!holds_place(course, now)) continue;
        ++busy[course.service];
        ++busy_there[{course.service, course.area}];
    }
    auto const first = [&](Course const& course) {
        return std::tuple(
            named.named_after(course.version), course.failures, busy_there[{course.service, course.area}]);
    };
    while (true) {
        std::pair<std::string const, Course>* best = nullptr;
        for (auto& item : courses) {
            auto const& course = item.second;
            if (course.stage != Stage::idle || course.version >= target || now < course.next) continue;
            auto const paced = !late(course, now);
            if (paced && (course.drain || busy[course.service] >= allowed[course.service])) continue;
            if (paced && is_last(course.service, at_once, now)) continue;
            if (best == nullptr || first(course) < first(best->second)) best = &item;
        }
        if (best == nullptr) return;
        auto& course = best->second;
        course.stage = Stage::announced;
        course.told = true;
        course.wanted = target;
        course.announced_at = now;
        course.next = now + times.announce;
        notes.push_back({RolloutNote::Kind::announced, best->first, target, 0});
        ++busy[course.service];
        ++busy_there[{course.service, course.area}];
    }
}

auto VersionsRollout::give_up(Course& course, Microseconds now) -> void {
    course.stage = Stage::idle;
    auto const doublings = course.overdue ? 0 : std::min(course.failures, 6);
    course.next = now + std::min(times.longest_pause, times.least_pause << doublings);
    ++course.failures;
}

auto VersionsRollout::order_ended(std::string const& replica, OrderEnd end, Microseconds now) -> void {
    auto const found = courses.find(replica);
    if (found == courses.end() || found->second.stage != Stage::ordering) return;
    auto& course = found->second;
    course.doubted = end == OrderEnd::conflict;
    switch (end) {
        case OrderEnd::taken:
            course.stage = Stage::loading;
            course.next = course.ordered_at + (quickest == 0 ? times.first_poll : quickest * 9 / 10);
            course.heard_at = course.next;  // not silent before its first poll
            break;
        case OrderEnd::holds:
            course.stage = Stage::idle;
            course.version = std::max(course.version, course.wanted);
            course.failures = 0;
            course.next = now;
            break;
        case OrderEnd::conflict:
        case OrderEnd::unknown:
            course.stage = Stage::unsure;
            course.next = now + times.settle;
            break;
        case OrderEnd::fenced:
            course.stage = Stage::idle;
            stopped_fence = std::max(stopped_fence, fence);
            break;
        case OrderEnd::elsewhere:
        case OrderEnd::refused:
        case OrderEnd::unreachable: give_up(course, now); break;
        case OrderEnd::not_sent:
            course.stage = Stage::idle;
            course.next = now;
            break;
    }
}

auto VersionsRollout::reported(
    std::string const& replica, std::optional<ReportedWeights> const& report, Microseconds asked_at, Microseconds now)
    -> void {
    auto const found = courses.find(replica);
    if (found == courses.end()) return;
    auto& course = found->second;
    course.asking = false;
    if (!report) {
        course.next = now + (holds_place(course, now) ? times.poll : one_second);
        return;
    }
    course.heard_at = now;
    course.orders = report->orders;
    course.version = std::max(course.version, report->version);
    if (!polled(course)) return;
    if (course.version >= course.wanted && !report->busy) {
        auto const took = now - course.ordered_at;
        if (course.stage == Stage::loading && course.ordered_at != 0)
            quickest = quickest == 0 ? took : std::min(quickest, took);
        loaded(replica, course, now);
    } else if (report->busy) {
        course.stage = Stage::loading;
        course.doubted = false;
        course.next = now + times.poll;
    } else if (asked_at - course.ordered_at < (course.doubted ? times.settle : times.believe)) {
        course.next = now + times.poll;  // the report may be from before the order
    } else {
        give_up(course, now);  // not taken, or failed: ordered again with the count just reported
    }
}

auto VersionsRollout::adopt(ListedReplica const& replica, std::int64_t version, bool loading, Microseconds now)
    -> void {
    auto& course = courses[replica.name];
    course.service = replica.service;
    course.version = std::max({course.version, replica.version, version});
    course.told = true;
    if (!loading || course.stage != Stage::idle) return;
    course.stage = Stage::unsure;
    course.wanted = std::max(target, course.version + 1);
    course.ordered_at = course.heard_at = course.next = now;
}

auto VersionsRollout::words(std::string const& model, WeightsWords& into) const -> void {
    for (auto const& [name, course] : courses) {
        auto const closed = course.stage != Stage::idle || course.overdue;
        if (!course.told && !closed && course.version <= course.listed) continue;
        auto& word = into[name];
        word.versions[model] = course.version;
        word.loading = word.loading || closed;
    }
}

auto VersionsRollout::under_way() const -> bool {
    return std::any_of(courses.begin(), courses.end(), [&](auto const& item) {
        auto const& course = item.second;
        return course.stage != Stage::idle || (course.version < target && (!course.drain || course.overdue));
    });
}

}  // namespace dockrock

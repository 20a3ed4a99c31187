// Which replica leaves use next, and which of those that left it is ordered.
// docs/design.md section 11.1.
#include <algorithm>
#include <set>
#include <tuple>

#include "process/machine/versions_rollout.hpp"

namespace dockrock {

namespace {
using Stage = VersionsRollout::Course::Stage;

// Until nothing new should go to a replica that holds this version; no end
// where no newer one is known to be named.
auto left_of(RolloutTask const& task, std::int64_t held, Microseconds share, Microseconds now) -> Microseconds {
    auto const since = task.named.behind_since(held);
    return since ? std::max(*since, task.held_since) + share - now : task.bound;
}

}  // namespace

// The last sixth of the bound is for what waits in the replicas by then.
auto VersionsRollout::hard_left(RolloutTask const& task, std::int64_t held, Microseconds now) const -> Microseconds {
    return left_of(task, held, task.bound - task.bound / 6, now);
}

// Where nothing runs any more, the load begins at once. What runs for long is
// not waited for: it finishes first under the order as well.
auto VersionsRollout::ready(Course const& course, Microseconds now) const -> bool {
    if (course.stage != Stage::draining || now < course.next) return false;
    auto const empty = course.running == 0 && course.running_at >= course.next;
    return empty || course.closed || now - course.drained_at >= times.drain_limit;
}

auto VersionsRollout::order(Course& course, std::string const& name, Microseconds now, RolloutActions& actions)
    -> void {
    course.stage = Stage::ordering;
    course.wanted = target;
    course.own_order = true;
    course.empty = course.running == 0;
    course.ordered_at = course.heard_at = now;
    actions.orders.push_back({name, target, course.orders});
}

auto VersionsRollout::order_drained(RolloutTask const& task, Microseconds now, RolloutActions& actions) -> void {
    struct Count {
        std::size_t under_order = 0;
        std::size_t unordered = 0;
        Microseconds hard_left = 0;
        std::vector<std::pair<std::string const, Course>*> ready;
    };
    std::map<std::string_view, Count> services;
    for (auto& item : courses) {
        auto const& course = item.second;
        auto& count = services[course.service];
        if (course.stage == Stage::draining ||
            (course.stage == Stage::idle && course.version < target && !course.drain)) {
            auto const left = hard_left(task, course.version, now);
            count.hard_left = count.unordered == 0 ? left : std::min(count.hard_left, left);
            ++count.unordered;
        } else if (holds_place(course, now)) {
            ++count.under_order;
        }
        if (ready(course, now)) count.ready.push_back(&item);
    }
    for (auto& [service, count] : services) {
        auto const& pace = paces[std::string(service)];
        auto const places = pace.places(count.unordered, task.at_once, count.hard_left);
        std::sort(count.ready.begin(), count.ready.end(), [](auto const* left, auto const* right) {
            auto const key = [](auto const& course) { return std::tuple(course.running > 0, course.drained_at); };
            return key(left->second) < key(right->second);
        });
        for (auto* item : count.ready)
            if (count.under_order < places) {
                order(item->second, item->first, now, actions);
                ++count.under_order;
            }
    }
}

// Those that hold the oldest version first, then from the areas with the
// fewest out of use, then the one with the least to finish. A replica that is
// leaving is not worth a load.
auto VersionsRollout::drain_one(RolloutTask const& task, Microseconds now, RolloutActions& actions) -> bool {
    std::map<std::string_view, PaceView> views;
    std::map<std::pair<std::string_view, std::string_view>, std::size_t> out_there;
    std::set<std::pair<std::string_view, std::int64_t>> behind;
    auto const untouched = [&](Course const& course) {
        return course.stage == Stage::idle && !course.drain && course.version < target;
    };
    for (auto const& [name, course] : courses) {
        auto& view = views[course.service];
        if (!course.drain) ++view.replicas;
        if (untouched(course)) behind.emplace(course.service, course.version);
        if (!holds_place(course, now)) continue;
        ++view.out_of_use;
        ++out_there[{course.service, course.area}];
    }
    for (auto const& [service, version] : behind) {
        auto view = views[service];
        view.at_once = task.at_once;
        view.soft_left = left_of(task, version, task.bound * 3 / 4, now);
        view.hard_left = hard_left(task, version, now);
        std::pair<std::string const, Course>* best = nullptr;
        auto const first = [&](Course const& item) {
            return std::tuple(item.failures, item.version, out_there[{item.service, item.area}], item.running);
        };
        for (auto& item : courses) {
            auto const& course = item.second;
            if (course.service != service || course.version > version || !untouched(course)) continue;
            ++view.untouched;
            if (now >= course.next && (best == nullptr || first(course) < first(best->second))) best = &item;
        }
        auto& pace = paces[std::string(service)];
        if (best == nullptr || !pace.may_take(view, now)) continue;
        pace.taken_at = now;
        auto& [name, course] = *best;
        course.stage = Stage::draining;
        course.told = true;
        course.wanted = target;
        course.drained_at = now;
        course.next = now + times.announce;
        actions.drains.push_back(name);
        return true;
    }
    return false;
}

}  // namespace dockrock

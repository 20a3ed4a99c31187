#include "control/versions_rollout.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace dockrock {

namespace {
using Stage = VersionsRollout::ReplicaProgress::Stage;

auto polled(VersionsRollout::ReplicaProgress const& progress) -> bool {
    return progress.stage == Stage::unsure || progress.stage == Stage::loading;
}
}  // namespace

auto VersionsRollout::occupies_slot(ReplicaProgress const& progress, Microseconds now) const -> bool {
    if (progress.stage == Stage::idle) return false;
    return !polled(progress) ||
        now - progress.heard_at <= (progress.conflicted ? times.conflict_silence : times.silence);
}

auto VersionsRollout::take_list(std::vector<ListedReplica> const& replicas, Microseconds now) -> void {
    std::set<std::string_view> listed_names;
    for (auto const& replica : replicas) {
        listed_names.insert(replica.name);
        auto& progress = by_replica[replica.name];
        progress.service = replica.service;
        progress.area = replica.area;
        progress.drain = replica.drain;
        progress.listed = replica.version;
        progress.version = std::max(progress.version, replica.version);
        if (polled(progress) && progress.listed >= progress.wanted) {
            loaded(replica.name, progress, now);
            progress.orders.reset();  // the known count is from before this load
        }
        if (progress.stage != Stage::idle || !progress.published || progress.listed < progress.version) {
            progress.listed_since = 0;
        } else if (progress.listed_since == 0) {
            progress.listed_since = now;
        } else if (now - progress.listed_since > times.unpublish_after) {
            progress.published = false;
        }
    }
    std::erase_if(by_replica, [&](auto const& item) { return !listed_names.contains(item.first); });
}

auto VersionsRollout::step(
    std::int64_t wanted, std::uint64_t under_fence, bool may_order, std::size_t at_once,
    std::vector<ListedReplica> const& replicas, Microseconds now) -> RolloutActions {
    fence = under_fence;
    take_list(replicas, now);
    version_times.take(wanted, now);
    if (wanted > target) {
        target = wanted;
        if (wanted > first_version) notes.push_back({RolloutNote::Kind::target_set, "", wanted, 0});
        for (auto& [name, progress] : by_replica) progress.failures = 0;
    }
    may_order = may_order && fence > stopped_fence;
    RolloutActions actions;
    for (auto& [name, progress] : by_replica) {
        if (polled(progress) && !progress.report_pending && now >= progress.next) {
            progress.report_pending = true;
            actions.reports.push_back(name);
        }
        if (progress.stage != Stage::announced || now < progress.next) continue;
        if (!may_order || progress.version >= target || (progress.drain && !is_overdue(progress, now))) {
            progress.stage = Stage::idle;
            continue;
        }
        progress.stage = Stage::ordering;
        progress.wanted = target;
        progress.ordered_at = progress.heard_at = now;
        actions.orders.push_back({name, target, progress.orders});
    }
    reorder_silent(now);
    if (may_order) announce(at_once, now);
    note(now);
    actions.notes = std::exchange(notes, {});
    return actions;
}

// Fills free load slots immediately: first with replicas that are due first, then with those
// of areas with the fewest loads in progress. An overdue replica needs no slot, since it
// gets no requests anyway; a draining one is only loaded when it is overdue.
auto VersionsRollout::announce(std::size_t at_once, Microseconds now) -> void {
    std::map<std::string_view, std::size_t> busy;
    std::map<std::string_view, std::size_t> allowed;
    std::map<std::pair<std::string_view, std::string_view>, std::size_t> busy_there;
    for (auto const& [name, progress] : by_replica) {
        if (!allowed.contains(progress.service)) allowed[progress.service] = load_slots(progress.service, at_once, now);
        if (!occupies_slot(progress, now)) continue;
        ++busy[progress.service];
        ++busy_there[{progress.service, progress.area}];
    }
    auto const first = [&](ReplicaProgress const& progress) {
        return std::tuple(
            version_times.superseded_at(progress.version), progress.failures,
            busy_there[{progress.service, progress.area}]);
    };
    while (true) {
        std::pair<std::string const, ReplicaProgress>* best = nullptr;
        for (auto& item : by_replica) {
            auto const& progress = item.second;
            if (progress.stage != Stage::idle || progress.version >= target || now < progress.next) continue;
            auto const paced = !is_overdue(progress, now);
            if (paced && (progress.drain || busy[progress.service] >= allowed[progress.service])) continue;
            if (paced && is_last(progress.service, at_once, now)) continue;
            if (best == nullptr || first(progress) < first(best->second)) best = &item;
        }
        if (best == nullptr) return;
        auto& progress = best->second;
        progress.stage = Stage::announced;
        progress.published = true;
        progress.wanted = target;
        progress.announced_at = now;
        progress.next = now + times.announce;
        notes.push_back({RolloutNote::Kind::announced, best->first, target, 0});
        ++busy[progress.service];
        ++busy_there[{progress.service, progress.area}];
    }
}

auto VersionsRollout::back_off(ReplicaProgress& progress, Microseconds now) -> void {
    progress.stage = Stage::idle;
    auto const doublings = progress.overdue ? 0 : std::min(progress.failures, 6);
    progress.next = now + std::min(times.max_backoff, times.min_backoff << doublings);
    ++progress.failures;
}

auto VersionsRollout::order_ended(std::string const& replica, OrderResult end, Microseconds now) -> void {
    auto const found = by_replica.find(replica);
    if (found == by_replica.end() || found->second.stage != Stage::ordering) return;
    auto& progress = found->second;
    progress.conflicted = end == OrderResult::conflict;
    switch (end) {
        case OrderResult::accepted:
            progress.stage = Stage::loading;
            progress.next = progress.ordered_at + (fastest_load == 0 ? times.first_poll : fastest_load * 9 / 10);
            progress.heard_at = progress.next;  // not silent before its first poll
            break;
        case OrderResult::already_held:
            progress.stage = Stage::idle;
            progress.version = std::max(progress.version, progress.wanted);
            progress.failures = 0;
            progress.next = now;
            break;
        case OrderResult::conflict:
        case OrderResult::unknown:
            progress.stage = Stage::unsure;
            progress.next = now + times.settle;
            break;
        case OrderResult::fenced:
            progress.stage = Stage::idle;
            stopped_fence = std::max(stopped_fence, fence);
            break;
        case OrderResult::other_incarnation:
        case OrderResult::refused:
        case OrderResult::unreachable: back_off(progress, now); break;
        case OrderResult::not_sent:
            progress.stage = Stage::idle;
            progress.next = now;
            break;
    }
}

auto VersionsRollout::reported(
    std::string const& replica, std::optional<ReportedWeights> const& report, Microseconds asked_at, Microseconds now)
    -> void {
    auto const found = by_replica.find(replica);
    if (found == by_replica.end()) return;
    auto& progress = found->second;
    progress.report_pending = false;
    if (!report) {
        progress.next = now + (occupies_slot(progress, now) ? times.poll : one_second);
        return;
    }
    progress.heard_at = now;
    progress.orders = report->orders;
    progress.version = std::max(progress.version, report->version);
    if (!polled(progress)) return;
    if (progress.version >= progress.wanted && !report->busy) {
        auto const took = now - progress.ordered_at;
        if (progress.stage == Stage::loading && progress.ordered_at != 0)
            fastest_load = fastest_load == 0 ? took : std::min(fastest_load, took);
        loaded(replica, progress, now);
    } else if (report->busy) {
        progress.stage = Stage::loading;
        progress.conflicted = false;
        progress.next = now + times.poll;
    } else if (asked_at - progress.ordered_at < (progress.conflicted ? times.settle : times.order_visible_after)) {
        progress.next = now + times.poll;  // the report may be from before the order
    } else {
        back_off(progress, now);  // not taken, or failed: ordered again with the count just reported
    }
}

auto VersionsRollout::adopt(ListedReplica const& replica, std::int64_t version, bool loading, Microseconds now)
    -> void {
    auto& progress = by_replica[replica.name];
    progress.service = replica.service;
    progress.version = std::max({progress.version, replica.version, version});
    progress.published = true;
    if (!loading || progress.stage != Stage::idle) return;
    progress.stage = Stage::unsure;
    progress.wanted = std::max(target, progress.version + 1);
    progress.ordered_at = progress.heard_at = progress.next = now;
}

auto VersionsRollout::add_states(std::string const& model, WeightsStates& into) const -> void {
    for (auto const& [name, progress] : by_replica) {
        auto const closed = progress.stage != Stage::idle || progress.overdue;
        if (!progress.published && !closed && progress.version <= progress.listed) continue;
        auto& state = into[name];
        state.versions[model] = progress.version;
        state.loading = state.loading || closed;
    }
}

auto VersionsRollout::under_way() const -> bool {
    return std::any_of(by_replica.begin(), by_replica.end(), [&](auto const& item) {
        auto const& progress = item.second;
        return progress.stage != Stage::idle || (progress.version < target && (!progress.drain || progress.overdue));
    });
}

}  // namespace dockrock

#include "control/load_relay.hpp"

#include <algorithm>

namespace dockrock {

namespace {

constexpr auto max_past_sums = std::size_t{8};

auto milliseconds(Microseconds length) -> std::int64_t { return length / one_millisecond; }

}  // namespace

auto LoadRelay::Child::rate() const -> std::int64_t {
    auto sum = std::int64_t{0};
    for (auto const& [name, load] : loads) sum += load.recent;
    return sum;
}

// Drops reports that are too old. A node that is silent here and reports to another
// relay belongs to that one; the sum of a silent relay is dropped once most of its
// nodes report to other relays. Otherwise they would be counted twice.
auto LoadRelay::drop_stale(Microseconds now) -> void {
    std::erase_if(children, [&](auto const& item) {
        auto const age = now - item.second.at;
        if (age <= times.old || age > times.lost) return age > times.lost;
        return std::any_of(shares.begin(), shares.end(), [&](auto const& share) {
            return now - share.second.at <= times.old && share.second.rates.contains(item.first);
        });
    });
    std::erase_if(shares, [&](auto const& item) {
        auto const& share = item.second;
        if (now - share.at > times.lost) return true;
        if (now - share.at <= times.old || share.rates.empty()) return false;
        auto moved = std::size_t{0};
        for (auto const& entry : share.rates) {
            auto const& node = entry.first;
            auto const here = children.contains(node) && children.at(node).at > share.at;
            auto const there = std::any_of(shares.begin(), shares.end(), [&](auto const& other) {
                return other.first != item.first && now - other.second.at <= times.old &&
                    other.second.rates.contains(node);
            });
            if (here || there) ++moved;
        }
        return 2 * moved > share.rates.size();
    });
}

auto LoadRelay::own_sum(Microseconds now) const -> Loads {
    std::vector<Loads> parts;
    for (auto const& [node, child] : children)
        parts.push_back(age_loads(child.loads, milliseconds(now - child.at), now - child.at > times.old));
    for (; parts.size() > 1;) {  // pairwise, to avoid a pass over a long list for each short one
        for (auto place = std::size_t{0}; place + 1 < parts.size(); place += 2)
            parts[place / 2] = add_loads(parts[place], parts[place + 1]);
        if (parts.size() % 2 == 1) parts[parts.size() / 2] = std::move(parts.back());
        parts.resize((parts.size() + 1) / 2);
    }
    return parts.empty() ? Loads() : std::move(parts.front());
}

auto LoadRelay::sum_up(Microseconds now) -> void {
    drop_stale(now);
    auto sum = Sum{++number, 0, own_sum(now)};
    for (auto& [node, child] : children) {
        child.summed = child.number;
        child.summed_at = child.at;
        if (!child.loads.empty()) ++sum.nodes;
    }
    for (auto const& [relay, share] : shares) {
        auto const age = now - share.at;
        sum.loads = add_loads(sum.loads, age_loads(share.loads, milliseconds(age), age > times.old));
        sum.nodes += share.nodes;
    }
    summed_at = now;
    differences.clear();
    whole.clear();
    sums.push_back(std::move(sum));
    if (sums.size() > max_past_sums) sums.pop_front();
}

auto LoadRelay::take(std::string const& node, LoadReport const& report, Microseconds now) -> std::optional<LoadSum> {
    if (ignoring(now)) return std::nullopt;
    auto loads = read_loads(report.body);
    auto& child = children[node];
    // A lower number is a late report, or the first one of a restarted node.
    auto const fresh = child.at == 0 || now - child.at > times.old;
    if (!loads || (report.number <= child.number && !fresh)) return std::nullopt;
    child.number = report.number;
    child.at = now;
    child.loads = std::move(*loads);
    if (fresh || sums.empty() || now - summed_at >= times.interval) sum_up(now);
    auto const& newest = sums.back();
    auto answer = LoadSum{newest.number, 0, child.summed, milliseconds(summed_at - child.summed_at), newest.nodes, {}};
    auto const held =
        std::find_if(sums.begin(), sums.end(), [&](auto const& sum) { return sum.number == report.heard; });
    if (held != sums.end()) {
        auto& body = differences[report.heard];
        if (body.empty()) body = write_loads_difference(held->loads, newest.loads);
        answer.base = report.heard;
        answer.body = body;
    } else {
        if (whole.empty()) whole = write_loads(newest.loads);
        answer.body = whole;
    }
    return answer;
}

auto LoadRelay::take(std::string const& relay, LoadShare const& told, Microseconds now) -> void {
    if (ignoring(now)) return;
    auto loads = read_loads(told.body);
    auto& share = shares[relay];
    if (!loads || (told.number <= share.number && now - share.at <= times.old)) return;
    share.number = told.number;
    share.at = now;
    share.nodes = told.nodes;
    share.loads = std::move(*loads);
    if (told.names.empty() || told.names.size() != told.rates.size()) return;
    share.rates.clear();
    for (auto place = std::size_t{0}; place < told.names.size(); ++place)
        share.rates[told.names[place]] = told.rates[place];
}

// Reports that were queued while this process was frozen are outdated.
auto LoadRelay::ignoring(Microseconds now) const -> bool {
    return now < ignore_until || now - ticked_at > times.frozen_gap;
}

auto LoadRelay::tick(Microseconds now) -> std::optional<LoadShare> {
    if (now - ticked_at > times.frozen_gap && ticked_at != 0) {
        children.clear();
        shares.clear();
        ignore_until = now + times.ignore_time;
    }
    ticked_at = now;
    if (now - shared_at < times.interval) return std::nullopt;
    drop_stale(now);
    if (children.empty()) return std::nullopt;
    shared_at = now;
    LoadShare share;
    share.number = static_cast<std::uint64_t>(now);
    share.body = write_loads(own_sum(now));
    for (auto const& [node, child] : children)
        if (!child.loads.empty()) ++share.nodes;
    if (now - named_at < times.names_interval) return share;
    named_at = now;
    for (auto const& [node, child] : children) {
        share.names.push_back(node);
        share.rates.push_back(now - child.at <= 3 * times.old / 2 ? child.rate() : 0);
    }
    return share;
}

auto LoadRelay::rate_of(std::string const& node, Microseconds now) const -> double {
    if (auto const found = children.find(node); found != children.end() && now - found->second.at <= 3 * times.old / 2)
        return static_cast<double>(found->second.rate());
    for (auto const& [relay, share] : shares)
        if (auto const found = share.rates.find(node);
            found != share.rates.end() && now - share.at <= 3 * times.old / 2)
            return static_cast<double>(found->second);
    return 0.0;
}

auto LoadRelayChoice::choose(Member const& self, std::vector<Member> const& cores, Microseconds now) -> Member const* {
    std::erase_if(avoided, [&](auto const& item) { return item.second <= now; });
    // Several reports were sent over some time without an answer.
    if (!relay.empty() && reported_at - std::max(since, answered_at) > times.silence) {
        avoided[relay] = now + times.avoid;
        relay.clear();
    }
    auto const seed = hash_text(self.identity);
    Member const* best = nullptr;
    auto best_rank = std::tuple(true, true, std::uint64_t{0});
    for (auto const& core : cores) {
        auto const rank =
            std::tuple(avoided.contains(core.identity), core.area != self.area, hash_text(core.identity, seed));
        if (best != nullptr && best_rank <= rank) continue;
        best = &core;
        best_rank = rank;
    }
    if (best == nullptr) return relay.clear(), nullptr;
    if (best->identity != relay || now - reported_at > times.silence) since = now;
    relay = best->identity;
    reported_at = now;
    return best;
}

auto LoadRelayChoice::record_answer(std::string const& from, Microseconds now) -> void {
    if (from == relay) answered_at = now;
}

}  // namespace dockrock

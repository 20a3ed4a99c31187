// Load reporting through relays, on a node that places requests: its own reports, the sums over all other nodes
// that it receives, and its assumptions without a sum. docs/design.md section 9.8.
#include <algorithm>

#include "ticket/replica_load_table.hpp"

namespace dockrock {

namespace {
constexpr auto own_reports_limit = std::size_t{16};
}

auto ReplicaLoadTable::make_load_report(std::uint64_t number, Microseconds now) -> std::string {
    Loads reported;
    for (auto& [name, item] : own_load(now))
        reported.push_back(
            {std::move(name),
             {item.count, item.slots, item.memory, item.recent, 0, 1, 0, 0,
              (item.unread + tokens_in_unread - 1) / tokens_in_unread, item.ended, item.failed}});
    auto text = write_loads(reported);
    own_reports.emplace_back(number, std::move(reported));
    if (own_reports.size() > own_reports_limit) own_reports.pop_front();
    return text;
}

// Takes the sum over all nodes and subtracts this node's own report that is in it.
auto ReplicaLoadTable::take_sum(std::string const& relay, LoadSumUpdate const& update, Microseconds now) -> void {
    auto const same = relay == summed.relay;
    if (same && update.number < summed.number && now - summed.at <= options.digest_old) return;  // arrived out of order
    if (update.base != 0 && (!same || update.base != summed.number)) return;  // its base sum isn't held
    auto loads = update.base == 0 ? read_loads(update.body) : apply_loads_difference(summed.loads, update.body);
    if (!loads) return;
    summed.relay = relay;
    summed.number = update.number;
    summed.echo = update.echo;
    summed.at = now;
    summed.loads = std::move(*loads);
    auto const own = std::find_if(
        own_reports.begin(), own_reports.end(), [&](auto const& item) { return item.first == update.echo; });
    auto const counted = own != own_reports.end() && !own->second.empty();
    summed.nodes = std::max<std::int64_t>(0, update.nodes - (counted ? 1 : 0));
    auto item = summed.loads.begin();
    for (auto& [name, state] : replicas) {  // both are sorted by name
        while (item != summed.loads.end() && item->name < name) ++item;
        auto const found = item != summed.loads.end() && item->name == name;
        state.summed = found ? item->load : Load();
        if (!found || !counted) continue;
        auto const* mine = find_load(own->second, name);
        if (mine == nullptr) continue;
        add_load(state.summed, *mine, -1);
        state.summed.aged = std::max<std::int64_t>(0, state.summed.aged - mine->recent * update.echo_age);
    }
    update_health(now);
}

auto ReplicaLoadTable::summed_lost(Microseconds now) const -> bool {
    return summed.number == 0 || now - summed.at > options.digest_lost;
}

// As `reserve` for single digests: the other nodes' rate since their reports, or all that remains of their shares
// where these are old. Without a sum, everything but this node's own share counts as taken.
auto ReplicaLoadTable::summed_reserve(ReplicaState const& state, std::int64_t slice, Microseconds now) const
    -> std::int64_t {
    if (summed_lost(now)) return std::max<std::int64_t>(0, options.multiplier * state.entry.capacity + 1 - slice);
    auto const& load = state.summed;
    auto const age = now - summed.at;
    if (age > options.digest_old) return std::max<std::int64_t>(0, load.nodes * slice - load.slots);
    return std::max<std::int64_t>(0, load.old_nodes * slice - load.old_slots) +
        (load.aged * one_millisecond + load.recent * age + one_second / 2) / one_second;
}

// Own placements that are not in the last sum yet.
auto ReplicaLoadTable::placements_after_sum(ReplicaState const& state) const -> std::int64_t {
    auto const seen = static_cast<Microseconds>(summed.echo);
    return std::count_if(state.recent.begin(), state.recent.end(), [&](auto at) { return at > seen; });
}

// As rank_for, for the nodes in the sum. A sum does not say how many slots each node has there, so they are
// assumed to be spread evenly.
auto ReplicaLoadTable::summed_rank(ReplicaState const& state, std::int64_t own, Microseconds now) const
    -> std::int64_t {
    auto const nodes = static_cast<double>(active_nodes(now) - 1 - active_digests);
    auto const order = static_cast<double>(hash_text(self, state.name_hash) >> 11U) / static_cast<double>(1ULL << 53U);
    auto const known = !summed_lost(now);
    auto const with = known ? std::min(nodes, static_cast<double>(state.summed.nodes)) : 0.0;
    if (own <= 0) return static_cast<std::int64_t>(order * (nodes - with));
    if (with <= 0.0) return static_cast<std::int64_t>(nodes);
    auto const each = std::max(1.0, static_cast<double>(state.summed.slots) / with);
    auto const before = std::min(1.0, (static_cast<double>(own) - 1.0 + order) / (2.0 * each - 1.0));
    return static_cast<std::int64_t>(nodes - with + before * with);
}

}  // namespace dockrock

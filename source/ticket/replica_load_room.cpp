// Free capacity of a replica, from incrementally updated sums over this node's placements and the loads that
// other nodes reported. docs/design.md section 9.4.
#include <algorithm>

#include "ticket/replica_load_table.hpp"

namespace dockrock {

auto ReplicaState::remove_placement(std::uint64_t request_number) -> void {
    auto const found = placed.find(request_number);
    if (found == placed.end()) return;
    placed_slots -= found->second.slots;
    placed_memory -= found->second.memory;
    placed_unread -= found->second.unread;
    if (found->second.at >= reported_at) placed_since -= found->second.memory;
    placed.erase(found);
}

auto ReplicaState::count_remote(RemoteLoad const& item, std::int64_t sign) -> void {
    remote_slots += sign * item.slots;
    remote_memory += sign * item.memory;
    remote_unread += sign * item.unread;
    if (item.at > reported_at) remote_unreported += sign * item.unreported;
}

auto ReplicaState::sum_remote() -> void {
    remote_slots = remote_memory = remote_unread = remote_unreported = 0;
    remote_oldest = remote.empty() ? 0 : remote.front().at;
    for (auto const& item : remote) {
        count_remote(item, 1);
        remote_oldest = std::min(remote_oldest, item.at);
    }
}

namespace {

// Adds or replaces one node's load on the replica; its tie-break hash stays the same.
auto add_remote_load(
    ReplicaState& state, std::string const& node, ReplicaLoadTable::Digest const& digest, ReplicaLoad const& item)
    -> void {
    auto found = std::find_if(
        state.remote.begin(), state.remote.end(), [&](auto const& item) { return item.node == digest.node; });
    if (found == state.remote.end()) {
        if (state.remote.empty()) state.remote_oldest = digest.at;
        state.remote.push_back({digest.node, hash_text(node, state.name_hash)});
        found = state.remote.end() - 1;
    }
    state.count_remote(*found, -1);
    found->at = digest.at;
    found->slots = item.slots;
    found->memory = item.memory;
    found->recent = item.recent;
    found->unread = item.unread;
    found->ended = item.ended;
    found->failed = item.failed;
    found->unreported = item.count > 0 ? item.memory / item.count * std::min(item.recent, item.count) : 0;
    state.count_remote(*found, 1);
    state.remote_oldest = std::min(state.remote_oldest, digest.at);
}

auto remove_remote_load(ReplicaState& state, std::uint64_t node) -> void {
    auto const found =
        std::find_if(state.remote.begin(), state.remote.end(), [&](auto const& item) { return item.node == node; });
    if (found == state.remote.end()) return;
    state.count_remote(*found, -1);
    *found = state.remote.back();
    state.remote.pop_back();
}

}  // namespace

// For a replica that is newly listed: other nodes may have reported load on it before.
auto ReplicaLoadTable::add_reported_loads(std::string const& name, ReplicaState& state) const -> void {
    state.name_hash = hash_text(name);
    for (auto const& [node, digest] : remote_digests)
        if (auto const found = digest.replicas.find(name); found != digest.replicas.end())
            add_remote_load(state, node, digest, found->second);
}

auto ReplicaLoadTable::take_remote_loads(
    std::string const& node, Digest& digest, std::map<std::string, ReplicaLoad> reported, Microseconds at) -> void {
    if (digest.node == 0) digest.node = ++reporting_nodes;
    auto const was_active = !digest.replicas.empty();
    digest.at = at;
    for (auto const& [name, item] : digest.replicas)
        if (!reported.contains(name))
            if (auto const found = replicas.find(name); found != replicas.end())
                remove_remote_load(found->second, digest.node);
    digest.replicas = std::move(reported);
    for (auto const& [name, item] : digest.replicas)
        if (auto const found = replicas.find(name); found != replicas.end())
            add_remote_load(found->second, node, digest, item);
    auto const active = !digest.replicas.empty();
    if (active) oldest_digest_at = active_digests == 0 ? at : std::min(oldest_digest_at, at);
    if (active == was_active) return;
    active_digests += active ? 1 : -1;
    ++active_changes;
}

// Drops the loads of nodes whose digests have stopped. The digest's number stays, so that an older digest that
// arrives late is still ignored. Runs at most once a second, and only if a digest is old enough.
auto ReplicaLoadTable::drop_lost_digests(Microseconds now) -> void {
    if (now - oldest_digest_at <= options.digest_lost / 2 || now - swept_at < one_second) return;
    swept_at = now;
    for (auto& [node, digest] : remote_digests)
        if (now - digest.at > options.digest_lost && !digest.replicas.empty())
            take_remote_loads(node, digest, {}, digest.at);
    oldest_digest_at = now;
    for (auto const& [node, digest] : remote_digests)
        if (!digest.replicas.empty()) oldest_digest_at = std::min(oldest_digest_at, digest.at);
    for (auto& [name, state] : replicas) state.sum_remote();
}

auto ReplicaLoadTable::make_pools() -> void {
    pools.clear();
    for (auto const& [name, state] : replicas) pools[state.entry.model].push_back(&state);
}

auto ReplicaLoadTable::pool(std::string_view model) const -> std::vector<ReplicaState const*> const& {
    static auto const none = std::vector<ReplicaState const*>();
    auto const found = pools.find(model);
    return found == pools.end() ? none : found->second;
}

auto ReplicaLoadTable::active_nodes(Microseconds now) const -> std::int64_t {
    auto count = std::int64_t{1};
    // A silent relay does not mean that its nodes are gone: without a sum they are assumed to be active.
    if (relayed) count += summed_lost(now) ? std::max(summed.nodes, fleet_nodes - 1) : summed.nodes;
    if (active_digests == 0 || now - oldest_digest_at < options.digest_lost) return count + active_digests;
    for (auto const& [node, digest] : remote_digests)
        if (now - digest.at < options.digest_lost && !digest.replicas.empty()) ++count;
    return count;
}

auto ReplicaLoadTable::running(ReplicaState const& state, Microseconds now) const -> std::int64_t {
    auto sum = state.placed_slots + (relayed && !summed_lost(now) ? state.summed.slots : 0);
    if (now - state.remote_oldest <= options.digest_lost) return sum + state.remote_slots;
    for (auto const& item : state.remote)
        if (now - item.at <= options.digest_lost) sum += item.slots;
    return sum;
}

// Slots that other nodes may have taken since their last digests: their recent rate times the digest's age, or
// all that remains of their share of the replica once the digest is old (design 9.4).
auto ReplicaLoadTable::reserve(ReplicaState const& state, Microseconds now) const -> std::int64_t {
    auto sum = std::int64_t{0};
    auto slice = std::int64_t{-1};
    for (auto const& item : state.remote) {
        auto const age = now - item.at;
        if (age > options.digest_lost) continue;
        if (age > options.digest_old) {
            if (slice < 0) slice = options.multiplier * state.entry.capacity / active_nodes(now);
            sum += std::max<std::int64_t>(0, slice - item.slots);
        } else if (item.recent != 0) {
            sum += (item.recent * age + one_second / 2) / one_second;
        }
    }
    if (!relayed) return sum;
    if (slice < 0) slice = options.multiplier * state.entry.capacity / active_nodes(now);
    return sum + summed_reserve(state, slice, now);
}

auto ReplicaLoadTable::free_memory(ReplicaState const& state, Microseconds now) const -> std::int64_t {
    auto free = state.entry.memory - state.placed_memory;
    auto reported = (state.report ? state.report->free_memory : 0) - state.placed_since;
    if (relayed && !summed_lost(now)) {
        auto const& load = state.summed;
        free -= load.memory;
        if (summed.at > state.reported_at && load.count > 0)
            reported -= load.memory / load.count * std::min(load.recent, load.count);
    }
    if (now - state.remote_oldest <= options.digest_lost)
        return std::min(free - state.remote_memory, reported - state.remote_unreported);
    for (auto const& item : state.remote) {
        if (now - item.at > options.digest_lost) continue;
        free -= item.memory;
        if (item.at > state.reported_at) reported -= item.unreported;
    }
    return std::min(free, reported);
}

// The number of other nodes that precede this one for a replica's last places. Nodes with the fewest slots there
// come first, since a fixed order would starve a node.
auto ReplicaLoadTable::rank_for(ReplicaState const& state, std::int64_t own, Microseconds now) const -> std::int64_t {
    auto const mine = hash_text(self, state.name_hash);
    auto rank = std::int64_t{0};
    if (active_digests > 0 && now - oldest_digest_at >= options.digest_lost) {  // some digests are lost
        for (auto const& [node, digest] : remote_digests) {
            if (now - digest.at >= options.digest_lost || digest.replicas.empty()) continue;
            auto const found = digest.replicas.find(state.entry.name);
            auto const theirs = found == digest.replicas.end() ? 0 : found->second.slots;
            if (std::pair(theirs, hash_text(node, state.name_hash)) < std::pair(own, mine)) ++rank;
        }
        return rank;
    }
    if (own == 0 && (state.preceding_counted_at != active_changes || state.preceding_own_hash != mine)) {
        state.preceding_nodes = 0;
        for (auto const& [node, digest] : remote_digests)
            if (!digest.replicas.empty() && hash_text(node, state.name_hash) < mine) ++state.preceding_nodes;
        state.preceding_counted_at = active_changes;
        state.preceding_own_hash = mine;
    }
    // First as if no node had load there, then corrected for the nodes that do.
    rank = own == 0 ? state.preceding_nodes : own > 0 ? active_digests : 0;
    for (auto const& item : state.remote) {
        auto const counted = std::pair(std::int64_t{0}, item.tie_break) < std::pair(own, mine);
        auto const before = std::pair(item.slots, item.tie_break) < std::pair(own, mine);
        rank += static_cast<std::int64_t>(before) - static_cast<std::int64_t>(counted);
    }
    return rank;
}

// There is room while no more than `multiplier` (four in the design) times the capacity is running. The last
// places go to nodes by rank_for, one each between two digests, so that not all take the same place.
auto ReplicaLoadTable::has_room(ReplicaState const& state, Microseconds now) const -> bool {
    auto const limit = options.multiplier * state.entry.capacity;
    auto const known = running(state, now);
    auto const left = limit + 1 - known;
    if (left <= 0) return false;
    auto const own = state.placed_slots;
    auto const nodes = active_nodes(now);
    if (own >= std::max<std::int64_t>(1, limit / nodes) && known + reserve(state, now) > limit) return false;
    if (left > nodes || nodes == 1) return true;
    if (options.idle_open && 2 * left > limit) return true;
    // Through relays a report takes longer to arrive than the interval between two reports.
    auto const unreported_placements = relayed ? placements_after_sum(state) : state.unreported_placements;
    if (unreported_placements >= std::max<std::int64_t>(1, left / nodes)) return false;
    return rank_for(state, own, now) + (relayed ? summed_rank(state, own, now) : 0) < left;
}

}  // namespace dockrock

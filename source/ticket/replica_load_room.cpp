// How much room a replica has: sums over own placements and over what other
// nodes told, kept as they change. docs/design.md section 9.4.
#include <algorithm>

#include "ticket/replica_load_table.hpp"

namespace dockrock {

auto ReplicaState::take_away(std::uint64_t request_number) -> void {
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

// Each node tells of a replica once; its order for the last places stays.
auto tell(ReplicaState& state, std::string const& node, ReplicaLoadTable::Digest const& digest, ReplicaLoad const& item)
    -> void {
    auto found = std::find_if(
        state.remote.begin(), state.remote.end(), [&](auto const& item) { return item.node == digest.node; });
    if (found == state.remote.end()) {
        if (state.remote.empty()) state.remote_oldest = digest.at;
        state.remote.push_back({digest.node, hash_text(node, state.seed)});
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

auto untell(ReplicaState& state, std::uint64_t node) -> void {
    auto const found =
        std::find_if(state.remote.begin(), state.remote.end(), [&](auto const& item) { return item.node == node; });
    if (found == state.remote.end()) return;
    state.count_remote(*found, -1);
    *found = state.remote.back();
    state.remote.pop_back();
}

}  // namespace

// A replica that was not listed before: others may have told of it already.
auto ReplicaLoadTable::tell_of(std::string const& name, ReplicaState& state) const -> void {
    state.seed = hash_text(name);
    for (auto const& [node, digest] : others)
        if (auto const found = digest.replicas.find(name); found != digest.replicas.end())
            tell(state, node, digest, found->second);
}

auto ReplicaLoadTable::take_remote_loads(
    std::string const& node, Digest& digest, std::map<std::string, ReplicaLoad> told, Microseconds at) -> void {
    if (digest.node == 0) digest.node = ++reporting_nodes;
    auto const was_active = !digest.replicas.empty();
    digest.at = at;
    for (auto const& [name, item] : digest.replicas)
        if (!told.contains(name))
            if (auto const found = replicas.find(name); found != replicas.end()) untell(found->second, digest.node);
    digest.replicas = std::move(told);
    for (auto const& [name, item] : digest.replicas)
        if (auto const found = replicas.find(name); found != replicas.end()) tell(found->second, node, digest, item);
    auto const active = !digest.replicas.empty();
    if (active) others_oldest = others_active == 0 ? at : std::min(others_oldest, at);
    if (active == was_active) return;
    others_active += active ? 1 : -1;
    ++active_changes;
}

// A digest that is lost counts for nothing: what it said is dropped, its number
// is kept, so that an older one is still known as such. Now and then only.
auto ReplicaLoadTable::forget_lost(Microseconds now) -> void {
    if (now - others_oldest <= options.digest_lost / 2 || now - swept_at < one_second) return;
    swept_at = now;
    for (auto& [node, digest] : others)
        if (now - digest.at > options.digest_lost && !digest.replicas.empty())
            take_remote_loads(node, digest, {}, digest.at);
    others_oldest = now;
    for (auto const& [node, digest] : others)
        if (!digest.replicas.empty()) others_oldest = std::min(others_oldest, digest.at);
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
    // A relay's silence is not its nodes' end: without a sum they are taken to be there.
    if (relayed) count += summed_lost(now) ? std::max(summed.nodes, fleet_nodes - 1) : summed.nodes;
    if (others_active == 0 || now - others_oldest < options.digest_lost) return count + others_active;
    for (auto const& [node, digest] : others)
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

// What others may have placed since they last told: their recent rate over the
// digest's age, and the rest of their slice once it is old (design 9.4).
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

// How many other nodes come before this one for a replica's last places: those
// with the fewest there first, since a fixed order starves a node.
auto ReplicaLoadTable::rank_for(ReplicaState const& state, std::int64_t own, Microseconds now) const -> std::int64_t {
    auto const mine = hash_text(self, state.seed);
    auto rank = std::int64_t{0};
    if (others_active > 0 && now - others_oldest >= options.digest_lost) {  // some of them are lost
        for (auto const& [node, digest] : others) {
            if (now - digest.at >= options.digest_lost || digest.replicas.empty()) continue;
            auto const found = digest.replicas.find(state.entry.name);
            auto const theirs = found == digest.replicas.end() ? 0 : found->second.slots;
            if (std::pair(theirs, hash_text(node, state.seed)) < std::pair(own, mine)) ++rank;
        }
        return rank;
    }
    if (own == 0 && (state.orders_known != active_changes || state.orders_mine != mine)) {
        state.orders_below = 0;
        for (auto const& [node, digest] : others)
            if (!digest.replicas.empty() && hash_text(node, state.seed) < mine) ++state.orders_below;
        state.orders_known = active_changes;
        state.orders_mine = mine;
    }
    // As if nobody had anything there; then those who have.
    rank = own == 0 ? state.orders_below : own > 0 ? others_active : 0;
    for (auto const& item : state.remote) {
        auto const counted = std::pair(std::int64_t{0}, item.order) < std::pair(own, mine);
        auto const before = std::pair(item.slots, item.order) < std::pair(own, mine);
        rank += static_cast<std::int64_t>(before) - static_cast<std::int64_t>(counted);
    }
    return rank;
}

// Running no greater than four times the capacity, as the design asks; and
// where little is left, the last places go to nodes by their rank for this
// replica, one each between digests, so that not all take the same place.
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
    // Through relays a word takes longer than the time between two words.
    auto const unreported_placements = relayed ? unseen(state) : state.unreported_placements;
    if (unreported_placements >= std::max<std::int64_t>(1, left / nodes)) return false;
    return rank_for(state, own, now) + (relayed ? summed_rank(state, own, now) : 0) < left;
}

}  // namespace dockrock

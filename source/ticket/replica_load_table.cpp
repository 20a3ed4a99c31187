#include "ticket/replica_load_table.hpp"

#include <algorithm>
#include <charconv>

namespace dockrock {

auto ReplicaLoadTable::take_list(ReplicaList const& list) -> void {
    std::set<std::string> named;
    for (auto const& entry : list.replicas) {
        named.insert(entry.name);
        auto& state = replicas[entry.name];
        if (!state.entry.address.empty() && state.entry.address != entry.address) {
            state.report.reset();  // another process of this name: needs a report first
            state.cached.clear();
            state.cache_unknown = true;
        }
        if (state.name_hash == 0) add_reported_loads(entry.name, state);
        state.entry = entry;
    }
    for (auto place = replicas.begin(); place != replicas.end();) {
        if (!named.contains(place->first)) place->second.entry.drain = true;  // delisted: no new requests
        if (!named.contains(place->first) && place->second.placed.empty()) place = replicas.erase(place);
        else ++place;
    }
    make_pools();
}

auto ReplicaLoadTable::take_report(std::string const& name, ReplicaReport const& report, Microseconds asked_at)
    -> void {
    auto const found = replicas.find(name);
    if (found == replicas.end()) return;
    auto& state = found->second;
    if (state.report && asked_at < state.reported_at) return;
    auto const restarted = !state.report || state.report->incarnation != report.incarnation;
    auto const other_weights = state.report && state.report->weights != report.weights;
    if (restarted || other_weights) {
        state.cached.clear();
        state.cache_unknown = false;
        state.next_event = restarted ? 0 : state.next_event;
    }
    if (report.first_event > state.next_event) {  // missed events: entries may have been evicted
        state.cached.clear();
    }
    for (auto const& event : report.events) {
        if (event.number < state.next_event) continue;
        auto chain = std::uint64_t{0};
        std::from_chars(event.chain.data(), event.chain.data() + event.chain.size(), chain);
        if (event.kind == "kept") state.cached.insert(chain);
        else if (event.kind == "dropped") state.cached.erase(chain);
        else if (event.kind == "cleared") state.cached.clear();
    }
    state.next_event = std::max(state.next_event, report.next_event);
    state.cache_unknown = report.changing;
    state.report = report;
    state.report->events.clear();
    state.reported_at = asked_at;
    state.unreachable = false;
    state.placed_since = 0;
    for (auto const& [request_number, placed] : state.placed)
        if (placed.at >= asked_at) state.placed_since += placed.memory;
    state.sum_remote();
}

auto ReplicaLoadTable::report_failed(std::string const& name, Microseconds now) -> void {
    auto const found = replicas.find(name);
    if (found == replicas.end()) return;
    found->second.unreachable = true;
    found->second.unreachable_until = now + options.unreachable_pause;
    found->second.cache_unknown = true;
}

auto ReplicaLoadTable::take_digest(
    std::string const& node, std::uint64_t number, std::string const& body, Microseconds now) -> void {
    auto& digest = remote_digests[node];
    if (number <= digest.number && digest.number != 0) return;
    auto const parsed = parse_json(body);
    if (!parsed) return;
    std::map<std::string, ReplicaLoad> reported;
    Problems problems;
    read_json(*parsed, reported, "", problems);
    if (!problems.empty()) return;
    digest.number = number;
    take_remote_loads(node, digest, std::move(reported), now);
    drop_lost_digests(now);
    update_health(now);
}

// This node's own load on each replica, as reported to other nodes.
auto ReplicaLoadTable::own_load(Microseconds now) -> std::vector<std::pair<std::string, ReplicaLoad>> {
    std::vector<std::pair<std::string, ReplicaLoad>> loads;
    for (auto& [name, state] : replicas) {
        if (!state.recent.empty()) std::erase_if(state.recent, [&](auto at) { return now - at > one_second; });
        state.unreported_placements = 0;
        while (!state.outcomes.empty() && now - state.outcomes.front().at > outcome_window) state.outcomes.pop_front();
        if (state.placed.empty() && state.recent.empty() && state.outcomes.empty()) continue;
        auto const failed = std::count_if(
            state.outcomes.begin(), state.outcomes.end(), [](auto const& outcome) { return outcome.failed; });
        loads.emplace_back(
            name,
            ReplicaLoad{
                static_cast<std::int64_t>(state.placed.size()), state.placed_slots, state.placed_memory,
                static_cast<std::int64_t>(state.recent.size()), state.placed_unread,
                static_cast<std::int64_t>(state.outcomes.size()), failed});
    }
    drop_lost_digests(now);
    ++digest_number;
    return loads;
}

auto ReplicaLoadTable::make_digest(Microseconds now) -> std::string {
    json::object loads;
    for (auto const& [name, item] : own_load(now)) loads[name] = write_json(item);
    return json::serialize(loads);
}

auto ReplicaLoadTable::place(
    std::string const& name, InferenceRequest const& inference, std::int64_t memory, Microseconds now,
    std::int64_t unread) -> void {
    auto& state = replicas.at(name);
    state.remove_placement(inference.number);
    state.placed[inference.number] = {inference.body.slots, memory, now, unread};
    state.placed_slots += inference.body.slots;
    state.placed_memory += memory;
    state.placed_unread += unread;
    if (now >= state.reported_at) state.placed_since += memory;
    std::erase_if(state.recent, [&](auto at) { return now - at > one_second; });
    state.recent.push_back(now);
    ++state.unreported_placements;
}

auto ReplicaLoadTable::release(std::string const& name, std::uint64_t request_number) -> void {
    if (auto const found = replicas.find(name); found != replicas.end()) found->second.remove_placement(request_number);
}

auto ReplicaLoadTable::first_output(std::string const& name, std::uint64_t request_number) -> void {
    auto const found = replicas.find(name);
    if (found == replicas.end()) return;
    auto& state = found->second;
    auto const placed = state.placed.find(request_number);
    if (placed == state.placed.end()) return;
    state.placed_unread -= std::exchange(placed->second.unread, 0);
}

auto ReplicaLoadTable::ended(std::string const& name, bool failed, Microseconds now) -> void {
    if (auto const found = replicas.find(name); found != replicas.end())
        found->second.outcomes.push_back({now, failed});
}

auto ReplicaLoadTable::take_part(std::string const& name, std::uint64_t part, std::uint64_t weights_hash, bool cached)
    -> void {
    auto const found = replicas.find(name);
    if (found == replicas.end()) return;
    if (cached) found->second.parts[part ^ weights_hash] = weights_hash;
    else found->second.parts.erase(part ^ weights_hash);
}

auto ReplicaLoadTable::forget_parts(std::string const& name) -> void {
    if (auto const found = replicas.find(name); found != replicas.end()) found->second.parts.clear();
}

auto ReplicaLoadTable::cached_tokens(ReplicaState const& state, InferenceRequest const& inference) const
    -> std::int64_t {
    if (inference.independent_parts) {
        auto tokens = std::int64_t{0};
        for (auto index = std::size_t{0}; index < inference.chain.size(); ++index) {
            if (!state.parts.contains(inference.chain[index] ^ state.weights_hash)) break;
            tokens += inference.body.prefix[index].tokens;
        }
        return tokens;
    }
    if (state.cache_unknown || !state.report) return 0;
    auto best = std::int64_t{0};
    auto tokens = std::int64_t{0};
    for (auto index = std::size_t{0}; index < inference.chain.size(); ++index) {
        tokens += inference.body.prefix[index].tokens;
        if (state.cached.contains(inference.chain[index])) best = tokens;
    }
    return best;
}

// Weights of a replica that sends no reports of its own; stands in for a report.
auto ReplicaLoadTable::take_weights(std::string const& name, std::string const& weights, bool loading) -> void {
    auto const found = replicas.find(name);
    if (found == replicas.end()) return;
    auto& state = found->second;
    if (!state.report || state.report->weights != weights) {
        state.weights_hash = hash_text(weights);
        std::erase_if(state.parts, [&](auto const& item) { return item.second != state.weights_hash; });
        state.report = ReplicaReport{};
        state.report->incarnation = name;
        state.report->weights = weights;
    }
    state.report->changing = loading;
    state.report->free_memory = state.entry.memory;
    state.cache_unknown = false;
}

// The replica refused a request without running it.
auto ReplicaLoadTable::refused(std::string const& name, std::string_view reason, Microseconds now) -> void {
    auto const found = replicas.find(name);
    if (found == replicas.end()) return;
    auto& state = found->second;
    if (reason == "busy" || reason == "memory") state.paused_until = now + options.refused_pause;
    if ((reason == "weights" || reason == "restarted") && state.report) {
        state.report->changing = true;  // until it reports what it serves
        state.cache_unknown = true;
    }
}

}  // namespace dockrock

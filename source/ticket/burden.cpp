#include "ticket/burden.hpp"

#include <algorithm>
#include <charconv>

namespace dockrock {

auto BurdenTable::take_list(ReplicaList const& list) -> void {
    std::set<std::string> named;
    for (auto const& entry : list.replicas) {
        named.insert(entry.name);
        auto& state = replicas[entry.name];
        if (!state.entry.address.empty() && state.entry.address != entry.address) {
            state.report.reset();  // another process under this name: asked before use
            state.kept.clear();
            state.kept_unsure = true;
        }
        state.entry = entry;
    }
    for (auto place = replicas.begin(); place != replicas.end();) {
        if (!named.contains(place->first)) place->second.entry.drain = true;  // gone from the list: nothing new
        if (!named.contains(place->first) && place->second.placed.empty()) place = replicas.erase(place);
        else ++place;
    }
}

auto BurdenTable::take_report(std::string const& name, ReplicaReport const& report, Microseconds asked_at) -> void {
    auto const found = replicas.find(name);
    if (found == replicas.end()) return;
    auto& state = found->second;
    if (state.report && asked_at < state.reported_at) return;
    auto const restarted = !state.report || state.report->incarnation != report.incarnation;
    auto const other_weights = state.report && state.report->weights != report.weights;
    if (restarted || other_weights) {
        state.kept.clear();
        state.kept_unsure = false;
        state.next_event = restarted ? 0 : state.next_event;
    }
    if (report.first_event > state.next_event) {  // a gap: what we hold may be gone, so it does not count
        state.kept.clear();
    }
    for (auto const& event : report.events) {
        if (event.number < state.next_event) continue;
        auto chain = std::uint64_t{0};
        std::from_chars(event.chain.data(), event.chain.data() + event.chain.size(), chain);
        if (event.kind == "kept") state.kept.insert(chain);
        else if (event.kind == "dropped") state.kept.erase(chain);
        else if (event.kind == "cleared") state.kept.clear();
    }
    state.next_event = std::max(state.next_event, report.next_event);
    state.kept_unsure = report.changing;
    state.report = report;
    state.report->events.clear();
    state.reported_at = asked_at;
    state.unreachable = false;
}

auto BurdenTable::report_failed(std::string const& name, Microseconds now) -> void {
    auto const found = replicas.find(name);
    if (found == replicas.end()) return;
    found->second.unreachable = true;
    found->second.unreachable_until = now + options.unreachable_pause;
    found->second.kept_unsure = true;
}

auto BurdenTable::take_digest(std::string const& node, std::uint64_t number, std::string const& body, Microseconds now)
    -> void {
    auto& digest = others[node];
    if (number <= digest.number && digest.number != 0) return;
    auto const parsed = parse_json(body);
    if (!parsed) return;
    std::map<std::string, OtherBurden> told;
    Problems problems;
    read_json(*parsed, told, "", problems);
    if (!problems.empty()) return;
    digest = {number, now, std::move(told)};
}

auto BurdenTable::make_digest(Microseconds now) -> std::string {
    std::map<std::string, OtherBurden> told;
    for (auto& [name, state] : replicas) {
        std::erase_if(state.recent, [&](auto at) { return now - at > one_second; });
        state.untold = 0;
        if (state.placed.empty() && state.recent.empty()) continue;
        auto& item = told[name];
        item.count = static_cast<std::int64_t>(state.placed.size());
        item.recent = static_cast<std::int64_t>(state.recent.size());
        for (auto const& [ticket, placed] : state.placed) {
            item.slots += placed.slots;
            item.memory += placed.memory;
        }
    }
    ++digest_number;
    return json::serialize(write_json(told));
}

auto BurdenTable::place(std::string const& name, Ticket const& ticket, std::int64_t memory, Microseconds now) -> void {
    auto& state = replicas.at(name);
    state.placed[ticket.number] = {ticket.body.slots, memory, now};
    std::erase_if(state.recent, [&](auto at) { return now - at > one_second; });
    state.recent.push_back(now);
    ++state.untold;
}

auto BurdenTable::release(std::string const& name, std::uint64_t ticket) -> void {
    if (auto const found = replicas.find(name); found != replicas.end()) found->second.placed.erase(ticket);
}

auto BurdenTable::active_nodes(Microseconds now) const -> std::int64_t {
    auto count = std::int64_t{1};
    for (auto const& [node, digest] : others)
        if (now - digest.at < options.digest_lost && !digest.replicas.empty()) ++count;
    return count;
}

auto BurdenTable::running(ReplicaState const& state, Microseconds now) const -> std::int64_t {
    auto sum = std::int64_t{0};
    for (auto const& [ticket, placed] : state.placed) sum += placed.slots;
    for (auto const& [node, digest] : others) {
        if (now - digest.at > options.digest_lost) continue;
        if (auto const found = digest.replicas.find(state.entry.name); found != digest.replicas.end())
            sum += found->second.slots;
    }
    return sum;
}

// What others may have placed since they last told: their recent rate over the
// digest's age, and the rest of their slice once it is old (design 9.4).
auto BurdenTable::reserve(ReplicaState const& state, Microseconds now) const -> std::int64_t {
    auto sum = std::int64_t{0};
    auto const limit = options.multiplier * state.entry.capacity;
    for (auto const& [node, digest] : others) {
        auto const age = now - digest.at;
        if (age > options.digest_lost) continue;
        auto const found = digest.replicas.find(state.entry.name);
        if (found == digest.replicas.end()) continue;
        if (age > options.digest_old) sum += std::max<std::int64_t>(0, limit / active_nodes(now) - found->second.slots);
        else sum += (found->second.recent * age + one_second / 2) / one_second;
    }
    return sum;
}

auto BurdenTable::free_memory(ReplicaState const& state, Microseconds now) const -> std::int64_t {
    auto free = state.entry.memory;
    auto reported = state.report ? state.report->free_memory : 0;
    for (auto const& [ticket, placed] : state.placed) {
        free -= placed.memory;
        if (placed.at >= state.reported_at) reported -= placed.memory;
    }
    for (auto const& [node, digest] : others) {
        if (now - digest.at > options.digest_lost) continue;
        auto const found = digest.replicas.find(state.entry.name);
        if (found == digest.replicas.end()) continue;
        free -= found->second.memory;
        if (digest.at > state.reported_at && found->second.count > 0)
            reported -=
                found->second.memory / found->second.count * std::min(found->second.recent, found->second.count);
    }
    return std::min(free, reported);
}

auto BurdenTable::take_part(std::string const& name, std::uint64_t part, std::string const& weights, bool kept)
    -> void {
    auto const found = replicas.find(name);
    if (found == replicas.end()) return;
    auto const mark = hash_text(weights);
    if (kept) found->second.parts[part ^ mark] = mark;
    else found->second.parts.erase(part ^ mark);
}

auto BurdenTable::forget_parts(std::string const& name) -> void {
    if (auto const found = replicas.find(name); found != replicas.end()) found->second.parts.clear();
}

auto BurdenTable::kept_tokens(ReplicaState const& state, Ticket const& ticket) const -> std::int64_t {
    if (ticket.parts_alone) {
        auto tokens = std::int64_t{0};
        for (auto index = std::size_t{0}; index < ticket.chain.size(); ++index) {
            if (!state.parts.contains(ticket.chain[index] ^ state.weights_mark)) break;
            tokens += ticket.body.prefix[index].tokens;
        }
        return tokens;
    }
    if (state.kept_unsure || !state.report) return 0;
    auto best = std::int64_t{0};
    auto tokens = std::int64_t{0};
    for (auto index = std::size_t{0}; index < ticket.chain.size(); ++index) {
        tokens += ticket.body.prefix[index].tokens;
        if (state.kept.contains(ticket.chain[index])) best = tokens;
    }
    return best;
}

// Running no greater than four times the capacity, as the design asks; and
// where little is left, the last places go to nodes by their rank for this
// replica, one each between digests, so that not all take the same place.
auto BurdenTable::has_room(ReplicaState const& state, Microseconds now) const -> bool {
    auto const limit = options.multiplier * state.entry.capacity;
    auto const known = running(state, now);
    auto const left = limit + 1 - known;
    if (left <= 0) return false;
    auto own = std::int64_t{0};
    for (auto const& [number, placed] : state.placed) own += placed.slots;
    auto const nodes = active_nodes(now);
    if (known + reserve(state, now) > limit && own >= std::max<std::int64_t>(1, limit / nodes)) return false;
    if (left > nodes || nodes == 1) return true;
    if (state.untold >= std::max<std::int64_t>(1, left / nodes)) return false;
    auto const seed = hash_text(state.entry.name);
    auto const mine = hash_text(self, seed);
    auto rank = std::int64_t{0};  // those with the fewest there come first: a fixed order starves a node
    for (auto const& [node, digest] : others) {
        if (now - digest.at >= options.digest_lost || digest.replicas.empty()) continue;
        auto const found = digest.replicas.find(state.entry.name);
        auto const theirs = found == digest.replicas.end() ? 0 : found->second.slots;
        if (std::pair(theirs, hash_text(node, seed)) < std::pair(own, mine)) ++rank;
    }
    return rank < left;
}

// A replica's own word that it did not run something, and why.
auto BurdenTable::refused(std::string const& name, std::string_view reason, Microseconds now) -> void {
    auto const found = replicas.find(name);
    if (found == replicas.end()) return;
    auto& state = found->second;
    if (reason == "busy" || reason == "memory") state.paused_until = now + options.refused_pause;
    if ((reason == "weights" || reason == "restarted") && state.report) {
        state.report->changing = true;  // until it says what it serves
        state.kept_unsure = true;
    }
}

auto BurdenTable::check(ReplicaState const& state, Ticket const& ticket, Microseconds now) const -> Filter {
    if (state.entry.drain) return Filter::available;
    if (state.unreachable || now < state.unreachable_until) return Filter::reachable;
    if (!state.report || state.report->changing || outdated(state, now)) return Filter::weights;
    if (!ticket.body.weights.empty() && ticket.body.weights != state.report->weights) return Filter::weights;
    if (state.entry.capacity < ticket.body.slots) return Filter::capacity;
    if (now < state.paused_until || !has_room(state, now)) return Filter::busy;
    auto const needed = ticket.declared() - kept_tokens(state, ticket);
    if (free_memory(state, now) < needed) return Filter::memory;
    return Filter::passed;
}

}  // namespace dockrock

// The faults of the traffic world, its course, and what must never be seen.
#include <algorithm>

#include "traffic.hpp"

namespace dockrock::simulation {

namespace {
constexpr auto pieces_of_ticket = std::int64_t{6};
constexpr auto tenant_count = std::uint64_t{6};
}  // namespace

auto Traffic::crash(std::size_t target) -> void {
    auto& replica = *replicas[target];
    if (!replica.up) return;
    auto const drained = replica.drained_at;
    auto fresh = SimulatedReplica();
    fresh.name = replica.name;
    fresh.life = replica.life + 1;
    fresh.drained_at = drained;
    fresh.weights = replica.weights;
    fresh.repeats_a_piece = replica.repeats_a_piece;
    fresh.up = false;
    auto waiting = std::move(replica.waiting);
    replica = std::move(fresh);
    for (auto& work : waiting) work();  // their connections break as well
    at(now + static_cast<Microseconds>(300'000 + random.below(2'000'000)), [this, target] {
        replicas[target]->up = true;
        replicas[target]->running = replicas[target]->active = replicas[target]->used = 0;
    });
}

auto Traffic::fault() -> void {
    auto const target = random.below(replicas.size());
    auto const index = random.below(nodes.size());
    switch (random.below(8)) {
        case 0: crash(target); break;
        case 1:
            if (std::count_if(
                    replicas.begin(), replicas.end(), [](auto const& replica) { return replica->drained_at >= 0; }) *
                        2 <
                    static_cast<std::ptrdiff_t>(replicas.size()) &&
                replicas[target]->drained_at < 0)
                replicas[target]->drained_at = now;
            break;
        case 2: nodes[index]->frozen_until = now + static_cast<Microseconds>(random.below(6'000'000)); break;
        case 3:
            nodes[index]->cut_off = true;
            at(now + static_cast<Microseconds>(random.below(8'000'000)),
               [this, index] { nodes[index]->cut_off = false; });
            break;
        case 4:
            if (revoked_at.size() < 2)
                revoked_at.emplace("/root/tenant-" + std::to_string(random.below(tenant_count)), now);
            break;
        case 5: {  // new weights: what runs finishes first
            auto& replica = *replicas[target];
            replica.changing = true;
            at(now + 700 * one_millisecond, [this, target, life = replica.life] {
                auto& later = *replicas[target];
                if (later.life != life) return;
                later.weights = later.weights == "w1" ? "w2" : "w1";
                later.kept.clear();
                later.events.push_back({later.next_event++, "cleared", "0"});
                later.changing = false;
            });
            break;
        }
        case 6: replicas[target]->repeats_a_piece = random.below(2) == 0; break;
        default: {
            auto& node = *nodes[index];
            if (!node.up) break;
            node.up = false;
            for (auto& [number, fate] : fates)
                if (fate.node == index && fate.outcome.empty()) finish(number, "lost");
            at(now + one_second, [this, index] {
                auto& later = *nodes[index];
                later.up = true;
                ++later.life;
                auto const list = later.granting.burden.replicas;
                auto const self = later.granting.burden.self;
                later.granting = Granting();
                later.granting.options = later.granting.burden.options = options.granting;
                later.granting.burden.self = self;
                for (auto const& [name, state] : list) later.granting.burden.replicas[name].entry = state.entry;
            });
        }
    }
}

auto Traffic::judge() -> void {
    auto extra = std::uint64_t{0};
    for (auto const& node : nodes) extra += node->granting.extra_tries;
    result.extra_tries = extra;
    result.tickets = fates.size();
    for (auto const& [number, fate] : fates) {
        if (fate.stitched) violation("an answer was stitched, or lost or repeated a piece");
        if (fate.outcome == "answered") {
            ++result.answered;
            result.waits.push_back(fate.ended_at - fate.ticket.arrived_at);
            if (fate.pieces_seen != pieces_of_ticket) violation("an answer lost a piece");
        } else if (fate.outcome == "shed") {
            ++result.shed;
            if (fate.runs > 0) violation("a shed ticket had run");
            if (fate.ended_at > fate.ticket.deadline + 7 * one_second) violation("a ticket given up was told late");
        } else if (fate.outcome == "unknown") {
            ++result.unknown;
        } else if (fate.outcome == "broken") {
            ++result.broken;
        } else if (fate.outcome == "lost") {
            ++result.lost;
        } else {
            violation("a ticket got no outcome");
        }
    }
    if (static_cast<double>(extra) > 0.2 * static_cast<double>(fates.size()) + 10.0 * static_cast<double>(nodes.size()))
        violation("more extra tries than a fifth plus slack");
}

auto Traffic::run() -> TrafficResult {
    auto next_ticket = Microseconds{0};
    auto next_tell = Microseconds{0};
    auto next_fault = 2 * one_second;
    auto const end = options.length + 30 * one_second;
    for (auto next_match = Microseconds{0}; now < end;) {
        auto const due = std::min({next_tell, next_match, next_ticket, options.calm ? end : next_fault});
        while (timeline.due(due)) {
            auto const event = timeline.take();
            now = std::max(now, event.at);
            event.work();
        }
        now = std::max(now, due);
        if (now >= next_tell) {
            tell_nodes();
            next_tell = now + 200 * one_millisecond;
        }
        if (now >= next_match) {
            for (auto index = std::size_t{0}; index < nodes.size(); ++index) match(index);
            next_match = now + 25 * one_millisecond;
        }
        if (now >= next_ticket) {
            if (now < options.length && now > one_second) arrive();
            next_ticket = now +
                static_cast<Microseconds>(static_cast<double>(random.below(2'000'000)) / options.tickets_each_second);
        }
        if (now >= next_fault) {
            if (!options.calm && now < options.length) fault();
            next_fault = now + static_cast<Microseconds>(200'000 + random.below(800'000));
        }
    }
    judge();
    return result;
}

}  // namespace dockrock::simulation

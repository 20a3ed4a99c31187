// The replicas of the simulated fleet, and what is judged where work reaches them.
#include "fleet.hpp"

namespace dockrock::simulation {

namespace {
constexpr auto pieces_of_ticket = std::int64_t{6};
}  // namespace

auto Fleet::receive(
    std::size_t target, std::size_t index, std::uint64_t number, InferenceRequest const& inference,
    Placement const& placement) -> void {
    auto& replica = *replicas[target];
    auto& asking = askings.at(number);
    auto const refuse = [&](std::string reason) {
        ++result.refused;
        later(link(), [this, index, number, name = replica.name, reason, life = asking.node_life] {
            world.on_node(index, life, [this, index, number, name, reason] {
                ended(index, number, name, TryEnd::did_not_run, reason);
            });
        });
    };
    if (placement.incarnation != std::to_string(replica.life)) return refuse("restarted");
    if (replica.changing || placement.weights != replica.weights) return refuse("weights");
    if (asking.run_once && replica.seen.contains(asking.identity)) return refuse("seen");
    if (replica.running > 4 * replica.capacity) return refuse("busy");
    auto const kept = judge_run(replica, asking, inference);
    auto const memory = inference.declared() - kept;
    if (replica.free() < memory) return refuse("memory");
    ++asking.runs;
    auto const run = next_run++;
    ++result.runs;
    result.cached_tokens += kept;
    result.prefix_tokens += inference.prefix_tokens;
    if (asking.outcome == "shed") violation("a shed ticket ran");
    if (asking.run_once) {
        auto& runs = runs_of_identity[asking.identity];
        runs.insert(run);
        if (runs.size() > 1) violation("a run-once ticket ran twice: " + asking.identity);
        replica.seen.insert(asking.identity);
    }
    replica.used += memory;
    ++replica.running;
    work_on(target, replica.life, index, number, inference, run, memory);
}

// Whether every node has to know by now that a tenant is isolated.
auto Fleet::is_walled(std::string const& name) const -> bool {
    return std::any_of(tenants.begin(), tenants.end(), [&](auto const& tenant) {
        return tenant.name == name && tenant.isolated_at != 0 && world.now - tenant.isolated_at > 4 * one_second;
    });
}

// Drain marks, keys, walls and weights, from the operator's acknowledgement on.
auto Fleet::judge_run(SimulatedReplica& replica, Asking& asking, InferenceRequest const& inference) -> std::int64_t {
    auto const& tenant = tenants[asking.tenant];
    if (replica.drained_at >= 0 && world.now - replica.drained_at > 3 * one_second)
        violation(
            "new work on leaving " + replica.name + " from " + std::to_string(asking.node) + " after " +
            std::to_string((world.now - replica.drained_at) / 1'000) + " ms");
    if (tenant.revoked_at != 0 && world.now - tenant.revoked_at > 5 * one_second)
        violation("a revoked key worked after " + std::to_string((world.now - tenant.revoked_at) / 1'000) + " ms");
    auto const isolated = inference.isolation_domain.starts_with("tenant:");
    if (is_walled(tenant.name) && !isolated) violation("an isolated tenant was told another wall");
    auto kept = std::int64_t{0};
    auto so_far = std::int64_t{0};
    for (auto place = std::size_t{0}; place < inference.chain.size(); ++place) {
        so_far += inference.body.prefix[place].tokens;
        auto const found = replica.kept.find(inference.chain[place]);
        if (found == replica.kept.end()) continue;
        kept = so_far;
        if (found->second.wall != inference.isolation_domain || (isolated && found->second.tenant != tenant.name))
            violation("memory of " + found->second.tenant + " was touched across a wall");
        if (found->second.tenant != tenant.name && is_walled(found->second.tenant))
            violation("memory of " + found->second.tenant + ", from before its wall, was touched by " + tenant.name);
        if (found->second.weights != replica.weights) violation("memory kept under other weights was used");
    }
    return kept;
}

auto Fleet::work_on(
    std::size_t target, std::uint64_t life, std::size_t index, std::uint64_t number, InferenceRequest const& inference,
    std::uint64_t run, std::int64_t memory) -> void {
    auto& replica = *replicas[target];
    auto const node_life = askings.at(number).node_life;
    auto const reader = std::make_shared<PieceReader>();
    auto const name = replica.name;
    auto const broken = [this, index, node_life, number, name, reader] {
        world.on_node(index, node_life, [this, index, number, name, reader] {
            if (reader->done || reader->wrong) return;
            reader->wrong = true;
            ended(index, number, name, reader->next == 0 ? TryEnd::unknown_before : TryEnd::broken_after, "broke");
        });
    };
    if (!replica.up || replica.life != life) return later(link(), broken);
    if (replica.active >= replica.capacity) {
        replica.waiting.push_back([this, target, life, index, number, inference, run, memory] {
            work_on(target, life, index, number, inference, run, memory);
        });
        return;
    }
    ++replica.active;
    auto const repeats = replica.repeats_a_piece;
    auto const each = inference.body.max_tokens * 300;
    auto const prefill = (inference.declared() - memory) >= inference.prefix_tokens
        ? 0
        : (memory - inference.body.max_tokens - inference.prompt_tokens) * 50;
    for (auto piece = std::int64_t{0}; piece <= pieces_of_ticket; ++piece) {
        later(
            prefill + (piece + 1) * each,
            [this, target, life, index, node_life, number, inference, memory, piece, run, reader, name, broken,
             repeats] {
                auto& now_there = *replicas[target];
                if (!now_there.up || now_there.life != life) return later(link(), broken);  // it crashed
                auto const last = piece == pieces_of_ticket;
                auto const told = repeats && piece == 3 ? piece - 1 : piece;
                auto line = last ? "{\"done\":true,\"pieces\":" + std::to_string(pieces_of_ticket) + "}\n"
                                 : "{\"piece\":" + std::to_string(told) + "}\n";
                tell_piece(index, node_life, number, name, std::move(line), told, run, last, reader);
                if (!last) return;
                for (auto const& chain : inference.chain) {
                    if (now_there.kept.contains(chain)) continue;
                    now_there.kept[chain] = {
                        tenants[askings.at(number).tenant].name, inference.isolation_domain, now_there.weights};
                    now_there.events.push_back({now_there.next_event++, "kept", std::to_string(chain)});
                }
                now_there.used -= memory;
                --now_there.running;
                --now_there.active;
                if (now_there.waiting.empty()) return;
                auto next = std::move(now_there.waiting.front());
                now_there.waiting.pop_front();
                next();
            });
    }
}

auto Fleet::tell_piece(
    std::size_t index, std::uint64_t node_life, std::uint64_t number, std::string name, std::string line,
    std::int64_t told, std::uint64_t run, bool last, std::shared_ptr<PieceReader> reader) -> void {
    world.on_node(index, node_life, [this, index, number, name, line, told, run, last, reader] {
        auto& asking = askings.at(number);
        if (reader->wrong && !options.planted_skip_pieces) return;
        auto const whole = reader->take(line);
        if (reader->wrong && !options.planted_skip_pieces)
            return ended(
                index, number, name, reader->next == 0 ? TryEnd::unknown_before : TryEnd::broken_after, "wrong pieces");
        reader->wrong = false;
        if (whole.empty() && !options.planted_skip_pieces) return;
        if (last) {
            reader->done = true;
            return ended(index, number, name, TryEnd::answered, "");
        }
        if (!asking.outcome.empty()) return;
        if (asking.pieces_seen == 0) note_first_piece(asking);
        if ((asking.run_seen != 0 && asking.run_seen != run) || told != asking.pieces_seen)
            violation("an answer was stitched, or lost or repeated a piece");
        asking.run_seen = run;
        ++asking.pieces_seen;
    });
}

auto Fleet::note_first_piece(Asking const& asking) -> void {
    auto const parsed = parse_json(asking.body);
    auto const kind = std::string(parsed->as_object().at("kind").as_string());
    for (auto const& label : {kind, tenants[asking.tenant].name})
        result.waits[label].push_back(world.now - asking.asked_at);
}

auto Fleet::take_order(std::size_t target, Order const& order, std::string const& holder) -> void {
    auto& replica = *replicas[target];
    auto const other_life = order.incarnation != std::to_string(replica.life) && !options.planted_skip_life;
    if (!replica.up || other_life || order.fence < replica.fence) {
        ++result.old_orders_refused;
        return;
    }
    if (order.fence < replica.fence_ever) violation("an old holder's order was taken by " + replica.name);
    auto const [place, fresh] = replica.holders.emplace(order.fence, holder);
    if (!fresh && place->second != holder) violation("two holders ordered " + replica.name + " under one fence");
    replica.fence = order.fence;
    replica.fence_ever = std::max(replica.fence_ever, order.fence);
    if (replica.changing || replica.weights == order.weights) return;
    replica.changing = true;
    auto const life = replica.life;
    later(
        700 * one_millisecond, [this, target, life, weights = order.weights] { load_weights(target, life, weights); });
}

auto Fleet::load_weights(std::size_t target, std::uint64_t life, std::string const& weights) -> void {
    auto& changed = *replicas[target];
    if (changed.life != life) return;
    if (changed.running > 0)  // what runs finishes first
        return later(20 * one_millisecond, [this, target, life, weights] { load_weights(target, life, weights); });
    changed.weights = weights;
    if (!options.planted_stale_weights) changed.clear_kept();
    changed.changing = false;
}

auto Fleet::crash(std::size_t target) -> void {
    auto& replica = *replicas[target];
    if (!replica.up) return;
    auto waiting = std::move(replica.waiting);
    auto fresh = SimulatedReplica();
    fresh.name = replica.name;
    fresh.model = replica.model;
    fresh.life = replica.life + 1;
    fresh.drained_at = replica.drained_at;
    fresh.fence_ever = replica.fence_ever;
    fresh.holders = replica.holders;
    fresh.repeats_a_piece = replica.repeats_a_piece;
    fresh.up = false;
    replica = std::move(fresh);
    for (auto& work : waiting) work();  // their connections break as well
    later(
        static_cast<Microseconds>(300'000 + random.below(2'000'000)), [this, target] { replicas[target]->up = true; });
}

}  // namespace dockrock::simulation

// A replica's prefill work and outcomes as known here, and the filters that decide whether it can take a request.
// docs/design.md sections 9.3, 9.4 and 9.11.
#include "ticket/replica_load_table.hpp"

namespace dockrock {

// Tokens of prompts that any node placed there and whose prefill is not known to be finished.
auto ReplicaLoadTable::unread(ReplicaState const& state, Microseconds now) const -> std::int64_t {
    auto sum = state.placed_unread + (relayed && !summed_lost(now) ? state.summed.unread * tokens_in_unread : 0);
    if (now - state.remote_oldest <= options.digest_lost) return sum + state.remote_unread;
    for (auto const& item : state.remote)
        if (now - item.at <= options.digest_lost) sum += item.unread;
    return sum;
}

auto ReplicaLoadTable::outcomes(ReplicaState const& state, Microseconds now) const -> TryOutcomes {
    auto sum = TryOutcomes{};
    for (auto const& outcome : state.outcomes) {
        if (now - outcome.at > outcome_window) continue;
        ++sum.ended;
        if (outcome.failed) ++sum.failed;
    }
    if (relayed && !summed_lost(now)) {
        sum.ended += state.summed.ended;
        sum.failed += state.summed.failed;
    }
    for (auto const& item : state.remote) {
        if (now - item.at > options.digest_lost) continue;
        sum.ended += item.ended;
        sum.failed += item.failed;
    }
    return sum;
}

auto ReplicaLoadTable::update_health(Microseconds now) -> void {
    if (!options.eject_failing) return;
    for (auto& [name, state] : replicas) state.health.update(outcomes(state, now), now);
}

auto ReplicaLoadTable::check(ReplicaState const& state, InferenceRequest const& inference, Microseconds now) const
    -> Filter {
    auto const result = check_apart_from_health(state, inference, now);
    return result == Filter::passed && !state.health.usable(now) ? Filter::failing : result;
}

auto ReplicaLoadTable::check_apart_from_health(
    ReplicaState const& state, InferenceRequest const& inference, Microseconds now) const -> Filter {
    if (state.entry.drain) return Filter::available;
    if (state.unreachable || now < state.unreachable_until) return Filter::reachable;
    if (!state.report || state.report->changing) return Filter::weights;
    if (!inference.body.weights.empty() && inference.body.weights != state.report->weights) return Filter::weights;
    if (state.entry.capacity < inference.body.slots) return Filter::capacity;
    if (now < state.paused_until || !has_room(state, now)) return Filter::busy;
    auto const needed = inference.declared() - cached_tokens(state, inference);
    if (free_memory(state, now) < needed) return Filter::memory;
    return Filter::passed;
}

}  // namespace dockrock

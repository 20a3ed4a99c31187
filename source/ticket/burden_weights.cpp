// Weights of the replicas where they report nothing else, and what other nodes
// tell of running requests. docs/design.md sections 9.4 and 11.
#include <algorithm>

#include "ticket/burden.hpp"

namespace dockrock {

// What is known of a replica's weights where it reports nothing else.
auto BurdenTable::take_weights(std::string const& name, std::string const& weights, bool loading, Microseconds until)
    -> void {
    auto const found = replicas.find(name);
    if (found == replicas.end()) return;
    auto& state = found->second;
    if (!state.report || state.report->weights != weights) {
        state.weights_mark = hash_text(weights);
        std::erase_if(state.parts, [&](auto const& item) { return item.second != state.weights_mark; });
        state.report = ReplicaReport{};
        state.report->incarnation = name;
        state.report->weights = weights;
    }
    state.weights_until = until;
    state.report->changing = loading;
    state.report->free_memory = state.entry.memory;
    state.kept_unsure = false;
}

// A request that is sent may wait there before it begins.
auto BurdenTable::outdated(ReplicaState const& state, Microseconds now) const -> bool {
    if (state.weights_until == std::numeric_limits<Microseconds>::max()) return false;
    auto const wait = std::min(options.longest_begin_wait, begin_wait.now(now));
    return now + options.version_margin + wait >= state.weights_until;
}

// One that has not told for long is down or frozen, and is not waited for.
auto BurdenTable::told_running(Microseconds now) const -> RunningTold {
    RunningTold told;
    for (auto const& [name, state] : replicas)
        if (!state.placed.empty()) told.counts[name] += static_cast<std::int64_t>(state.placed.size());
    for (auto const& [node, digest] : others) {
        if (now - digest.at > options.digest_old) continue;
        told.told_at = told.told_at ? std::min(*told.told_at, digest.at) : digest.at;
        for (auto const& [name, burden] : digest.replicas) told.counts[name] += burden.count;
    }
    return told;
}

auto FadingMost::now(Microseconds moment) const -> Microseconds {
    auto const halves = std::max<Microseconds>(0, moment - at) / half_life;
    return halves > 40 ? 0 : value >> halves;
}

auto FadingMost::take(Microseconds sample, Microseconds moment) -> void {
    if (sample < now(moment)) return;
    value = sample;
    at = moment;
}

}  // namespace dockrock

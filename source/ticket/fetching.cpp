// Fetch planning: where a replica can get the prefix parts that it does not have cached. docs/design.md 9.7.
#include "ticket/scheduler.hpp"

namespace dockrock {

// The speed measured on that link, for `link_memory`. After that the default applies again, so that a link that
// was slow once does not stay unused for ever.
auto Scheduler::link_rate(std::string const& source, std::string const& target, Microseconds now) const -> double {
    auto const found = link_speeds.find({source, target});
    if (found == link_speeds.end() || now - found->second.at > options.link_memory)
        return options.fetch_tokens_each_second;
    return found->second.rate;
}

auto Scheduler::record_fetch(
    std::string const& source, std::string const& target, std::int64_t tokens, Microseconds took, Microseconds now)
    -> void {
    if (took <= 0 || source.empty()) return;
    auto const before = link_rate(source, target, now);
    auto const seen = static_cast<double>(tokens) * 1'000'000.0 / static_cast<double>(took);
    if (link_speeds.size() >= 4'096) link_speeds.clear();
    link_speeds[{source, target}] = {tokens > 0 ? before * 0.5 + seen * 0.5 : before * 0.5, now};
}

auto Scheduler::plan_fetch(
    ReplicaState const& target, InferenceRequest const& inference, std::int64_t cached, Microseconds now) const
    -> FetchPlan {
    FetchPlan best;
    auto best_gain = 0.0;  // seconds saved over recomputing
    auto const consider = [&](std::string const& source, std::int64_t tokens) {
        if (tokens <= 0) return;
        auto const recompute = static_cast<double>(tokens) / options.recompute_tokens_each_second;
        auto const gain = recompute - static_cast<double>(tokens) / link_rate(source, target.entry.name, now);
        if (gain <= best_gain) return;
        best_gain = gain;
        best = {source, tokens, static_cast<Microseconds>(recompute * 1'000'000.0)};
    };
    for (auto const* peer : load_table.pool(inference.body.model)) {
        auto const& state = *peer;
        if (peer == &target || state.unreachable || !state.report) continue;
        if (state.report->weights != target.report->weights) continue;
        consider(state.entry.address, load_table.cached_tokens(state, inference) - cached);
    }
    if (best.source.empty() && !store_address.empty()) consider(store_address, inference.prefix_tokens - cached);
    return best;
}

// For prefixes of single parts: the peer or store with the longest cached prefix beyond the target's own, in the
// target's area if two are equal. Parts that a store does not have are also saved to it.
auto Scheduler::plan_parts(
    ReplicaState const& target, InferenceRequest const& inference, std::int64_t cached, Microseconds now) -> FetchPlan {
    FetchPlan best;
    auto best_in_area = false;
    auto const consider = [&](std::string const& source, std::string const& area, std::int64_t tokens) {
        auto const near = area == target.entry.area;
        if (tokens <= cached || tokens < best.tokens || (tokens == best.tokens && (best_in_area || !near))) return;
        best.source = source;
        best.tokens = tokens;
        best_in_area = near;
    };
    for (auto const* peer : load_table.pool(inference.body.model)) {
        auto const& state = *peer;
        if (!options.peer_moves || peer == &target || state.unreachable) continue;
        if (state.weights_hash != target.weights_hash || !state.report || state.report->changing) continue;
        consider(state.entry.address, state.entry.area, load_table.cached_tokens(state, inference));
    }
    // The request's own last part is not shared.
    auto const shared = inference.chain.empty() ? std::size_t{0} : inference.chain.size() - 1;
    auto shared_tokens = std::int64_t{0};
    for (auto index = std::size_t{0}; index < shared; ++index) shared_tokens += inference.body.prefix[index].tokens;
    // Everything prefilled is saved, the request's own part included: worth it only if most of it is shared.
    auto const worth_saving =
        shared_tokens >= options.least_saved && 2 * shared_tokens >= inference.prefix_tokens + inference.prompt_tokens;
    for (auto& [name, store] : stores) {
        if (!store.up) continue;
        auto tokens = std::int64_t{0};
        auto count = std::size_t{0};
        while (count < shared && store.parts.contains(inference.chain[count] ^ target.weights_hash))
            tokens += inference.body.prefix[count++].tokens;
        if (options.store_reads) consider(store.address, store.area, tokens);
        if (!options.store_writes || count == shared || !worth_saving) continue;
        std::erase_if(store.pending_saves, [&](auto const& item) { return now - item.second > options.saving_memory; });
        if (store.pending_saves.emplace(inference.chain[shared - 1] ^ target.weights_hash, now).second)
            best.save_to = store.address;
    }
    best.tokens = std::max<std::int64_t>(0, best.tokens - cached);
    return best;
}

}  // namespace dockrock

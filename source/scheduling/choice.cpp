// Choice of a replica for a request: the filters, then the least busy one. docs/design.md sections 9.3 and 9.7.
#include "scheduling/placement_cost.hpp"
#include "ticket/scheduler.hpp"

namespace dockrock {

namespace {

constexpr auto replica_filters = filter_names.size();

// Seed of the hash order of replicas: the same for requests that share a prefix, different for those without one.
auto spreading_seed(InferenceRequest const& inference, std::string const& node) -> std::uint64_t {
    if (!inference.chain.empty() || !inference.independent_parts)
        return inference.affinity != 0 ? inference.affinity : inference.number;
    return hash_text(node, inference.number);
}

auto most_frequent(std::array<std::int64_t, replica_filters> const& counts) -> Filter {
    return static_cast<Filter>(std::max_element(counts.begin(), counts.end()) - counts.begin());
}

}  // namespace

auto shared_prefix_tokens(InferenceRequest const& inference) -> std::int64_t {
    auto tokens = std::int64_t{0};
    for (auto index = std::size_t{0}; index + 1 < inference.body.prefix.size(); ++index)
        tokens += inference.body.prefix[index].tokens;
    return tokens;
}

// Replicas that pass all filters; if there are none, those that only fail the health check.
auto Scheduler::candidates(QueuedRequest& waiting, Microseconds now) -> std::vector<ReplicaState const*> {
    std::vector<ReplicaState const*> passed, failing;
    auto counts = std::array<std::int64_t, replica_filters>{};
    for (auto const* state : load_table.pool(waiting.inference.body.model)) {
        if (waiting.avoid.contains(state->entry.name)) continue;
        auto const result = load_table.check(*state, waiting.inference, now);
        ++filtered[static_cast<std::size_t>(result)];
        ++counts[static_cast<std::size_t>(result)];
        if (result == Filter::passed) passed.push_back(state);
        if (result == Filter::failing) failing.push_back(state);
    }
    if (passed.empty()) {
        waiting.blocking_filter = most_frequent(counts);
        return failing;
    }
    return passed;
}

auto Scheduler::choose(QueuedRequest& waiting, Microseconds now) -> ReplicaState const* {
    auto const found = candidates(waiting, now);
    if (found.empty()) return nullptr;
    auto const prompt = waiting.inference.prompt_tokens + waiting.inference.prefix_tokens;
    if (options.work_outstanding && prompt > 0) return least_work(found, waiting.inference, now);
    return least_requests(found, waiting.inference, now);
}

// Least running requests relative to capacity, compared in `load_steps` if set; ties are broken by the longest
// cached prefix, then by a hash.
auto Scheduler::least_requests(
    std::vector<ReplicaState const*> const& found, InferenceRequest const& inference, Microseconds now) const
    -> ReplicaState const* {
    auto const seed = options.work_outstanding ? spreading_seed(inference, load_table.self)
        : inference.affinity != 0              ? inference.affinity
                                               : inference.number;
    auto const steps = options.work_outstanding ? std::int64_t{0} : options.load_steps;
    ReplicaState const* best = nullptr;
    auto best_running = std::int64_t{0};
    auto best_cached = std::int64_t{0};
    auto best_hash = std::uint64_t{0};
    for (auto const* candidate : found) {
        auto const& state = *candidate;
        auto const running = load_table.running(state, now) + load_table.reserve(state, now);
        auto const cached = load_table.cached_tokens(state, inference);
        auto const hash = hash_text(state.entry.name, seed);
        auto better = best == nullptr;
        if (!better) {
            auto const left = steps > 0 ? running * steps / state.entry.capacity : running * best->entry.capacity;
            auto const right =
                steps > 0 ? best_running * steps / best->entry.capacity : best_running * state.entry.capacity;
            better = left < right ||
                (left == right && (cached > best_cached || (cached == best_cached && hash < best_hash)));
        }
        if (!better) continue;
        best = &state;
        best_running = running;
        best_cached = cached;
        best_hash = hash;
    }
    return best;
}

// The longest prefix cached by replicas of these weights, and the longest that a store has for them.
auto Scheduler::cached_prefixes(InferenceRequest const& inference, std::uint64_t weights_hash) const -> CachedPrefixes {
    auto prefixes = CachedPrefixes{weights_hash};
    for (auto const* state : load_table.pool(inference.body.model)) {
        if (state->weights_hash != weights_hash || state->unreachable || !state->report || state->report->changing)
            continue;
        prefixes.replicas = std::max(prefixes.replicas, load_table.cached_tokens(*state, inference));
    }
    for (auto const& [name, store] : stores) {
        if (!store.up || !options.store_reads) continue;
        auto tokens = std::int64_t{0};
        for (auto index = std::size_t{0}; index + 1 < inference.chain.size(); ++index) {
            if (!store.parts.contains(inference.chain[index] ^ weights_hash)) break;
            tokens += inference.body.prefix[index].tokens;
        }
        prefixes.stores = std::max(prefixes.stores, tokens);
    }
    return prefixes;
}

// Least work before the first token; ties are broken by the hash of the shared prefix.
auto Scheduler::least_work(
    std::vector<ReplicaState const*> const& found, InferenceRequest const& inference, Microseconds now) const
    -> ReplicaState const* {
    auto const seed = spreading_seed(inference, load_table.self);
    auto const by_hash = [&](auto const* left, auto const* right) {
        return hash_text(left->entry.name, seed) < hash_text(right->entry.name, seed);
    };
    auto const* home = *std::min_element(found.begin(), found.end(), by_hash);
    auto const rates =
        PlacementRates{prefill_rate(inference.body.model) / options.fetch_tokens_each_second, options.copy_cost};
    std::vector<CachedPrefixes> known;
    auto const prefixes_for = [&](std::uint64_t weights_hash) -> CachedPrefixes const& {
        for (auto const& prefixes : known)
            if (prefixes.weights_hash == weights_hash) return prefixes;
        return known.emplace_back(cached_prefixes(inference, weights_hash));
    };
    auto view = PlacementView();
    view.prompt = inference.prompt_tokens + inference.prefix_tokens;
    view.shared = shared_prefix_tokens(inference);
    ReplicaState const* best = nullptr;
    auto best_work = 0.0;
    for (auto const* state : found) {
        view.cached = load_table.cached_tokens(*state, inference);
        auto const& prefixes = prefixes_for(state->weights_hash);
        view.outstanding = load_table.unread(*state, now);
        view.best_cached = prefixes.replicas;
        view.movable = std::max(options.peer_moves ? prefixes.replicas : 0, prefixes.stores);
        view.queued = std::max<std::int64_t>(0, load_table.running(*state, now) + 1 - state->entry.capacity);
        view.home = !options.prefix_home || state == home;
        auto const work = work_before_first_token(view, rates);
        if (best != nullptr && (work > best_work || (work == best_work && !by_hash(state, best)))) continue;
        best = state;
        best_work = work;
    }
    return best;
}

// Prefill rate in tokens a second: the service's estimate if there is one, else the default.
auto Scheduler::prefill_rate(std::string const& model) const -> double {
    auto const found = options.observe_rates ? prefill_rates.find(model) : prefill_rates.end();
    auto const observed = found == prefill_rates.end() ? std::nullopt : found->second.observed();
    return observed.value_or(options.recompute_tokens_each_second);
}

auto Scheduler::first_output(Placement const& placement, InferenceRequest const& inference, Microseconds took) -> void {
    load_table.first_output(placement.replica, inference.number);
    // A request that waited behind other prompts is no sample of the prefill rate.
    if (placement.tokens_to_read > 0 && placement.outstanding == 0)
        prefill_rates[inference.body.model].add(placement.tokens_to_read, took);
}

}  // namespace dockrock

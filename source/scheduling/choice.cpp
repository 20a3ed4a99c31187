// Choice of a replica for a request: the filters, then the least busy one. docs/design.md sections 9.3 and 9.7.
#include "scheduling/placement_cost.hpp"
#include "ticket/granting.hpp"

namespace dockrock {

namespace {

constexpr auto replica_filters = filter_names.size();

// Seed of the hash order of replicas: the same for requests that share a prefix, different for those without one.
auto spreading_seed(Ticket const& ticket, std::string const& node) -> std::uint64_t {
    if (!ticket.chain.empty() || !ticket.independent_parts)
        return ticket.affinity != 0 ? ticket.affinity : ticket.number;
    return hash_text(node, ticket.number);
}

auto most_frequent(std::array<std::int64_t, replica_filters> const& counts) -> Filter {
    return static_cast<Filter>(std::max_element(counts.begin(), counts.end()) - counts.begin());
}

}  // namespace

auto shared_prefix_tokens(Ticket const& ticket) -> std::int64_t {
    auto tokens = std::int64_t{0};
    for (auto index = std::size_t{0}; index + 1 < ticket.body.prefix.size(); ++index)
        tokens += ticket.body.prefix[index].tokens;
    return tokens;
}

// Replicas that pass all filters; if there are none, those that only fail the health check.
auto Granting::candidates(Waiting& waiting, Microseconds now) -> std::vector<ReplicaState const*> {
    std::vector<ReplicaState const*> passed, failing;
    auto counts = std::array<std::int64_t, replica_filters>{};
    for (auto const* state : burden.pool(waiting.ticket.body.model)) {
        if (waiting.avoid.contains(state->entry.name)) continue;
        auto const result = burden.check(*state, waiting.ticket, now);
        ++filtered[static_cast<std::size_t>(result)];
        ++counts[static_cast<std::size_t>(result)];
        if (result == Filter::passed) passed.push_back(state);
        if (result == Filter::failing) failing.push_back(state);
    }
    if (passed.empty()) {
        waiting.held_by = most_frequent(counts);
        return failing;
    }
    return passed;
}

auto Granting::choose(Waiting& waiting, Microseconds now) -> ReplicaState const* {
    auto const found = candidates(waiting, now);
    if (found.empty()) return nullptr;
    auto const prompt = waiting.ticket.prompt_tokens + waiting.ticket.prefix_tokens;
    if (options.work_outstanding && prompt > 0) return least_work(found, waiting.ticket, now);
    return least_requests(found, waiting.ticket, now);
}

// Least running requests relative to capacity, compared in `load_steps` if set; ties are broken by the longest
// cached prefix, then by a hash.
auto Granting::least_requests(std::vector<ReplicaState const*> const& found, Ticket const& ticket, Microseconds now)
    const -> ReplicaState const* {
    auto const seed = options.work_outstanding ? spreading_seed(ticket, burden.self)
        : ticket.affinity != 0                 ? ticket.affinity
                                               : ticket.number;
    auto const steps = options.work_outstanding ? std::int64_t{0} : options.load_steps;
    ReplicaState const* best = nullptr;
    auto best_running = std::int64_t{0};
    auto best_kept = std::int64_t{0};
    auto best_hash = std::uint64_t{0};
    for (auto const* candidate : found) {
        auto const& state = *candidate;
        auto const running = burden.running(state, now) + burden.reserve(state, now);
        auto const kept = burden.kept_tokens(state, ticket);
        auto const hash = hash_text(state.entry.name, seed);
        auto better = best == nullptr;
        if (!better) {
            auto const left = steps > 0 ? running * steps / state.entry.capacity : running * best->entry.capacity;
            auto const right =
                steps > 0 ? best_running * steps / best->entry.capacity : best_running * state.entry.capacity;
            better = left < right || (left == right && (kept > best_kept || (kept == best_kept && hash < best_hash)));
        }
        if (!better) continue;
        best = &state;
        best_running = running;
        best_kept = kept;
        best_hash = hash;
    }
    return best;
}

// The longest prefix cached by replicas of these weights, and the longest that a store has for them.
auto Granting::kept_runs(Ticket const& ticket, std::uint64_t weights_mark) const -> KeptRuns {
    auto runs = KeptRuns{weights_mark};
    for (auto const* state : burden.pool(ticket.body.model)) {
        if (state->weights_mark != weights_mark || state->unreachable || !state->report || state->report->changing)
            continue;
        runs.replicas = std::max(runs.replicas, burden.kept_tokens(*state, ticket));
    }
    for (auto const& [name, store] : stores) {
        if (!store.up || !options.store_reads) continue;
        auto tokens = std::int64_t{0};
        for (auto index = std::size_t{0}; index + 1 < ticket.chain.size(); ++index) {
            if (!store.parts.contains(ticket.chain[index] ^ weights_mark)) break;
            tokens += ticket.body.prefix[index].tokens;
        }
        runs.stores = std::max(runs.stores, tokens);
    }
    return runs;
}

// Least work before the first token; ties are broken by the hash of the shared prefix.
auto Granting::least_work(std::vector<ReplicaState const*> const& found, Ticket const& ticket, Microseconds now) const
    -> ReplicaState const* {
    auto const seed = spreading_seed(ticket, burden.self);
    auto const by_hash = [&](auto const* left, auto const* right) {
        return hash_text(left->entry.name, seed) < hash_text(right->entry.name, seed);
    };
    auto const* home = *std::min_element(found.begin(), found.end(), by_hash);
    auto const rates =
        PlacementRates{prefill_rate(ticket.body.model) / options.fetch_tokens_each_second, options.copy_cost};
    std::vector<KeptRuns> known;
    auto const runs_for = [&](std::uint64_t mark) -> KeptRuns const& {
        for (auto const& runs : known)
            if (runs.weights_mark == mark) return runs;
        return known.emplace_back(kept_runs(ticket, mark));
    };
    auto view = PlacementView();
    view.prompt = ticket.prompt_tokens + ticket.prefix_tokens;
    view.shared = shared_prefix_tokens(ticket);
    ReplicaState const* best = nullptr;
    auto best_work = 0.0;
    for (auto const* state : found) {
        view.kept = burden.kept_tokens(*state, ticket);
        auto const& runs = runs_for(state->weights_mark);
        view.outstanding = burden.unread(*state, now);
        view.best_kept = runs.replicas;
        view.movable = std::max(options.peer_moves ? runs.replicas : 0, runs.stores);
        view.queued = std::max<std::int64_t>(0, burden.running(*state, now) + 1 - state->entry.capacity);
        view.home = !options.prefix_home || state == home;
        auto const work = work_before_first_token(view, rates);
        if (best != nullptr && (work > best_work || (work == best_work && !by_hash(state, best)))) continue;
        best = state;
        best_work = work;
    }
    return best;
}

// Prefill rate in tokens a second: the service's estimate if there is one, else the default.
auto Granting::prefill_rate(std::string const& model) const -> double {
    auto const found = options.observe_rates ? prefill_rates.find(model) : prefill_rates.end();
    auto const observed = found == prefill_rates.end() ? std::nullopt : found->second.observed();
    return observed.value_or(options.recompute_tokens_each_second);
}

auto Granting::first_output(Placement const& placement, Ticket const& ticket, Microseconds took) -> void {
    burden.first_output(placement.replica, ticket.number);
    // A request that waited behind other prompts is no sample of the prefill rate.
    if (placement.tokens_to_read > 0 && placement.outstanding == 0)
        prefill_rates[ticket.body.model].add(placement.tokens_to_read, took);
}

}  // namespace dockrock

#include "ticket/scheduler.hpp"

#include <algorithm>
#include <cmath>

namespace dockrock {

namespace {
auto decayed(double amount, Microseconds age, Microseconds half_life) -> double {
    return amount * std::exp2(-static_cast<double>(age) / static_cast<double>(half_life));
}
}  // namespace

auto Scheduler::waiting_count() const -> std::size_t {
    auto count = std::size_t{0};
    for (auto const& [model, queue] : queues) count += queue.waiting.size();
    return count;
}

auto Scheduler::retry_after(ModelQueue const& queue) const -> std::int64_t {
    if (queue.drain_rate <= 0.01) return queue.waiting.empty() ? 1 : 5;
    auto const seconds = static_cast<double>(queue.waiting.size()) / queue.drain_rate;
    return std::clamp<std::int64_t>(static_cast<std::int64_t>(std::ceil(seconds)), 1, 30);
}

auto Scheduler::shed(Decisions& decisions, ModelQueue const& queue, std::uint64_t request_number, ShedReason reason)
    -> void {
    ++shed_counts[static_cast<std::size_t>(reason)];
    decisions.sheds.push_back({request_number, reason, retry_after(queue)});
}

auto Scheduler::expected_service(ModelQueue const& queue, InferenceRequest const& inference) const -> Microseconds {
    // Half of the average service time, so that only requests without a real chance are shed (design 9.5).
    return static_cast<Microseconds>(queue.service_each_token * static_cast<double>(inference.body.max_tokens) * 0.5);
}

auto Scheduler::enqueue(InferenceRequest const& inference, Microseconds now, Decisions& decisions) -> void {
    if (!inference.in_retry_budget) budget.deposit();
    auto& queue = queues[inference.body.model];
    auto const expected = expected_service(queue, inference);
    if (queue.waiting.size() > options.depth && queue.drain_rate > 0.01) {
        auto ahead = std::size_t{0};
        auto const mine = QueuedRequest{inference, now, {}, 0};
        for (auto const& other : queue.waiting)
            if (score(other, now) >= score(mine, now)) ++ahead;
        auto const wait = static_cast<Microseconds>(static_cast<double>(ahead) / queue.drain_rate * 1'000'000.0);
        if (now + wait + expected > inference.deadline)
            return shed(decisions, queue, inference.number, ShedReason::deadline);
    }
    if (queue.waiting.size() >= queue_limit) {
        auto const lowest =
            std::min_element(queue.waiting.begin(), queue.waiting.end(), [&](auto const& left, auto const& right) {
                return std::pair(left.inference.rank, score(left, now)) <
                    std::pair(right.inference.rank, score(right, now));
            });
        if (lowest->inference.rank >= inference.rank)
            return shed(decisions, queue, inference.number, ShedReason::buffer_full);
        shed(decisions, queue, lowest->inference.number, ShedReason::outranked);
        queue.waiting.erase(lowest);
    }
    queue.waiting.push_back({inference, now, {}, 0});
}

// Only for a request that may be sent once more (see retry_decision.hpp). It waits up to `budget_wait_limit` for the
// retry budget, and is shed if the budget can't cover it by then (design 10.4).
auto Scheduler::enqueue_retry(InferenceRequest const& inference, std::string const& avoid, Microseconds now) -> void {
    queues[inference.body.model].waiting.push_back({inference, inference.arrived_at, {avoid}, now});
}

auto Scheduler::withdraw(std::uint64_t request_number) -> bool {
    for (auto& [model, queue] : queues)
        if (std::erase_if(queue.waiting, [&](auto const& item) { return item.inference.number == request_number; }) > 0)
            return true;
    return false;
}

auto Scheduler::share_factor(std::string const& tenant, int share, Microseconds now) const -> double {
    auto all_usage = 0.0;
    auto all_shares = 0.0;
    auto mine = 0.0;
    auto counted = false;
    for (auto const& [path, item] : usage) {
        auto const amount = decayed(item.amount, now - item.at, options.share_half_life);
        if (amount < 1.0 && path != tenant) continue;
        all_usage += amount;
        all_shares += item.share;
        if (path == tenant) {
            mine = amount;
            counted = true;
        }
    }
    if (!counted) all_shares += share;
    if (all_usage < 1.0) return 1.0;
    auto const fair = static_cast<double>(share) / all_shares;
    auto const used = std::max(mine / all_usage, 0.001);
    return std::clamp(fair / used, 1.0 / options.share_bound, options.share_bound);
}

// The paper's ratio (declared + wait) / declared, with max_tokens as the declared size, weighted within bounds by
// the tenant's fair share and rank (design 9.2).
auto Scheduler::score(QueuedRequest const& waiting, Microseconds now) const -> double {
    auto const declared = static_cast<double>(std::max<std::int64_t>(1, waiting.inference.body.max_tokens));
    auto const wait = static_cast<double>(now - waiting.since) / 1'000'000.0 * options.wait_token_rate;
    auto const rank = 1.0 + options.rank_weight * static_cast<double>(waiting.inference.rank) / 9.0;
    return (declared + wait) / declared * share_factor(waiting.inference.tenant_path, waiting.inference.share, now) *
        rank;
}

// Reserves a place for the request on the replica and records why it was chosen.
auto Scheduler::place(QueuedRequest const& waiting, ReplicaState const& state, Microseconds now) -> Placement {
    auto const& inference = waiting.inference;
    auto placement = Placement{
        inference.number, state.entry.name, state.entry.address, state.report->weights, state.report->incarnation};
    placement.cached_tokens = load_table.cached_tokens(state, inference);
    placement.fetch = inference.independent_parts ? plan_parts(state, inference, placement.cached_tokens, now)
                                                  : plan_fetch(state, inference, placement.cached_tokens, now);
    placement.tokens_to_read = std::max<std::int64_t>(
        0, inference.prompt_tokens + inference.prefix_tokens - placement.cached_tokens - placement.fetch.tokens);
    placement.short_prompt = placement.tokens_to_read > 0 && placement.tokens_to_read <= options.short_prompt;
    placement.outstanding = load_table.unread(state, now);
    placement.running = load_table.running(state, now);
    placement.best_cached = cached_prefixes(inference, state.weights_hash).replicas;
    placement.blocking_filter = waiting.blocking_filter;
    auto const memory = inference.declared() - placement.cached_tokens;
    load_table.place(placement.replica, inference, memory, now, placement.tokens_to_read);
    auto& used = usage[inference.tenant_path];
    used = {
        decayed(used.amount, now - used.at, options.share_half_life) + static_cast<double>(inference.declared()), now,
        inference.share};
    ++placed_count;
    return placement;
}

auto Scheduler::schedule_model(std::string const& model, ModelQueue& queue, Microseconds now, Decisions& decisions)
    -> void {
    auto const& pool = load_table.pool(model);
    auto const any_replica = std::any_of(
        pool.begin(), pool.end(), [](auto const* state) { return !state->entry.drain && !state->unreachable; });
    if (any_replica) queue.empty_pool_since = 0;
    else if (queue.empty_pool_since == 0) queue.empty_pool_since = now;
    std::vector<std::pair<double, std::size_t>> order;
    for (auto index = std::size_t{0}; index < queue.waiting.size(); ++index)
        if (queue.waiting[index].awaiting_budget_since == 0 || budget.any())
            order.emplace_back(-score(queue.waiting[index], now), index);
    auto const depth = std::min(options.depth, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(depth), order.end());
    std::set<std::uint64_t> gone;
    for (auto position = std::size_t{0}; position < depth; ++position) {  // the bounded search of the paper
        auto& waiting = queue.waiting[order[position].second];
        auto const awaiting_budget = waiting.awaiting_budget_since != 0;
        if (awaiting_budget && !budget.any()) continue;
        auto const* found = choose(waiting, now);
        if (found == nullptr) continue;
        if (awaiting_budget) {
            budget.take();
            ++extra_tries;
        }
        decisions.placements.push_back(place(waiting, *found, now));
        gone.insert(waiting.inference.number);
    }
    if (!gone.empty()) {
        auto const seconds = std::max(0.001, static_cast<double>(now - queue.drained_at) / 1'000'000.0);
        auto const rate = static_cast<double>(gone.size()) / seconds;
        auto const weight = std::min(1.0, seconds);
        queue.drain_rate = queue.drained_at == 0 ? rate : queue.drain_rate * (1.0 - weight) + rate * weight;
        queue.drained_at = now;
    }
    std::erase_if(queue.waiting, [&](auto const& item) {
        if (gone.contains(item.inference.number)) return true;
        if (now + expected_service(queue, item.inference) >= item.inference.deadline) {
            shed(decisions, queue, item.inference.number, ShedReason::deadline);
            return true;
        }
        if (item.awaiting_budget_since != 0 && !budget.any() &&
            now - item.awaiting_budget_since > options.budget_wait_limit) {
            shed(decisions, queue, item.inference.number, ShedReason::budget);
            return true;
        }
        if (queue.empty_pool_since != 0 && now - queue.empty_pool_since > options.empty_pool_limit) {
            shed(decisions, queue, item.inference.number, ShedReason::no_replica);
            return true;
        }
        return false;
    });
}

auto Scheduler::schedule(Microseconds now, Microseconds proof_age, Decisions& decisions) -> void {
    if (proof_age > proof_shed_limit) {
        for (auto& [model, queue] : queues) {
            for (auto const& item : queue.waiting) shed(decisions, queue, item.inference.number, ShedReason::not_fresh);
            queue.waiting.clear();
        }
        return;
    }
    if (proof_age > proof_limit) return;  // requests stay queued; running ones go on
    for (auto& [model, queue] : queues)
        if (!queue.waiting.empty()) schedule_model(model, queue, now, decisions);
}

auto Scheduler::finished(
    std::string const& replica, InferenceRequest const& inference, Microseconds service, Microseconds now,
    bool answered) -> void {
    (void)now;
    load_table.release(replica, inference.number);
    if (!answered) return;
    auto& queue = queues[inference.body.model];
    auto const each =
        static_cast<double>(service) / static_cast<double>(std::max<std::int64_t>(1, inference.body.max_tokens));
    queue.service_each_token = queue.service_each_token == 0.0 ? each : queue.service_each_token * 0.9 + each * 0.1;
}

}  // namespace dockrock

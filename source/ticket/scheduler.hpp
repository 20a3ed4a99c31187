#pragma once
// The scheduler: queues of requests for each model, and the placement of queued requests on replicas, as in the
// paper that the design follows. docs/design.md section 9.
#include <algorithm>
#include <array>
#include <unordered_set>

#include "scheduling/prefill_rate.hpp"
#include "ticket/replica_load_table.hpp"

namespace dockrock {

// Default age limits of the proof that the configuration is current (design 8.3).
inline constexpr Microseconds proof_limit = 1'500 * one_millisecond;
inline constexpr Microseconds proof_shed_limit = 4 * one_second;
inline constexpr Microseconds refusal_limit = 1'800 * one_millisecond;

// Where a replica fetches missing parts of a prefix cache from, before it runs a request.
struct FetchPlan {
    std::string source;  // address of a peer replica or of the store; empty: recompute
    std::int64_t tokens = 0;
    Microseconds limit = 0;
    std::string save_to;  // store to which the replica writes the prefilled parts; empty: none
};
// What is known of a store of cached prefix parts, from its events.
struct PrefixStore {
    std::string address;
    std::string area;
    bool up = false;
    std::unordered_set<std::uint64_t> parts;              // part ^ weights hash
    std::map<std::uint64_t, Microseconds> pending_saves;  // recently sent there, no event for it yet
};
// The decision to run a request on a replica.
struct Placement {
    std::uint64_t request_number = 0;
    std::string replica;
    std::string address;
    std::string weights;
    std::string incarnation;
    std::int64_t cached_tokens = 0;
    FetchPlan fetch;
    // State at the time of the decision, for logs and estimates.
    std::int64_t tokens_to_read = 0;        // prompt tokens to prefill: neither cached there nor fetched
    std::int64_t outstanding = 0;           // tokens of other prompts to be prefilled there first
    std::int64_t running = 0;               // requests there
    std::int64_t best_cached = 0;           // longest prefix cached by any replica of these weights, in tokens
    std::optional<Filter> blocking_filter;  // the filter that last kept it queued
    bool short_prompt = false;              // prefill so short that the request goes first at its replica
};
// The longest cached prefixes of a prompt for one version of the weights, in tokens.
struct CachedPrefixes {
    std::uint64_t weights_hash = 0;
    std::int64_t replicas = 0;
    std::int64_t stores = 0;
};
// Tokens of the prefix that other requests may share: all parts but the last.
auto shared_prefix_tokens(InferenceRequest const& inference) -> std::int64_t;
enum class ShedReason : int { buffer_full, deadline, not_fresh, no_replica, key_gone, outranked, budget };
inline constexpr auto shed_names = std::to_array<std::string_view>(
    {"buffer-full", "deadline", "not-fresh", "no-replica", "key-gone", "outranked", "extra-tries-spent"});
// The decision to drop a request from its queue without placing it.
struct Shed {
    std::uint64_t request_number = 0;
    ShedReason reason = ShedReason::deadline;
    std::int64_t retry_after = 1;  // whole seconds
};
struct Decisions {
    std::vector<Placement> placements;
    std::vector<Shed> sheds;
};

// Token bucket for retries: each request adds a fifth of a retry. A node stores at most one, so that a fleet of
// about ten nodes has a burst of about ten retries (design 10.4).
struct RetryBudget {
    double available = 1.0;
    double capacity = 1.0;
    double each_request = 0.2;
    auto deposit() -> void { available = std::min(capacity, available + each_request); }
    auto any() const -> bool { return available >= 1.0; }
    auto take() -> void { available -= 1.0; }
};

// A request in the queue of its model.
struct QueuedRequest {
    InferenceRequest inference;
    Microseconds since = 0;
    std::set<std::string> avoid;             // replicas that refused it or failed
    Microseconds awaiting_budget_since = 0;  // a retry that waits for the retry budget since then; 0: none
    std::optional<Filter> blocking_filter;
};
// The queue of one model and its measured rates.
struct ModelQueue {
    std::vector<QueuedRequest> waiting;
    double drain_rate = 0.0;  // requests placed per second, while any are queued
    Microseconds drained_at = 0;
    double service_each_token = 0.0;  // microseconds per token of max_tokens
    Microseconds empty_pool_since = 0;
};

struct Scheduler {
    SchedulingOptions options;
    ReplicaLoadTable load_table;
    std::map<std::string, ModelQueue> queues;
    std::size_t queue_limit = 256;
    RetryBudget budget;
    Microseconds proof_limit = dockrock::proof_limit;            // older: nothing is placed
    Microseconds proof_shed_limit = dockrock::proof_shed_limit;  // older: all queued requests are shed
    std::string store_address;
    std::map<std::string, PrefixStore> stores;  // by the service's name
    struct LinkSpeed {
        double rate = 0.0;  // tokens a second; a fetch without result halves it
        Microseconds at = 0;
    };
    std::map<std::pair<std::string, std::string>, LinkSpeed> link_speeds;  // source address, target replica
    struct Usage {
        double amount = 0.0;
        Microseconds at = 0;
        int share = 1;
    };
    std::map<std::string, Usage> usage;                // by tenant path, decayed
    std::map<std::string, PrefillRate> prefill_rates;  // by model
    std::array<std::uint64_t, filter_names.size()> filtered{};
    std::array<std::uint64_t, shed_names.size()> shed_counts{};
    std::uint64_t placed_count = 0;
    std::uint64_t extra_tries = 0;

    auto set_options(SchedulingOptions const& given) -> void { options = load_table.options = given; }
    // Queues a request. Sheds it if its deadline can't be met; if the queue is full, sheds it or one of lower rank.
    auto enqueue(InferenceRequest const& inference, Microseconds now, Decisions& decisions) -> void;
    // Queues a request whose try ended without its having run, or that may run again. `avoid`: that try's replica.
    auto enqueue_retry(InferenceRequest const& inference, std::string const& avoid, Microseconds now) -> void;
    // A fetch of prefix parts ended after `took`; `tokens`: what it brought.
    auto record_fetch(
        std::string const& source, std::string const& target, std::int64_t tokens, Microseconds took, Microseconds now)
        -> void;
    // Removes a queued request; returns whether there was one.
    auto withdraw(std::uint64_t request_number) -> bool;
    // Places or sheds queued requests. `proof_age`: time since the configuration was last proved current.
    auto schedule(Microseconds now, Microseconds proof_age, Decisions& decisions) -> void;
    // A request ended at its replica: releases its place. `service`: time from sending to the end.
    auto finished(
        std::string const& replica, InferenceRequest const& inference, Microseconds service, Microseconds now,
        bool answered) -> void;
    // The first output came `took` after the request was sent: its prefill is over.
    auto first_output(Placement const& placement, InferenceRequest const& inference, Microseconds took) -> void;
    auto prefill_rate(std::string const& model) const -> double;
    auto waiting_count() const -> std::size_t;
    // Queued requests are placed in falling order of this.
    auto score(QueuedRequest const& waiting, Microseconds now) const -> double;
    auto retry_after(ModelQueue const& queue) const -> std::int64_t;
    auto shed(Decisions& decisions, ModelQueue const& queue, std::uint64_t request_number, ShedReason reason) -> void;

   private:
    auto schedule_model(std::string const& model, ModelQueue& queue, Microseconds now, Decisions& decisions) -> void;
    auto candidates(QueuedRequest& waiting, Microseconds now) -> std::vector<ReplicaState const*>;
    auto choose(QueuedRequest& waiting, Microseconds now) -> ReplicaState const*;
    auto least_requests(
        std::vector<ReplicaState const*> const& found, InferenceRequest const& inference, Microseconds now) const
        -> ReplicaState const*;
    auto least_work(std::vector<ReplicaState const*> const& found, InferenceRequest const& inference, Microseconds now)
        const -> ReplicaState const*;
    auto cached_prefixes(InferenceRequest const& inference, std::uint64_t weights_hash) const -> CachedPrefixes;
    auto place(QueuedRequest const& waiting, ReplicaState const& state, Microseconds now) -> Placement;
    auto plan_parts(
        ReplicaState const& target, InferenceRequest const& inference, std::int64_t cached, Microseconds now)
        -> FetchPlan;
    auto plan_fetch(
        ReplicaState const& target, InferenceRequest const& inference, std::int64_t cached, Microseconds now) const
        -> FetchPlan;
    auto link_rate(std::string const& source, std::string const& target, Microseconds now) const -> double;
    auto share_factor(std::string const& tenant, int share, Microseconds now) const -> double;
    auto expected_service(ModelQueue const& queue, InferenceRequest const& inference) const -> Microseconds;
};

}  // namespace dockrock

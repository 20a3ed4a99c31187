#pragma once
// Granting entry: the waiting buffer and the match of tickets to replicas, by
// the design of the paper. docs/design.md section 9.
#include <algorithm>
#include <array>
#include <unordered_set>

#include "scheduling/reading_rate.hpp"
#include "ticket/replica_load_table.hpp"

namespace dockrock {

// Where nothing else is set (design 8.3).
inline constexpr Microseconds proof_limit = 1'500 * one_millisecond;
inline constexpr Microseconds proof_shed_limit = 4 * one_second;
inline constexpr Microseconds refusal_limit = 1'800 * one_millisecond;

struct FetchPlan {
    std::string source;  // address of a peer replica or of the store; empty: recompute
    std::int64_t tokens = 0;
    Microseconds limit = 0;
    std::string save_at;  // a store that the parts read are sent to; empty: none
};
// A store of kept parts, followed by its events.
struct PartsStore {
    std::string address;
    std::string area;
    bool up = false;
    std::unordered_set<std::uint64_t> parts;       // by part and weights
    std::map<std::uint64_t, Microseconds> saving;  // lately sent there, not told of yet
};
struct Placement {
    std::uint64_t request_number = 0;
    std::string replica;
    std::string address;
    std::string weights;
    std::string incarnation;
    std::int64_t cached_tokens = 0;
    FetchPlan fetch;
    // What was known when it was chosen, for logs and estimates.
    std::int64_t tokens_to_read = 0;  // of its prompt: neither kept there nor moved
    std::int64_t outstanding = 0;     // tokens of other prompts to be read there first
    std::int64_t running = 0;         // requests there
    std::int64_t best_cached = 0;     // longest run that any replica of these weights kept
    std::optional<Filter> held_by;    // the filter that made it wait last
    bool short_prompt = false;        // so little to read that it goes before other requests
};
// The longest leading runs of a prompt that are kept under some weights, in tokens.
struct CachedPrefixes {
    std::uint64_t weights_hash = 0;
    std::int64_t replicas = 0;
    std::int64_t stores = 0;
};
// Tokens of a prompt that other requests may ask for again: all parts but the last.
auto shared_run(InferenceRequest const& inference) -> std::int64_t;
enum class ShedReason : int { buffer_full, deadline, not_fresh, no_replica, key_gone, outranked, budget };
inline constexpr auto shed_names = std::to_array<std::string_view>(
    {"buffer-full", "deadline", "not-fresh", "no-replica", "key-gone", "outranked", "extra-tries-spent"});
struct Shed {
    std::uint64_t request_number = 0;
    ShedReason reason = ShedReason::deadline;
    std::int64_t retry_after = 1;  // whole seconds
};
struct Decisions {
    std::vector<Placement> placements;
    std::vector<Shed> sheds;
};

// Extra tries: a fifth of a try for each ticket. The store is one for each node,
// so that a fleet of about ten has a slack of about ten (design 10.4).
struct RetryBudget {
    double stored = 1.0;
    double most = 1.0;
    double each_request = 0.2;
    auto deposit() -> void { stored = std::min(most, stored + each_request); }
    auto any() const -> bool { return stored >= 1.0; }
    auto take() -> void { stored -= 1.0; }
};

struct QueuedRequest {
    InferenceRequest inference;
    Microseconds since = 0;
    std::set<std::string> avoid;  // replicas that refused it
    Microseconds owes_since = 0;  // an extra try that the budget has still to pay
    std::optional<Filter> held_by;
};
struct ModelQueue {
    std::vector<QueuedRequest> waiting;
    double drain_rate = 0.0;  // tickets each second, while any wait
    Microseconds drained_at = 0;
    double service_each_token = 0.0;  // microseconds
    Microseconds empty_pool_since = 0;
};

struct Scheduler {
    SchedulingOptions options;
    ReplicaLoadTable load_table;
    std::map<std::string, ModelQueue> queues;
    std::size_t buffer_length = 256;
    RetryBudget budget;
    Microseconds proof_limit = dockrock::proof_limit;            // older: no new entry is granted
    Microseconds proof_shed_limit = dockrock::proof_shed_limit;  // older: tickets are shed at once
    std::string store_address;
    std::map<std::string, PartsStore> stores;  // by the service's name
    struct LinkSpeed {
        double rate = 0.0;  // tokens a second; a fetch that brought nothing halves it
        Microseconds at = 0;
    };
    std::map<std::pair<std::string, std::string>, LinkSpeed> link_speeds;  // source's address, receiving replica
    struct Usage {
        double amount = 0.0;
        Microseconds at = 0;
        int share = 1;
    };
    std::map<std::string, Usage> usage;                // by tenant path, decayed
    std::map<std::string, ReadingRate> reading_rates;  // by model
    std::array<std::uint64_t, filter_names.size()> filtered{};
    std::array<std::uint64_t, shed_names.size()> shed_counts{};
    std::uint64_t placed_count = 0;
    std::uint64_t extra_tries = 0;

    auto set_options(SchedulingOptions const& given) -> void { options = load_table.options = given; }
    auto enqueue(InferenceRequest const& inference, Microseconds now, Decisions& decisions) -> void;
    auto enqueue_retry(InferenceRequest const& inference, std::string const& avoid, Microseconds now) -> void;
    auto fetched(
        std::string const& source, std::string const& target, std::int64_t tokens, Microseconds took, Microseconds now)
        -> void;
    auto withdraw(std::uint64_t request_number) -> bool;
    auto schedule(Microseconds now, Microseconds proof_age, Decisions& decisions) -> void;
    auto finished(
        std::string const& replica, InferenceRequest const& inference, Microseconds service, Microseconds now,
        bool answered) -> void;
    // The first output came `took` after the request was sent: its prompt has been read.
    auto first_output(Placement const& placement, InferenceRequest const& inference, Microseconds took) -> void;
    auto reading_rate(std::string const& model) const -> double;
    auto waiting_count() const -> std::size_t;
    auto score(QueuedRequest const& waiting, Microseconds now) const -> double;
    auto retry_after(ModelQueue const& buffer) const -> std::int64_t;
    auto shed(Decisions& decisions, ModelQueue const& buffer, std::uint64_t request_number, ShedReason reason) -> void;

   private:
    auto schedule_model(std::string const& model, ModelQueue& buffer, Microseconds now, Decisions& decisions) -> void;
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
    auto expected_service(ModelQueue const& buffer, InferenceRequest const& inference) const -> Microseconds;
};

}  // namespace dockrock

#pragma once
// Burden of the replicas, derived: own placements, digests of other admitting
// nodes, late memory reports. docs/design.md section 9.3.
#include <deque>
#include <set>
#include <unordered_map>

#include "base/json_structs.hpp"
#include "control/load.hpp"
#include "scheduling/options.hpp"
#include "scheduling/replica_health.hpp"
#include "ticket/inference_request.hpp"

namespace dockrock {

struct ReplicaEntry {
    std::string name;
    std::string address;
    std::string model;
    std::string area;
    std::int64_t capacity = 1;
    std::int64_t memory = 0;
    bool drain = false;
    std::map<std::string, std::int64_t> weights;  // version by model, where the list tells it
};
struct ServiceEntry {
    std::string address;
};
struct ReplicaList {
    std::uint64_t sequence = 0;
    std::vector<ReplicaEntry> replicas;
    std::optional<ServiceEntry> application;
    std::optional<ServiceEntry> store;
};
struct PrefixEvent {
    std::uint64_t number = 0;
    std::string kind;  // "kept", "dropped" or "cleared"
    std::string chain;
};
struct ReplicaReport {
    std::string incarnation;
    std::string weights;
    bool changing = false;
    std::int64_t free_memory = 0;
    std::uint64_t fence = 0;
    std::uint64_t first_event = 0;  // number of the first event told here
    std::uint64_t next_event = 0;
    std::vector<PrefixEvent> events;
};

enum class Filter : int { available, reachable, busy, memory, capacity, weights, failing, passed };
inline constexpr auto filter_names = std::to_array<std::string_view>(
    {"available", "reachable", "busy", "memory", "capacity", "weights", "failing", "passed"});

struct ReplicaLoad {
    std::int64_t count = 0;
    std::int64_t slots = 0;
    std::int64_t memory = 0;
    std::int64_t recent = 0;  // placed in the second before the digest
    std::int64_t unread = 0;  // prompt tokens placed and not read yet
    std::int64_t ended = 0;   // outcomes within their window
    std::int64_t failed = 0;
};

struct ReplicaState {
    ReplicaEntry entry;
    struct Placed {
        std::int64_t slots = 1;
        std::int64_t memory = 0;
        Microseconds at = 0;
        std::int64_t unread = 0;  // prompt tokens that the replica has still to read
    };
    struct Outcome {
        Microseconds at = 0;
        bool failed = false;
    };
    std::map<std::uint64_t, Placed> placed;
    std::int64_t placed_slots = 0;  // sums over `placed`, and over what came since the report was asked for
    std::int64_t placed_memory = 0;
    std::int64_t placed_since = 0;
    std::int64_t placed_unread = 0;
    std::deque<Outcome> outcomes;  // of own tries, within their window
    ReplicaHealth health;
    std::vector<Microseconds> recent;        // times of own placements, last second
    std::int64_t unreported_placements = 0;  // own placements since the last digest
    Microseconds paused_until = 0;           // it refused for want of room
    std::optional<ReplicaReport> report;
    Microseconds reported_at = 0;  // when the report was asked for
    Microseconds unreachable_until = 0;
    bool unreachable = false;
    std::set<std::uint64_t> cached;  // prefix chains, under the reported weights
    bool cache_unknown = true;
    std::unordered_map<std::uint64_t, std::uint64_t> parts;  // kept single parts, by part and weights -> weights
    std::uint64_t weights_hash = 0;                          // hash of the weights it holds now
    std::uint64_t next_event = 0;

    // What other nodes' digests say of this replica, kept here so that no
    // placement looks through the digests (design 9.4).
    struct RemoteLoad {
        std::uint64_t node = 0;   // number of the digest's node
        std::uint64_t order = 0;  // of that node for this replica's last places
        Microseconds at = 0;
        std::int64_t slots = 0;
        std::int64_t memory = 0;
        std::int64_t recent = 0;
        std::int64_t unreported = 0;  // memory that a report from before may not show
        std::int64_t unread = 0;
        std::int64_t ended = 0;
        std::int64_t failed = 0;
    };
    std::vector<RemoteLoad> remote;
    std::int64_t remote_slots = 0;  // sums over `remote`
    std::int64_t remote_memory = 0;
    std::int64_t remote_unread = 0;
    std::int64_t remote_unreported = 0;  // of those told since the report was asked for
    Microseconds remote_oldest = 0;      // none of `remote` is older; brought up now and then
    std::uint64_t seed = 0;              // hash of its name
    Load summed;                         // what a relay says of all others together (design 9.8)
    // Active nodes whose order is below `orders_mine`; counted anew where the set of them changed.
    mutable std::int64_t orders_below = 0;
    mutable std::uint64_t orders_mine = 0;
    mutable std::uint64_t orders_known = 0;

    auto take_away(std::uint64_t request_number) -> void;
    auto count_remote(RemoteLoad const& item, std::int64_t sign) -> void;
    auto sum_remote() -> void;
};

// A relay's word, read: a whole sum or what makes one of the sum held.
struct LoadSumUpdate {
    std::uint64_t number = 0;
    std::uint64_t base = 0;
    std::uint64_t echo = 0;
    std::int64_t echo_age = 0;  // milliseconds
    std::int64_t nodes = 0;
    std::string_view body;
};

struct ReplicaLoadTable {
    SchedulingOptions options;
    std::string self;
    std::map<std::string, ReplicaState> replicas;
    std::map<std::string, std::vector<ReplicaState const*>, std::less<>> pools;  // by model, in the order of names
    struct Digest {
        std::uint64_t node = 0;  // stands for the node's name in ReplicaState::RemoteLoad
        std::uint64_t number = 0;
        Microseconds at = 0;
        std::map<std::string, ReplicaLoad> replicas;
    };
    std::map<std::string, Digest> others;
    std::int64_t others_active = 0;  // whose digest names a replica
    Microseconds others_oldest = 0;  // none of these is older
    Microseconds swept_at = 0;
    std::uint64_t active_changes = 1;  // counts changes of the set of these
    std::uint64_t digest_number = 0;
    std::uint64_t reporting_nodes = 0;  // numbers given to nodes that told

    // Load through relays: the last sum heard, and what this node told lately.
    struct Summed {
        std::string relay;
        std::uint64_t number = 0;
        std::uint64_t echo = 0;  // of this node's own words, the newest that is in the sum
        Microseconds at = 0;
        std::int64_t nodes = 0;  // others in it
        Loads loads;             // as the relay told them
    };
    bool relayed = false;
    std::int64_t fleet_nodes = 1;  // held alive, for as long as no relay says more
    Summed summed;
    std::deque<std::pair<std::uint64_t, Loads>> own_reports;

    ReplicaLoadTable() = default;
    ReplicaLoadTable(ReplicaLoadTable&&) = default;  // `pools` points into `replicas`: moved, never copied
    auto operator=(ReplicaLoadTable&&) -> ReplicaLoadTable& = default;

    auto take_list(ReplicaList const& list) -> void;
    auto take_report(std::string const& name, ReplicaReport const& report, Microseconds asked_at) -> void;
    auto take_weights(std::string const& name, std::string const& weights, bool loading) -> void;
    // A replica's late word of one kept part; a gap or a new life forgets all that was told.
    auto take_part(std::string const& name, std::uint64_t part, std::string const& weights, bool cached) -> void {
        take_part(name, part, hash_text(weights), cached);
    }
    auto take_part(std::string const& name, std::uint64_t part, std::uint64_t weights_hash, bool cached) -> void;
    auto forget_parts(std::string const& name) -> void;
    auto report_failed(std::string const& name, Microseconds now) -> void;
    auto take_digest(std::string const& node, std::uint64_t number, std::string const& body, Microseconds now) -> void;
    auto make_digest(Microseconds now) -> std::string;
    auto make_load_report(std::uint64_t number, Microseconds now) -> std::string;
    auto take_sum(std::string const& relay, LoadSumUpdate const& told, Microseconds now) -> void;
    // `unread`: tokens of the prompt that the replica has to read itself.
    auto place(
        std::string const& name, InferenceRequest const& inference, std::int64_t memory, Microseconds now,
        std::int64_t unread = 0) -> void;
    // The prompt has been read: the first output came.
    auto first_output(std::string const& name, std::uint64_t request_number) -> void;
    auto ended(std::string const& name, bool failed, Microseconds now) -> void;
    auto release(std::string const& name, std::uint64_t request_number) -> void;

    auto running(ReplicaState const& state, Microseconds now) const -> std::int64_t;
    auto reserve(ReplicaState const& state, Microseconds now) const -> std::int64_t;
    auto unread(ReplicaState const& state, Microseconds now) const -> std::int64_t;
    auto outcomes(ReplicaState const& state, Microseconds now) const -> TryOutcomes;
    auto free_memory(ReplicaState const& state, Microseconds now) const -> std::int64_t;
    auto cached_tokens(ReplicaState const& state, InferenceRequest const& inference) const -> std::int64_t;
    auto check(ReplicaState const& state, InferenceRequest const& inference, Microseconds now) const -> Filter;
    auto check_apart_from_health(ReplicaState const& state, InferenceRequest const& inference, Microseconds now) const
        -> Filter;
    auto active_nodes(Microseconds now) const -> std::int64_t;
    auto refused(std::string const& name, std::string_view reason, Microseconds now) -> void;
    auto has_room(ReplicaState const& state, Microseconds now) const -> bool;
    auto pool(std::string_view model) const -> std::vector<ReplicaState const*> const&;

   private:
    auto tell_of(std::string const& name, ReplicaState& state) const -> void;
    auto judge_health(Microseconds now) -> void;
    auto take_remote_loads(
        std::string const& node, Digest& digest, std::map<std::string, ReplicaLoad> told, Microseconds at) -> void;
    auto forget_lost(Microseconds now) -> void;
    auto make_pools() -> void;
    auto own_load(Microseconds now) -> std::vector<std::pair<std::string, ReplicaLoad>>;
    auto summed_lost(Microseconds now) const -> bool;
    auto summed_reserve(ReplicaState const& state, std::int64_t slice, Microseconds now) const -> std::int64_t;
    auto summed_rank(ReplicaState const& state, std::int64_t own, Microseconds now) const -> std::int64_t;
    auto unseen(ReplicaState const& state) const -> std::int64_t;
    auto rank_for(ReplicaState const& state, std::int64_t own, Microseconds now) const -> std::int64_t;
};

// One chain under one weights name; memory of other weights never matches.
inline auto chain_text(std::uint64_t chain) -> std::string { return std::to_string(chain); }

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(dockrock::ReplicaEntry, name, address, model, area, capacity, memory, drain, weights);
BOOST_HANA_ADAPT_STRUCT(dockrock::ServiceEntry, address);
BOOST_HANA_ADAPT_STRUCT(dockrock::ReplicaList, sequence, replicas, application, store);
BOOST_HANA_ADAPT_STRUCT(dockrock::PrefixEvent, number, kind, chain);
BOOST_HANA_ADAPT_STRUCT(
    dockrock::ReplicaReport, incarnation, weights, changing, free_memory, fence, first_event, next_event, events);
BOOST_HANA_ADAPT_STRUCT(dockrock::ReplicaLoad, count, slots, memory, recent, unread, ended, failed);

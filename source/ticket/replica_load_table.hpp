#pragma once
// Load of the replicas as one node knows it: its own placements, load digests of the other nodes, and the
// replicas' delayed memory reports. docs/design.md section 9.3.
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
    std::map<std::string, std::int64_t> weights;  // version by model, where the list has it
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
// A change of a replica's prefix cache.
struct PrefixEvent {
    std::uint64_t number = 0;
    std::string kind;  // "kept", "dropped" or "cleared"
    std::string chain;
};
// What a replica reports of itself when asked: process, weights, free memory in tokens, and prefix cache events.
struct ReplicaReport {
    std::string incarnation;
    std::string weights;
    bool changing = false;
    std::int64_t free_memory = 0;
    std::uint64_t fence = 0;
    std::uint64_t first_event = 0;  // number of the first event in this report
    std::uint64_t next_event = 0;
    std::vector<PrefixEvent> events;
};

// The check that rules a replica out for a request; `passed`: none does.
enum class Filter : int { available, reachable, busy, memory, capacity, weights, failing, passed };
inline constexpr auto filter_names = std::to_array<std::string_view>(
    {"available", "reachable", "busy", "memory", "capacity", "weights", "failing", "passed"});

// One node's load on one replica, as its digest reports it.
struct ReplicaLoad {
    std::int64_t count = 0;
    std::int64_t slots = 0;
    std::int64_t memory = 0;
    std::int64_t recent = 0;  // requests placed in the second before the digest
    std::int64_t unread = 0;  // prompt tokens placed, prefill not finished
    std::int64_t ended = 0;   // tries that ended within `outcome_window`
    std::int64_t failed = 0;
};

// All that this node knows of one replica.
struct ReplicaState {
    ReplicaEntry entry;
    struct Placed {
        std::int64_t slots = 1;
        std::int64_t memory = 0;
        Microseconds at = 0;
        std::int64_t unread = 0;  // prompt tokens that the replica has yet to prefill
    };
    struct Outcome {
        Microseconds at = 0;
        bool failed = false;
    };
    std::map<std::uint64_t, Placed> placed;
    std::int64_t placed_slots = 0;  // sums over `placed`
    std::int64_t placed_memory = 0;
    std::int64_t placed_since = 0;  // memory placed since reported_at
    std::int64_t placed_unread = 0;
    std::deque<Outcome> outcomes;  // of own tries, within `outcome_window`
    ReplicaHealth health;
    std::vector<Microseconds> recent;        // times of own placements in the last second
    std::int64_t unreported_placements = 0;  // own placements since the last digest
    Microseconds paused_until = 0;           // it refused a request as busy or out of memory
    std::optional<ReplicaReport> report;
    Microseconds reported_at = 0;  // when the report was requested
    Microseconds unreachable_until = 0;
    bool unreachable = false;
    std::set<std::uint64_t> cached;  // cached prefix chains, for the reported weights
    bool cache_unknown = true;
    std::unordered_map<std::uint64_t, std::uint64_t> parts;  // cached single parts: part ^ weights hash -> weights hash
    std::uint64_t weights_hash = 0;                          // hash of the weights that it serves now
    std::uint64_t next_event = 0;

    // Another node's load on this replica. Held for each replica, so that a placement need not search the
    // digests of all nodes (design 9.4).
    struct RemoteLoad {
        std::uint64_t node = 0;       // Digest::node
        std::uint64_t tie_break = 0;  // hash that orders the nodes for this replica's last places
        Microseconds at = 0;
        std::int64_t slots = 0;
        std::int64_t memory = 0;
        std::int64_t recent = 0;
        std::int64_t unreported = 0;  // memory that an older report may not include
        std::int64_t unread = 0;
        std::int64_t ended = 0;
        std::int64_t failed = 0;
    };
    std::vector<RemoteLoad> remote;
    std::int64_t remote_slots = 0;  // sums over the loads of other nodes
    std::int64_t remote_memory = 0;
    std::int64_t remote_unread = 0;
    std::int64_t remote_unreported = 0;  // of the loads newer than reported_at
    Microseconds remote_oldest = 0;      // lower bound of their times, raised from time to time
    std::uint64_t name_hash = 0;
    Load summed;  // sum over all other nodes, from a relay (design 9.8)
    // Active nodes whose tie-break hash is below `preceding_own_hash`; recounted when the set of active nodes changes.
    mutable std::int64_t preceding_nodes = 0;
    mutable std::uint64_t preceding_own_hash = 0;
    mutable std::uint64_t preceding_counted_at = 0;

    auto remove_placement(std::uint64_t request_number) -> void;
    auto count_remote(RemoteLoad const& item, std::int64_t sign) -> void;
    auto sum_remote() -> void;
};

// A load sum received from a relay: whole, or as the difference from sum number `base`.
struct LoadSumUpdate {
    std::uint64_t number = 0;
    std::uint64_t base = 0;
    std::uint64_t echo = 0;     // the newest of this node's reports that is in the sum
    std::int64_t echo_age = 0;  // milliseconds
    std::int64_t nodes = 0;
    std::string_view body;
};

// The state of every listed replica, and the capacity and memory that are free on each.
struct ReplicaLoadTable {
    SchedulingOptions options;
    std::string self;
    std::map<std::string, ReplicaState> replicas;
    std::map<std::string, std::vector<ReplicaState const*>, std::less<>> pools;  // by model, sorted by name
    struct Digest {
        std::uint64_t node = 0;  // number that stands for the node's name
        std::uint64_t number = 0;
        Microseconds at = 0;
        std::map<std::string, ReplicaLoad> replicas;
    };
    std::map<std::string, Digest> remote_digests;
    std::int64_t active_digests = 0;    // nodes whose digest names a replica
    Microseconds oldest_digest_at = 0;  // lower bound of the times of their digests
    Microseconds swept_at = 0;
    std::uint64_t active_changes = 1;  // number of changes of the set of active nodes
    std::uint64_t digest_number = 0;
    std::uint64_t reporting_nodes = 0;  // last number given to a node

    // Load reporting through relays: the last sum received, and this node's own recent reports.
    struct Summed {
        std::string relay;
        std::uint64_t number = 0;
        std::uint64_t echo = 0;  // the newest of this node's reports that is in the sum
        Microseconds at = 0;
        std::int64_t nodes = 0;  // other nodes in the sum
        Loads loads;             // as received from the relay
    };
    bool relayed = false;
    std::int64_t fleet_nodes = 1;  // nodes assumed alive while no relay reports more
    Summed summed;
    std::deque<std::pair<std::uint64_t, Loads>> own_reports;  // number and loads

    ReplicaLoadTable() = default;
    ReplicaLoadTable(ReplicaLoadTable&&) = default;  // move-only: `pools` points into `replicas`
    auto operator=(ReplicaLoadTable&&) -> ReplicaLoadTable& = default;

    auto take_list(ReplicaList const& list) -> void;
    auto take_report(std::string const& name, ReplicaReport const& report, Microseconds asked_at) -> void;
    auto take_weights(std::string const& name, std::string const& weights, bool loading) -> void;
    // An event of a replica's prefix cache. After missed events or a restart of the replica forget_parts is called.
    auto take_part(std::string const& name, std::uint64_t part, std::string const& weights, bool cached) -> void {
        take_part(name, part, hash_text(weights), cached);
    }
    auto take_part(std::string const& name, std::uint64_t part, std::uint64_t weights_hash, bool cached) -> void;
    auto forget_parts(std::string const& name) -> void;
    auto report_failed(std::string const& name, Microseconds now) -> void;
    auto take_digest(std::string const& node, std::uint64_t number, std::string const& body, Microseconds now) -> void;
    auto make_digest(Microseconds now) -> std::string;
    auto make_load_report(std::uint64_t number, Microseconds now) -> std::string;
    auto take_sum(std::string const& relay, LoadSumUpdate const& update, Microseconds now) -> void;
    // `unread`: prompt tokens that the replica has to prefill itself.
    auto place(
        std::string const& name, InferenceRequest const& inference, std::int64_t memory, Microseconds now,
        std::int64_t unread = 0) -> void;
    // The prefill is over: the first output has arrived.
    auto first_output(std::string const& name, std::uint64_t request_number) -> void;
    auto ended(std::string const& name, bool failed, Microseconds now) -> void;
    auto release(std::string const& name, std::uint64_t request_number) -> void;

    // Slots in use by requests of all nodes. reserve(): slots that others may have taken since their digests.
    auto running(ReplicaState const& state, Microseconds now) const -> std::int64_t;
    auto reserve(ReplicaState const& state, Microseconds now) const -> std::int64_t;
    auto unread(ReplicaState const& state, Microseconds now) const -> std::int64_t;
    auto outcomes(ReplicaState const& state, Microseconds now) const -> TryOutcomes;
    auto free_memory(ReplicaState const& state, Microseconds now) const -> std::int64_t;
    // Tokens of the request's prefix that the replica has cached.
    auto cached_tokens(ReplicaState const& state, InferenceRequest const& inference) const -> std::int64_t;
    auto check(ReplicaState const& state, InferenceRequest const& inference, Microseconds now) const -> Filter;
    auto check_apart_from_health(ReplicaState const& state, InferenceRequest const& inference, Microseconds now) const
        -> Filter;
    auto active_nodes(Microseconds now) const -> std::int64_t;
    auto refused(std::string const& name, std::string_view reason, Microseconds now) -> void;
    auto has_room(ReplicaState const& state, Microseconds now) const -> bool;
    auto pool(std::string_view model) const -> std::vector<ReplicaState const*> const&;

   private:
    auto add_reported_loads(std::string const& name, ReplicaState& state) const -> void;
    auto update_health(Microseconds now) -> void;
    auto take_remote_loads(
        std::string const& node, Digest& digest, std::map<std::string, ReplicaLoad> reported, Microseconds at) -> void;
    auto drop_lost_digests(Microseconds now) -> void;
    auto make_pools() -> void;
    auto own_load(Microseconds now) -> std::vector<std::pair<std::string, ReplicaLoad>>;
    auto summed_lost(Microseconds now) const -> bool;
    auto summed_reserve(ReplicaState const& state, std::int64_t slice, Microseconds now) const -> std::int64_t;
    auto summed_rank(ReplicaState const& state, std::int64_t own, Microseconds now) const -> std::int64_t;
    auto placements_after_sum(ReplicaState const& state) const -> std::int64_t;
    auto rank_for(ReplicaState const& state, std::int64_t own, Microseconds now) const -> std::int64_t;
};

// A prefix chain as events write it; cache entries of other weights never match.
inline auto chain_text(std::uint64_t chain) -> std::string { return std::to_string(chain); }

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(dockrock::ReplicaEntry, name, address, model, area, capacity, memory, drain, weights);
BOOST_HANA_ADAPT_STRUCT(dockrock::ServiceEntry, address);
BOOST_HANA_ADAPT_STRUCT(dockrock::ReplicaList, sequence, replicas, application, store);
BOOST_HANA_ADAPT_STRUCT(dockrock::PrefixEvent, number, kind, chain);
BOOST_HANA_ADAPT_STRUCT(
    dockrock::ReplicaReport, incarnation, weights, changing, free_memory, fence, first_event, next_event, events);
BOOST_HANA_ADAPT_STRUCT(dockrock::ReplicaLoad, count, slots, memory, recent, unread, ended, failed);

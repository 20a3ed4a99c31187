#pragma once
// The control plane of one node: membership, partitions, views of their state, operator calls and claims.
// A state machine without I/O: events go in, a ControlOutput comes out. docs/design.md sections 4 to 8.
#include <array>

#include "consensus/partition.hpp"
#include "control/cache_feed.hpp"
#include "control/load_relay.hpp"
#include "control/pending.hpp"
#include "membership/membership.hpp"
#include "control/partition_view.hpp"
#include "control/partition_watch.hpp"
#include "control/version_history.hpp"

namespace dockrock {

inline constexpr auto partition_names =
    std::to_array<std::string_view>({"configuration", "service-0", "service-1", "service-2", "resting"});
inline constexpr auto partition_count = partition_names.size();
inline constexpr auto configuration_partition = 0;
inline constexpr auto resting_partition = 4;
inline constexpr auto service_partitions = 3;

// Whether a number received in a message is a valid partition index.
inline auto is_partition(int number) -> bool { return number >= 0 && number < static_cast<int>(partition_count); }

// The partition that holds a service, selected by the hash of its name (design 5).
inline auto partition_of_service(std::string_view service) -> int {
    return 1 + static_cast<int>(hash_text(service) % service_partitions);
}

struct ControlSettings {
    std::string control_address;
    std::string http_address;
    std::string area;
    std::vector<std::string> seeds;
    bool core = false;
    std::size_t core_count = 4;     // 0: not configured (design 5.7)
    std::size_t machines_lost = 1;  // core nodes that may be lost at the same time, including their disks
    bool may_form = true;
    std::size_t load_relays_from = 0;  // number of alive nodes at which load reports go through relays; 0: never
    bool rests = true;                 // this node may be put to rest
};

// The result of a claim that this node requested.
struct ClaimDone {
    std::uint64_t local_token = 0;
    ClaimState state = ClaimState::not_here;  // not_here: the outcome is unknown
    std::uint64_t term = 0;
};

// What the caller has to do after an event.
struct ControlOutput {
    AddressedMessages sends;
    std::vector<Save> saves;
    std::vector<CallDone> results;                            // of calls received by this node
    std::vector<std::pair<std::string, LoadDigest>> digests;  // load digests of other admitting nodes
    std::vector<std::pair<std::string, LoadSum>> load_sums;   // from the relay
    std::vector<CacheFeed::Taken> cache_batches;              // prompt cache changes, in order
    std::vector<ClaimDone> claims;
    std::vector<UpdateNote> notes;  // log entries
    bool snapshot_changed = false;  // an input of the snapshot changed
};

struct Control {
    ControlSettings settings;
    UpdateTimes times;
    Random random;
    Membership membership;
    std::array<Partition, partition_count> partitions;
    std::array<PartitionView, partition_count> views;
    std::array<PartitionWatch, partition_count> watches;
    // Another node's update request that is answered at the next change or at the hold limit (long polling).
    struct HeldRequest {
        std::string address;
        UpdateRequest ask;
        Microseconds since = 0;
    };
    std::vector<HeldRequest> held_requests;
    UpdateCounts update_counts;
    VersionHistory version_history;
    std::map<std::uint64_t, PendingCall> calls;
    std::map<std::uint64_t, PendingClaim> claims;
    std::optional<PendingRecovery> recovery;
    bool recovers_fleet = false;  // this core node holds the copies that the fleet is recovered from
    Microseconds blank_since = 0;
    std::vector<std::string> cores_seen;  // the last set of core nodes seen while this node has no state
    Microseconds cores_since = 0;
    Microseconds last_list_read = -3'600 * one_second;
    Microseconds last_forming = 0;
    LoadRelay load_relay;  // used on core nodes only
    LoadRelayChoice load_choice;
    Microseconds load_reported_at = -3'600 * one_second;
    CacheFeedTimes cache_times;
    CacheFeed cache_feed;
    Microseconds feed_asked_at = 0;
    std::vector<IdentifiedMessage> loopback;
    std::uint64_t update_bytes = 0;  // document updates sent: actual bytes, and bytes without differences
    std::uint64_t update_bytes_whole = 0;
    bool resting = false;  // few wakeups: only the traffic that keeps this node a member (design 12)

    auto start(
        ControlSettings const& given, std::string const& identity, std::uint64_t incarnation, std::uint64_t seed,
        std::vector<SavedPartition> const& saved_partitions, bool had_state, Microseconds now) -> void;
    // A node that started without its disk becomes the core node whose state is on the disk.
    auto take_disk(
        std::string const& identity, std::uint64_t incarnation, std::vector<SavedPartition> const& saved_partitions,
        bool had_state, Microseconds now) -> void;
    auto tick(Microseconds now) -> ControlOutput;
    auto receive(Microseconds now, std::string const& from, std::string const& address, Message const& message)
        -> ControlOutput;
    auto saved(Microseconds now, std::uint64_t token, bool ok) -> ControlOutput;
    auto call(Microseconds now, std::uint64_t local_token, Call const& asked) -> ControlOutput;
    // Recovers the fleet after the loss of all core disks, by an operator's order (design 5.9).
    auto recover_fleet(Microseconds now, std::uint64_t local_token) -> ControlOutput;
    auto claim(Microseconds now, std::uint64_t local_token, ClaimAsk ask) -> ControlOutput;
    // Takes a newer live text of a partition, from its reader or leader (design 8.4 and 11).
    auto live_read(int partition, Microseconds now, Microseconds asked_at, std::string const& text) -> ControlOutput;
    auto list_read(Microseconds now, Microseconds asked_at, std::string const& text) -> ControlOutput {
        return live_read(configuration_partition, now, asked_at, text);
    }
    auto list_read_due(Microseconds now) const -> bool;
    // Sends this node's load digest to all alive nodes that do not rest.
    auto digest(std::string const& body, std::uint64_t number, std::set<std::string> const& resting_nodes)
        -> ControlOutput;

    // Decides by the number of alive nodes whether load goes through relays (design 9.8).
    auto update_load_relaying() -> bool;
    // The number of alive edge nodes, which place requests; at least 1.
    auto nodes_placing() const -> std::int64_t;
    // Sends this node's load to its relay; `held` is the last sum it has of the relay `held_of`.
    auto report_load(
        Microseconds now, std::uint64_t number, std::string body, std::string const& held_of, std::uint64_t held)
        -> ControlOutput;

    // Whether this core node reads the events of a cache source, and the batches it read (design 9.9).
    auto reads_source(std::string_view source, std::string_view area) const -> bool;
    auto cache_read(CacheBatch batch) -> void;
    auto cache_caught_up(CacheBatch const& batch) -> bool;

    // Moves leadership, copies and votes to other core nodes; sets `pending` while some are left here.
    auto hand_over(Microseconds now, bool& pending) -> ControlOutput;
    auto leave() -> ControlOutput;
    auto leads(int partition, Microseconds now) const -> bool {
        return partitions[static_cast<std::size_t>(partition)].has_lease(membership.self.identity, now);
    }
    auto proof_age(int partition, Microseconds now) const -> Microseconds {
        return now - views[static_cast<std::size_t>(partition)].proven_at;
    }
    auto knows_fleet() const -> bool;
    auto best_record(int partition) const -> Record const&;
    // No proof of a leader came by any path for so long that a call sent now would only wait.
    auto leader_unreachable(Microseconds now, int partition) const -> bool;

   private:
    auto set_identity(std::string const& identity, std::uint64_t incarnation) -> void;
    auto load_partitions(std::vector<SavedPartition> const& saved_partitions, bool had_state, Microseconds now) -> void;
    auto with_partitions(Microseconds now, ControlOutput& output, std::function<void(Context&)> const& work) -> void;
    // A received message: arrival time, sender, and where the effects are collected.
    struct Arrival {
        Microseconds now = 0;
        std::string const& from;     // identity of its sender
        std::string const& address;  // control address of its sender
        ControlOutput& output;
    };
    auto deliver(Arrival const& arrival, Message const& message) -> void;
    auto on(Arrival const& arrival, Probe const& probe) -> void;
    auto on(Arrival const& arrival, ProbeAnswer const& answer) -> void;
    auto on(Arrival const& arrival, IndirectProbe const& probe) -> void;
    auto on(Arrival const& arrival, UpdateRequest const& ask) -> void;
    auto on(Arrival const& arrival, UpdateAnswer const& answer) -> void;
    auto on(Arrival const& arrival, LoadDigest const& digest) -> void;
    auto on(Arrival const& arrival, LoadReport const& report) -> void;
    auto on(Arrival const& arrival, LoadShare const& share) -> void;
    auto on(Arrival const& arrival, LoadSum const& sum) -> void;
    auto on(Arrival const& arrival, FeedAsk const& ask) -> void;
    auto on(Arrival const& arrival, FeedAnswer const& answer) -> void;
    auto on(Arrival const& arrival, VersionAges const& ages) -> void;
    auto on(Arrival const& arrival, CallForward const& forward) -> void;
    auto on(Arrival const& arrival, CallAnswer const& answer) -> void;
    auto on(Arrival const& arrival, ClaimAsk const& ask) -> void;
    auto on(Arrival const& arrival, ClaimAnswer const& answer) -> void;
    auto on(Arrival const& arrival, RecoveryRequest const& ask) -> void;
    auto on(Arrival const& arrival, RecoveryAnswer const& answer) -> void;
    auto on(Arrival const& arrival, RecoverFleet const& order) -> void;
    auto on(Arrival const& arrival, Decided const& decided) -> void;
    // All other messages belong to the partitions: between a replica group's leader, followers and voters.
    template <typename GroupMessage>
    auto on(Arrival const& arrival, GroupMessage const& message) -> void;
    auto drain(Context& context, ControlOutput& output) -> void;
    auto publish(Microseconds now, ControlOutput& output) -> void;
    auto learn_record(Microseconds now, Partition& partition, Record const& record, ControlOutput& output) -> void;
    auto request_updates(Microseconds now, ControlOutput& output) -> void;
    auto answer_update_request(Microseconds now, HeldRequest const& waiting, ControlOutput& output, bool may_wait)
        -> void;
    auto next_request_held(PartitionView const& item, int partition, Microseconds now) const -> bool;
    auto answer_expired(Microseconds now, ControlOutput& output) -> void;
    auto answer_held(Microseconds now, int partition, ControlOutput& output) -> void;
    auto take_update(Microseconds now, UpdateAnswer const& answer, ControlOutput& output) -> void;
    auto take_late_answer(Microseconds now, UpdateAnswer const& answer, ControlOutput& output) -> void;
    auto take_answer(
        Microseconds now, PartitionView& item, UpdateAnswer const& answer, Microseconds asked_at, ControlOutput& output)
        -> void;
    auto take_copy(Microseconds now, PartitionView& item, UpdateAnswer const& answer, ControlOutput& output) -> void;
    auto take_live(PartitionView& item, UpdateAnswer const& answer, Microseconds asked_at, ControlOutput& output)
        -> void;
    auto learn_version_times(int partition, Microseconds now) -> void;
    auto request_version_ages(Microseconds now, ControlOutput& output) -> void;
    auto take_version_ages(Microseconds now, std::string const& address, VersionAges const& ages, ControlOutput& output)
        -> void;
    auto relays_updates(int partition, Microseconds now) const -> bool;
    auto hold_limit(int partition) const -> Microseconds {
        return partition == configuration_partition ? times.hold_limit : times.service_hold_limit;
    }
    auto may_request_update(PartitionView& item, int partition, Microseconds now, ControlOutput& output) -> bool;
    auto update_target(PartitionView& item, int partition, Microseconds now) -> std::string;
    auto other_target(PartitionView const& item, std::string const& asked) -> std::string;
    auto send_call(Microseconds now, std::uint64_t token, PendingCall& pending, ControlOutput& output) -> void;
    auto on_call_forward(Microseconds now, CallForward const& forward, ControlOutput& output) -> void;
    auto next_hop(PendingCall const& pending) -> std::string;
    auto held_etag(int partition) const -> std::string;
    auto held_document(int partition, std::string const& etag) const -> std::string const*;
    auto answer_call(PendingCall const& pending, CallDone done, ControlOutput& output) -> void;
    auto finish_call(std::uint64_t token, int status, std::string body, std::string etag, ControlOutput& output)
        -> void;
    auto tick_calls(Microseconds now, ControlOutput& output) -> void;
    auto send_claim(Microseconds now, PendingClaim& pending, ControlOutput& output) -> void;
    auto take_claim_answer(ClaimAnswer const& answer, ControlOutput& output) -> void;
    auto tick_claims(Microseconds now, ControlOutput& output) -> void;
    auto form(Microseconds now, Context& context) -> void;
    auto may_form_now(Microseconds now, std::vector<Member> const& cores) -> bool;
    auto cores_needed() const -> std::size_t;
    auto staying_cores() const -> std::vector<Member>;
    auto begin_leaving(ControlOutput& output) -> void;
    auto has_duties() const -> bool;
    auto held_partitions() const -> std::vector<HeldPartition>;
    auto take_recovery(std::vector<HeldPartition> const& received) -> void;
    auto send_recovery(Microseconds now, ControlOutput& output) -> void;
    auto tick_recovery(Microseconds now, ControlOutput& output) -> void;
    auto end_recovery(int status, std::string_view what, ControlOutput& output) -> void;
    auto old_voter_alive(std::vector<HeldPartition> const& held) const -> std::string;
    auto ask_feed(Microseconds now, ControlOutput& output) -> void;
    auto take_feed(Microseconds now, std::string const& from, FeedAnswer const& answer, ControlOutput& output) -> void;
    auto share_load(Microseconds now, ControlOutput& output) -> void;
    auto on_recover_fleet(Microseconds now, RecoverFleet const& order, ControlOutput& output) -> void;
};

}  // namespace dockrock

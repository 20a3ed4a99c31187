#pragma once
// One node's control side whole: membership, partitions, news and operator calls.
// docs/design.md sections 4 to 8.
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

// Whether a number that came with a message names a partition.
inline auto is_partition(int number) -> bool { return number >= 0 && number < static_cast<int>(partition_count); }

// The partition that holds a service, by hash of its name (design 5).
inline auto partition_of_service(std::string_view service) -> int {
    return 1 + static_cast<int>(hash_text(service) % service_partitions);
}

struct ControlSettings {
    std::string control_address;
    std::string http_address;
    std::string area;
    std::vector<std::string> seeds;
    bool core = false;
    std::size_t core_count = 4;     // 0: not told (design 5.7)
    std::size_t machines_lost = 1;  // core nodes, at once, with their disks
    bool may_form = true;
    std::size_t load_relays_from = 0;  // nodes from which on load goes through relays; 0: never
    bool rests = true;                 // this node may be told to rest
};

struct ClaimDone {
    std::uint64_t local_token = 0;
    ClaimState state = ClaimState::not_here;  // not_here: its fate is not known
    std::uint64_t term = 0;
};

struct ControlOutput {
    AddressedMessages sends;
    std::vector<Save> saves;
    std::vector<CallDone> results;                            // for calls made at this node
    std::vector<std::pair<std::string, LoadDigest>> digests;  // from other admitting nodes
    std::vector<std::pair<std::string, LoadSum>> load_sums;   // from the relay
    std::vector<CacheFeed::Taken> cache_batches;              // changes of kept prompts, in order
    std::vector<ClaimDone> claims;
    std::vector<UpdateNote> notes;  // for the log
    bool snapshot_changed = false;  // something a snapshot is made of changed
};

struct Control {
    ControlSettings settings;
    UpdateTimes times;
    Random random;
    Membership membership;
    std::array<Partition, partition_count> partitions;
    std::array<PartitionView, partition_count> views;
    std::array<PartitionWatch, partition_count> watches;
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
    bool recovers_fleet = false;  // this core node holds the copies to form from
    Microseconds blank_since = 0;
    std::vector<std::string> cores_seen;  // the last set of core nodes seen, while this node is blank
    Microseconds cores_since = 0;
    Microseconds last_list_read = -3'600 * one_second;
    Microseconds last_forming = 0;
    LoadRelay load_relay;  // where this is a core node
    LoadRelayChoice load_choice;
    Microseconds load_reported_at = -3'600 * one_second;
    CacheFeedTimes cache_times;
    CacheFeed cache_feed;
    Microseconds feed_asked_at = 0;
    std::vector<IdentifiedMessage> loopback;
    std::uint64_t update_bytes = 0;  // sent as news of documents, and what whole ones would have been
    std::uint64_t update_bytes_whole = 0;
    bool resting = false;  // few wakeups: only what keeps this node in the fleet (design 12)

    auto start(
        ControlSettings const& given, std::string const& identity, std::uint64_t incarnation, std::uint64_t seed,
        std::vector<SavedPartition> const& saved_parts, bool had_state, Microseconds now) -> void;
    // A node that started without its disk becomes the core node that the disk says it is.
    auto take_disk(
        std::string const& identity, std::uint64_t incarnation, std::vector<SavedPartition> const& saved_parts,
        bool had_state, Microseconds now) -> void;
    auto tick(Microseconds now) -> ControlOutput;
    auto receive(Microseconds now, std::string const& from, std::string const& address, Message const& message)
        -> ControlOutput;
    auto saved(Microseconds now, std::uint64_t token, bool ok) -> ControlOutput;
    auto call(Microseconds now, std::uint64_t local_token, Call const& asked) -> ControlOutput;
    auto recover_fleet(Microseconds now, std::uint64_t local_token) -> ControlOutput;
    auto claim(Microseconds now, std::uint64_t local_token, ClaimAsk ask) -> ControlOutput;
    // A partition's live text, as its reader or leader knows it now (design 8.4 and 11).
    auto live_read(int partition, Microseconds now, Microseconds asked_at, std::string const& text) -> ControlOutput;
    auto list_read(Microseconds now, Microseconds asked_at, std::string const& text) -> ControlOutput {
        return live_read(configuration_partition, now, asked_at, text);
    }
    auto wants_list(Microseconds now) const -> bool;
    auto digest(std::string const& body, std::uint64_t number, std::set<std::string> const& resting_nodes)
        -> ControlOutput;

    // Whether load goes through relays, by the number of nodes held alive (design 9.8).
    auto judge_load_relays() -> bool;
    auto nodes_placing() const -> std::int64_t;
    // This node's word of its load to its relay; what it holds of which relay's sums.
    auto report_load(
        Microseconds now, std::uint64_t number, std::string body, std::string const& held_of, std::uint64_t held)
        -> ControlOutput;

    // Whether this core node reads the events of a source, and what it read there (design 9.9).
    auto reads_source(std::string_view source, std::string_view area) const -> bool;
    auto cache_read(CacheBatch batch) -> void;
    auto cache_caught_up(CacheBatch const& batch) -> bool;

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
    // No leader's proof was heard for so long, by any way, that a call sent now would only be held.
    auto out_of_contact(Microseconds now, int partition) const -> bool;

   private:
    auto appear_as(std::string const& identity, std::uint64_t incarnation) -> void;
    auto load_partitions(std::vector<SavedPartition> const& saved_parts, bool had_state, Microseconds now) -> void;
    auto with_parts(Microseconds now, ControlOutput& output, std::function<void(Context&)> const& work) -> void;
    // A message as it came in: when, from whom, and where what it brings about is put.
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
    auto on(Arrival const& arrival, LoadReport const& told) -> void;
    auto on(Arrival const& arrival, LoadShare const& share) -> void;
    auto on(Arrival const& arrival, LoadSum const& sum) -> void;
    auto on(Arrival const& arrival, FeedAsk const& ask) -> void;
    auto on(Arrival const& arrival, FeedAnswer const& answer) -> void;
    auto on(Arrival const& arrival, VersionAges const& told) -> void;
    auto on(Arrival const& arrival, CallForward const& forward) -> void;
    auto on(Arrival const& arrival, CallAnswer const& answer) -> void;
    auto on(Arrival const& arrival, ClaimAsk const& ask) -> void;
    auto on(Arrival const& arrival, ClaimAnswer const& answer) -> void;
    auto on(Arrival const& arrival, RecoveryRequest const& ask) -> void;
    auto on(Arrival const& arrival, RecoveryAnswer const& answer) -> void;
    auto on(Arrival const& arrival, RecoverFleet const& order) -> void;
    auto on(Arrival const& arrival, Decided const& decided) -> void;
    // All others are the partitions' own: between a group's leader, its followers and voters.
    template <typename GroupMessage>
    auto on(Arrival const& arrival, GroupMessage const& message) -> void;
    auto drain(Context& context, ControlOutput& output) -> void;
    auto publish(Microseconds now, ControlOutput& output) -> void;
    auto learn_record(Microseconds now, Partition& partition, Record const& record, ControlOutput& output) -> void;
    auto request_updates(Microseconds now, ControlOutput& output) -> void;
    auto answer_update_request(Microseconds now, HeldRequest const& waiting, ControlOutput& output, bool may_wait)
        -> void;
    auto next_is_held(PartitionView const& item, int partition, Microseconds now) const -> bool;
    auto answer_overdue(Microseconds now, ControlOutput& output) -> void;
    auto answer_waiting(Microseconds now, int partition, ControlOutput& output) -> void;
    auto take_update(Microseconds now, UpdateAnswer const& answer, ControlOutput& output) -> void;
    auto take_late(Microseconds now, UpdateAnswer const& answer, ControlOutput& output) -> void;
    auto take_answer(
        Microseconds now, PartitionView& item, UpdateAnswer const& answer, Microseconds asked_at, ControlOutput& output)
        -> void;
    auto take_copy(Microseconds now, PartitionView& item, UpdateAnswer const& answer, ControlOutput& output) -> void;
    auto take_live(PartitionView& item, UpdateAnswer const& answer, Microseconds asked_at, ControlOutput& output)
        -> void;
    auto learn_version_times(int partition, Microseconds now) -> void;
    auto request_version_ages(Microseconds now, ControlOutput& output) -> void;
    auto take_version_ages(Microseconds now, std::string const& address, VersionAges const& told, ControlOutput& output)
        -> void;
    auto relays_updates(int partition, Microseconds now) const -> bool;
    auto hold_limit(int partition) const -> Microseconds {
        return partition == configuration_partition ? times.hold_limit : times.service_hold_limit;
    }
    auto ask_overdue(PartitionView& item, int partition, Microseconds now, ControlOutput& output) -> bool;
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
    auto held_parts() const -> std::vector<HeldPartition>;
    auto take_recovery(std::vector<HeldPartition> const& told) -> void;
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

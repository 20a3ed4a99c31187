#pragma once
// Roll-out of the target version to the replicas of one model, a few at a time: the decisions,
// except which node may send orders. docs/design.md section 11.
#include <array>

#include "control/version_times.hpp"

namespace dockrock {

// The result of an order as far as its sender knows.
enum class OrderResult : int {
    accepted,           // in progress at the replica
    already_held,       // the replica already has the version
    conflict,           // another order is in progress, or the count of orders differs
    fenced,             // the replica has seen a later leader
    other_incarnation,  // the address belongs to another incarnation now
    refused,            // rejected by the replica
    unknown,            // no clear answer: it may have been accepted
    unreachable,        // the order could not be sent
    not_sent,           // held back by its sender, whose lease was uncertain
};
inline constexpr auto order_result_names = std::to_array<std::string_view>(
    {"taken", "holds", "conflict", "fenced", "elsewhere", "refused", "unknown", "unreachable", "not-sent"});

struct ListedReplica {
    std::string name;
    std::string service;
    std::string area;
    std::int64_t version = 0;
    bool drain = false;
};
struct ReportedWeights {
    std::int64_t version = 0;
    bool busy = false;
    std::uint64_t orders = 0;
};
struct VersionOrder {
    std::string replica;
    std::int64_t version = 0;
    std::optional<std::uint64_t> orders;  // expected number of orders so far, if a report gave it
};
// A log entry of a roll-out, with the version and a duration that depends on the kind.
struct RolloutNote {
    enum class Kind : int { target_set, announced, loaded, silent, overdue };
    Kind kind = Kind::target_set;
    std::string replica;  // empty if kind is `target_set`
    std::int64_t version = 0;
    Microseconds length = 0;
};
inline constexpr auto rollout_note_names = std::to_array<std::string_view>(
    {"weights-named", "weights-announced", "weights-loaded", "weights-silent", "weights-overdue"});
struct RolloutActions {
    std::vector<VersionOrder> orders;
    std::vector<std::string> reports;  // replicas to poll now
    std::vector<RolloutNote> notes;
};
struct RolloutMetrics {
    std::size_t behind = 0;   // replicas with older weights, without draining ones
    std::size_t overdue = 0;  // of all replicas, those that get no requests because of older weights
    Microseconds oldest = 0;  // time since the oldest target that is not loaded everywhere was set
};
struct RolloutTimes {
    Microseconds announce = 50 * one_millisecond;     // from publishing a load to its order, so that nodes know first
    Microseconds first_poll = 800 * one_millisecond;  // after an order, until a load was measured
    Microseconds poll = 200 * one_millisecond;
    Microseconds settle = 300 * one_millisecond;    // reports may describe a state that is so old
    Microseconds order_visible_after = one_second;  // a report requested so long after an order reflects it
    Microseconds silence = 2 * one_second;          // a replica without a report for so long occupies no load slot
    Microseconds conflict_silence =
        600 * one_millisecond;  // the same after a 409, when none of our orders is in progress
    Microseconds reorder_after =
        4 * one_second;  // until an overdue, silent replica with unknown order result is reordered
    Microseconds min_backoff = 500 * one_millisecond;
    Microseconds max_backoff = 4 * one_second;
    Microseconds unpublish_after = 5 * one_second;  // a state stays published so long after the list shows the same
    Microseconds bound = 0;                         // target weights serve everywhere by then; 0: no bound
    Microseconds margin = weights_margin;
};

struct VersionsRollout {
    struct ReplicaProgress {
        enum class Stage : int { idle, announced, ordering, unsure, loading };
        Stage stage = Stage::idle;
        std::string service;
        std::string area;
        bool drain = false;
        std::int64_t listed = 0;
        std::int64_t version = 0;  // newest that the replica is known to have
        std::int64_t wanted = 0;   // of the order in progress
        std::optional<std::uint64_t> orders;
        bool report_pending = false;
        bool published = false;   // its state is published
        bool conflicted = false;  // the last order was answered 409
        bool silent = false;      // logged as silent
        bool overdue = false;     // gets no new requests until it has loaded
        int failures = 0;
        Microseconds next = 0;  // when the next action is due
        Microseconds announced_at = 0;
        Microseconds ordered_at = 0;
        Microseconds heard_at = 0;
        Microseconds listed_since = 0;
    };
    RolloutTimes times;
    VersionTimes version_times;
    std::int64_t target = 0;
    std::uint64_t fence = 0;
    std::uint64_t stopped_fence = 0;  // a replica has seen a later leader than this fence: no more orders
    Microseconds fastest_load = 0;    // fastest load, measured from order to report
    Microseconds slot_time = 0;       // measured time that a replica occupies a load slot, smoothed
    std::map<std::string, ReplicaProgress> by_replica;

    auto step(
        std::int64_t wanted, std::uint64_t under_fence, bool may_order, std::size_t at_once,
        std::vector<ListedReplica> const& replicas, Microseconds now) -> RolloutActions;
    auto order_ended(std::string const& replica, OrderResult end, Microseconds now) -> void;
    auto reported(
        std::string const& replica, std::optional<ReportedWeights> const& report, Microseconds asked_at,
        Microseconds now) -> void;
    // Takes the state that a former leader published for a replica: an order may be in progress there.
    auto adopt(ListedReplica const& replica, std::int64_t version, bool loading, Microseconds now) -> void;
    // Adds the state of each replica for which the list alone is not enough.
    auto add_states(std::string const& model, WeightsStates& into) const -> void;
    auto under_way() const -> bool;
    // Overdue: its weights are older than a target that soon has to serve everywhere. It gets no new requests.
    auto is_overdue(ReplicaProgress const& progress, Microseconds now) const -> bool;
    auto collect_metrics(Microseconds now) const -> RolloutMetrics;

   private:
    std::vector<RolloutNote> notes;  // since the last step
    auto note(Microseconds now) -> void;
    auto loaded(std::string const& name, ReplicaProgress& progress, Microseconds now) -> void;
    auto take_list(std::vector<ListedReplica> const& replicas, Microseconds now) -> void;
    auto announce(std::size_t at_once, Microseconds now) -> void;
    auto back_off(ReplicaProgress& progress, Microseconds now) -> void;
    auto occupies_slot(ReplicaProgress const& progress, Microseconds now) const -> bool;
    // Whether loading one more replica would leave none that serves, in a service with no more replicas than load
    // slots.
    auto is_last(std::string_view service, std::size_t least, Microseconds now) const -> bool;
    auto reorder_silent(Microseconds now) -> void;
    auto load_slots(std::string_view service, std::size_t least, Microseconds now) const -> std::size_t;
};

}  // namespace dockrock

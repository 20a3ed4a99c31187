#pragma once
// Runs at the leased leader of a service partition: decides which calls are due now to
// bring replicas to the target versions. docs/design.md section 11.
#include "control/snapshot.hpp"
#include "control/takeover_wait.hpp"
#include "control/versions_rollout.hpp"

namespace dockrock {

struct AddressedOrder {
    VersionOrder order;
    std::string address;
    std::string model;
    std::uint64_t fence = 0;
    int partition = 0;
};
struct ReportRequest {
    std::string replica;
    std::string address;
    std::string model;
    int partition = 0;
};
// Why a leader sends no orders although replicas are behind.
enum class OrdersHeld : int { no, no_lease, new_holder, no_fresh_news };
inline constexpr auto orders_held_names =
    std::to_array<std::string_view>({"no", "no-lease", "new-holder", "no-fresh-news"});

struct ControllerActions {
    std::vector<AddressedOrder> orders;
    std::vector<ReportRequest> reports;
    std::vector<std::pair<int, std::string>> live_texts;     // partition, and its new live text
    std::vector<std::pair<std::string, RolloutNote>> notes;  // by model
    std::vector<std::pair<int, OrdersHeld>> held;            // by partition, if it changed
    bool under_way = false;  // a replica led by this node is behind or has an order in progress
};

struct WeightsController {
    Microseconds bound = 0;                       // target weights serve everywhere by then; 0: no bound
    std::size_t at_once = 3;                      // replicas of one service that load at the same time
    Microseconds wait = 3'200 * one_millisecond;  // of a new leader before its first order
    std::array<TakeoverWait, partition_count> takeover_waits;
    std::map<std::pair<int, std::string>, VersionsRollout> rollouts;  // by partition and model

    // By model, by the clock of this process; updated whether or not this node leads.
    std::map<std::string, VersionTimes> version_times;

    // The orders, report requests and live texts that are due now at the partitions that this node leads.
    auto step(Control const& control, Snapshot const& snapshot, Microseconds now) -> ControllerActions;
    auto order_ended(AddressedOrder const& order, OrderResult end, Microseconds now) -> void;
    auto reported(
        ReportRequest const& asked, std::optional<ReportedWeights> const& report, Microseconds asked_at,
        Microseconds now) -> void;

    std::array<OrdersHeld, partition_count> held{};

    auto collect_metrics(Microseconds now) const -> RolloutMetrics;  // sum over all models led by this node

   private:
    auto step_partition(
        int partition, Control const& control, Snapshot const& snapshot, Microseconds now, ControllerActions& actions)
        -> void;
    auto note_held(int partition, OrdersHeld reason, ControllerActions& actions) -> void;
};

// A replica gets orders from one leader only: that of the partition that holds its first model; -1: no model.
auto ordering_partition(ReplicaEntry const& entry) -> int;

// Whether orders may be sent under this fence; checked again right before an order is sent.
auto may_order(Control const& control, int partition, std::uint64_t fence, Microseconds now) -> bool;

}  // namespace dockrock

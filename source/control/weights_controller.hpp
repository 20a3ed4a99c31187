#pragma once
// The duty of a service partition's leased leader to bring replicas to the
// versions named: which calls are due now. docs/design.md section 11.
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
// Why a leader gives no orders though replicas are behind.
enum class OrdersHeld : int { no, no_lease, new_holder, no_fresh_news };
inline constexpr auto orders_held_names =
    std::to_array<std::string_view>({"no", "no-lease", "new-holder", "no-fresh-news"});

struct ControllerActions {
    std::vector<AddressedOrder> orders;
    std::vector<ReportRequest> reports;
    std::vector<std::pair<int, std::string>> words;          // partition, and the text to be spread for it
    std::vector<std::pair<std::string, RolloutNote>> notes;  // by model
    std::vector<std::pair<int, OrdersHeld>> held;            // by partition, where it changed
    bool under_way = false;
};

struct WeightsController {
    Microseconds bound = 0;                       // named weights serve everywhere; none: no bound
    std::size_t at_once = 3;                      // replicas of one service
    Microseconds wait = 3'200 * one_millisecond;  // of a new holder
    std::array<TakeoverWait, partition_count> takeover_waits;
    std::map<std::pair<int, std::string>, VersionsRollout> rollouts;  // by partition and model

    std::map<std::string, VersionTimes> named;  // by model, by the clock of this life, as leader or not

    auto step(Control const& control, Snapshot const& snapshot, Microseconds now) -> ControllerActions;
    auto order_ended(AddressedOrder const& order, OrderEnd end, Microseconds now) -> void;
    auto reported(
        ReportRequest const& asked, std::optional<ReportedWeights> const& report, Microseconds asked_at,
        Microseconds now) -> void;

    std::array<OrdersHeld, partition_count> held{};

    auto figures(Microseconds now) const -> RolloutFigures;  // of all models led here

   private:
    auto step_partition(
        int partition, Control const& control, Snapshot const& snapshot, Microseconds now, ControllerActions& actions)
        -> void;
    auto note_held(int partition, OrdersHeld reason, ControllerActions& actions) -> void;
};

// One replica takes orders of one holder: that of the partition which its first model lies in.
auto ordering_partition(ReplicaEntry const& entry) -> int;

// Asked again right before an order is sent.
auto may_order(Control const& control, int partition, std::uint64_t fence, Microseconds now) -> bool;

}  // namespace dockrock

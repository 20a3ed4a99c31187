#pragma once
// The duty of a service part's licensed owner to bring replicas to the
// versions named: which calls are due now. docs/design.md section 11.
#include "process/machine/snapshot.hpp"
#include "process/machine/tenure.hpp"
#include "process/machine/versions_rollout.hpp"
#include "ticket/burden.hpp"

namespace dockrock {

struct DutyOrder {
    VersionOrder order;
    std::string address;
    std::string model;
    std::uint64_t fence = 0;
    int part = 0;
};
struct DutyReport {
    std::string replica;
    std::string address;
    std::string model;
    int part = 0;
};
struct DutyActions {
    std::vector<DutyOrder> orders;
    std::vector<DutyReport> reports;
    std::vector<std::string> drains;                 // replicas that leave use now
    std::vector<std::pair<int, std::string>> words;  // part, and the text to be spread for it
    bool under_way = false;
};

struct WeightsDuty {
    std::size_t at_once = 3;                      // replicas of one service
    Microseconds bound = 20 * one_second;         // from a naming until nothing begins on older versions
    Microseconds wait = 3'200 * one_millisecond;  // of a new holder
    VersionDeadlines deadlines;
    std::array<Tenure, part_count> tenures;
    std::map<std::pair<int, std::string>, VersionsRollout> rollouts;  // by part and model

    auto step(Control const& control, Snapshot const& snapshot, Microseconds now, RunningTold const& running = {})
        -> DutyActions;
    auto order_ended(DutyOrder const& order, OrderEnd end, Microseconds now) -> void;
    auto reported(
        DutyReport const& asked, std::optional<ReportedWeights> const& report, Microseconds asked_at, Microseconds now)
        -> void;

   private:
    auto step_part(
        int part, Control const& control, Snapshot const& snapshot, Microseconds now, RunningTold const& running,
        DutyActions& actions) -> void;
};

// One replica takes orders of one holder: that of the part which its first model lies in.
auto ordering_part(ReplicaEntry const& entry) -> int;

// Asked again right before an order is sent.
auto may_order(Control const& control, int part, std::uint64_t fence, Microseconds now) -> bool;

}  // namespace dockrock

#pragma once
// A node's metric counters. docs/operators.md.
#include <array>
#include <atomic>

#include "control/versions_rollout.hpp"

namespace dockrock {

struct Counters {
    std::atomic<std::uint64_t> tickets{0}, answered{0}, shed{0}, unknown{0}, refused{0}, broken{0}, callers_gone{0},
        tries{0}, did_not_run{0}, connect_failures{0};
    std::atomic<std::uint64_t> cached_tokens{0}, prefix_tokens{0}, fetched_tokens{0}, fetches{0};
    std::atomic<std::uint64_t> part_calls{0}, part_events{0}, part_gaps{0},
        unmatched_answers{0};  // that match no request
    std::atomic<std::uint64_t> claims_granted{0}, claims_seen{0}, claims_unknown{0}, calls{0}, orders{0}, list_reads{0},
        list_failures{0}, wakeups{0}, saves{0}, save_batches{0}, disk_failures{0}, disk_repairs{0};
    std::atomic<std::uint64_t> list_calls{0}, list_limited{0}, weights_reports{0}, weights_report_failures{0};
    std::array<std::atomic<std::uint64_t>, order_result_names.size()> order_results{};
    std::atomic<std::uint64_t> weights_behind{0}, weights_overdue{0}, weights_oldest{0}, weights_withheld{0};  // gauges
    std::atomic<std::uint64_t> weights_recalled{0};
    std::atomic<std::uint64_t> connections_failed{0};  // connections that an exception ended
};

}  // namespace dockrock

#pragma once
// The outcomes of update requests to other nodes, and refusals by the configuration
// rules, for logs and metrics. docs/operators.md.
#include <atomic>

#include "control/control.hpp"

namespace dockrock {

struct UpdateMetrics {
    std::atomic<std::uint64_t> asked{0}, unanswered{0}, late{0}, unknown{0}, refusals{0};
    std::atomic<Microseconds> latest{0};                            // the greatest age of a late answer
    std::atomic<Microseconds> oldest_refusal{0};                    // the greatest proof age at a refusal by the rules
    std::atomic<Microseconds> refusal_logged{-3'600 * one_second};  // at most one line each interval

    // Called in control_work after each control step.
    auto take(UpdateCounts const& counts, std::vector<UpdateNote> const& notes) -> void;
    // Records a request that the configuration rules refused.
    auto refused(int status, Sequence const& sequence, Microseconds proof_age, Microseconds now) -> void;
    auto write(std::string& text) const -> void;
};

}  // namespace dockrock

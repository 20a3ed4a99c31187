#pragma once
// What became of questions for news and of refusals by the rules, for logs and
// metrics. docs/operators.md.
#include <atomic>

#include "control/control.hpp"

namespace dockrock {

struct UpdateMetrics {
    std::atomic<std::uint64_t> asked{0}, unanswered{0}, late{0}, unknown{0}, refusals{0};
    std::atomic<Microseconds> latest{0};                            // the greatest age of a late answer
    std::atomic<Microseconds> oldest_refusal{0};                    // the greatest proof age under which rules refused
    std::atomic<Microseconds> refusal_logged{-3'600 * one_second};  // at most one each interval

    // Inside the control's work, after each of its steps.
    auto take(UpdateCounts const& counts, std::vector<UpdateNote> const& notes) -> void;
    // A request was refused as the configuration says.
    auto refused(int status, Sequence const& sequence, Microseconds proof_age, Microseconds now) -> void;
    auto write(std::string& text) const -> void;
};

}  // namespace dockrock

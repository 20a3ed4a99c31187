#pragma once
// When each version became the target, by this node's clock: its own observations, corrected
// by what other nodes report. So a node that restarted, or was partitioned at that time,
// counts from the original moment again. docs/design.md section 11.4.
#include "base/messages.hpp"
#include "control/version_times.hpp"

namespace dockrock {

struct VersionHistory {
    static constexpr Microseconds ask_for = 5 * one_second;  // other nodes are asked for so long after a new version
    static constexpr Microseconds ask_interval = one_second;
    static constexpr Microseconds longest_age = 3'600 * one_second;  // higher ages are capped
    std::map<std::string, VersionTimes> by_model;
    Microseconds learned_at = -longest_age;
    Microseconds asked_at = -longest_age;

    // Takes the document of a service partition, which has the target version of each model.
    auto learn(std::string const& document, Microseconds now) -> void;
    // Takes another node's report. True if it has a version earlier, or has one that was unknown here.
    auto take(VersionAgeLists const& told, Microseconds now) -> bool;
    auto ages(Microseconds now) const -> VersionAgeLists;
    // Whether to request the ages of other nodes now.
    auto ask_due(Microseconds now) -> bool;
};

}  // namespace dockrock

#pragma once
// Since when this node knows of each version named, by its own clock, and what
// other nodes tell of it: a node that restarted, or was cut off while a version
// was named, comes to count from the naming again. docs/design.md section 11.4.
#include "base/messages.hpp"
#include "control/version_times.hpp"

namespace dockrock {

struct VersionHistory {
    static constexpr Microseconds ask_for = 5 * one_second;  // since the last version that was new to this node
    static constexpr Microseconds ask_interval = one_second;
    static constexpr Microseconds longest_age = 3'600 * one_second;  // any older one says the same
    std::map<std::string, VersionTimes> by_model;
    Microseconds learned_at = -longest_age;
    Microseconds asked_at = -longest_age;

    // The document of a service partition, which names a version by model.
    auto learn(std::string const& document, Microseconds now) -> void;
    // What another node tells, as it comes. True where it knew of a version earlier, or of another one.
    auto take(VersionAgeLists const& told, Microseconds now) -> bool;
    auto ages(Microseconds now) const -> VersionAgeLists;
    // Whether others may know better and are to be asked now.
    auto ask_due(Microseconds now) -> bool;
};

}  // namespace dockrock

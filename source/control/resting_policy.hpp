#pragma once
// Which of the fleet's own edge nodes may rest. docs/design.md section 12.
#include <map>
#include <optional>
#include <set>

#include "base/messages.hpp"

namespace dockrock {

struct RestingOptions {
    double node_rate = 40.0;              // tickets each second that one node takes with ease
    double headroom = 2.0;                // awake nodes could take this many times the traffic
    int loss_slack = 1;                   // and one of them may be lost
    Microseconds calm = 4 * one_second;   // how long the burden must be low before one more rests
    Microseconds step = one_second;       // at most one more node rests in this time
    Microseconds grace = 3 * one_second;  // traffic from before it rested is not held against a node
};
struct EdgeTraffic {
    std::string identity;
    std::string area;
    double rate = 0.0;  // tickets each second, from its digests
};

struct RestingPolicy {
    RestingOptions options;
    Microseconds low_since = 0;
    Microseconds last_step = 0;
    std::map<std::string, Microseconds> rested_at;

    // The set that should rest, where it differs from `now_resting`.
    auto step(std::vector<EdgeTraffic> const& edges, std::set<std::string> const& now_resting, Microseconds now)
        -> std::optional<std::set<std::string>>;
    auto least_awake(std::vector<EdgeTraffic> const& edges) const -> std::size_t;

   private:
    // Who is to rest, and what stays awake then.
    struct Plan {
        std::set<std::string> resting;
        std::map<std::string, int> awake_in_area;
        std::size_t awake = 0;
    };
    auto still_rests(EdgeTraffic const& node, std::set<std::string> const& now_resting, Microseconds now) const -> bool;
    static auto wake_needed(std::vector<EdgeTraffic> const& edges, std::size_t least, Plan& plan) -> void;
    auto rest_one(std::vector<EdgeTraffic> const& edges, Plan& plan, Microseconds now) -> void;
};

}  // namespace dockrock

#pragma once
// Selects edge nodes that may rest (with few wakeups) while load is low. docs/design.md section 12.
#include <map>
#include <optional>
#include <set>

#include "base/messages.hpp"

namespace dockrock {

struct RestingOptions {
    double node_rate = 40.0;              // requests per second that one node handles easily
    double headroom = 2.0;                // awake nodes can take this multiple of the traffic
    int loss_slack = 1;                   // number of further awake nodes, which may be lost
    Microseconds calm = 4 * one_second;   // how long load must be low before another node rests
    Microseconds step = one_second;       // at most one more node is put to rest in this time
    Microseconds grace = 3 * one_second;  // for so long after a node is put to rest, its traffic may be from before
};
struct EdgeTraffic {
    std::string identity;
    std::string area;
    double rate = 0.0;  // requests per second, from its load digests
};

struct RestingPolicy {
    RestingOptions options;
    Microseconds low_since = 0;
    Microseconds last_step = 0;
    std::map<std::string, Microseconds> rested_at;

    // The new set of resting nodes; nothing if it equals `now_resting`.
    auto step(std::vector<EdgeTraffic> const& edges, std::set<std::string> const& now_resting, Microseconds now)
        -> std::optional<std::set<std::string>>;
    // How many edge nodes must stay awake: for the traffic and its headroom, one per area, plus `loss_slack`.
    auto least_awake(std::vector<EdgeTraffic> const& edges) const -> std::size_t;

   private:
    // The nodes to rest, and the number of nodes that stay awake.
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

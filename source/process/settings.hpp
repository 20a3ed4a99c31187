#pragma once
// A node's own settings, from a file or flags. docs/design.md section 13.
#include <algorithm>

#include "base/json_structs.hpp"

namespace dockrock {

// What a deployment asks of the fleet; the limits in the code derive from these.
struct FleetBounds {
    Microseconds apply = 2 * one_second;          // an acknowledged configuration is in force
    Microseconds revoke = 5 * one_second;         // a key taken away is dead, everywhere
    Microseconds drain = 3 * one_second;          // a leaving replica gets nothing new
    Microseconds acknowledge = 4 * one_second;    // an operator's change is answered
    Microseconds contact = 3 * one_second;        // after trouble, until machines count as in touch
    Microseconds lease = 3 * one_second;          // between the orders of two holders
    Microseconds weights = 20 * one_second;       // named weights serve everywhere
    Microseconds stop = 20 * one_second;          // a polite stop takes at most
    Microseconds recover = 12 * one_second;       // service again after a total loss
    Microseconds address_reuse = 2 * one_second;  // an ended replica's address may serve another
    double retry_ratio = 0.2;
    Microseconds retry_window = 10 * one_second;
    std::int64_t retry_slack = 10;
    std::int64_t machines_lost = 1;  // with a disk, at once
};

struct NodeSettings {
    std::string fleet = "dockrock";
    std::string control_address;  // IP:port other nodes reach
    std::string http_address;     // IP:port callers and operators reach
    std::string control_listen;   // where it listens, if others reach it by another address
    std::string area;
    std::vector<std::string> seeds;
    std::string data_folder;          // present on core nodes only
    std::string platform_address;     // where the replica list is read
    std::int64_t core_count = 4;      // 0: not told; the fleet forms of the core nodes it finds
    std::string operator_key_sha256;  // where set, /control/ asks for this key
    std::string log_file;
    std::string log_level = "information";
    std::int64_t stop_limit_milliseconds = 20'000;
    std::int64_t stop_notice_milliseconds = 1'200;  // not ready, and still taking connections
    std::int64_t workers = 2;
    bool resting = true;                      // this node may be rested
    bool may_form = true;                     // a fleet that nobody knows may be formed by this node
    std::string front_address;                // for a fleet that relays requests: where clients come,
    std::string ready_address;                // where the platform asks whether they may,
    std::string operator_address;             // and where the operator calls; each may be empty
    std::string node_name;                    // in logs
    std::int64_t platform_calls = 50;         // a second, from all nodes together
    std::int64_t weights_at_once = 3;         // replicas of one service that load weights at a time
    std::int64_t load_relays_from = 0;        // nodes from which on load is told through relays; 0: never
    std::int64_t memory_limit_megabytes = 0;  // of resident memory; 0: not told
    std::int64_t descriptor_limit = 0;        // 0: not told
    std::vector<std::string> scheduling;      // NAME=VALUE: options of the scheduler (scheduling/options.hpp)
    FleetBounds bounds;
};

// What the code counts by, made of the bounds. docs/design.md sections 8.3, 10.4.
struct ProofLimits {
    Microseconds entry = 0;  // older: no new entry is granted
    Microseconds shed = 0;   // older: whoever waits is shed at once
};
auto proof_limits_of(FleetBounds const& bounds) -> ProofLimits;
// Older: what the configuration refuses may be allowed by a newer one that has to be in force (design 8.3).
auto refusal_limit_of(FleetBounds const& bounds) -> Microseconds;
// A node that stops takes requests that are read until this moment. Later ones might outlast the stop limit and be
// cut; refused at once, they run elsewhere.
inline constexpr Microseconds longest_stop_admission = 2'900 * one_millisecond;
inline auto stop_admission_end(Microseconds began, Microseconds limit) -> Microseconds {
    return began + std::min(longest_stop_admission, (limit - began) / 2);
}
auto most_extra_tries(FleetBounds const& bounds) -> double;  // stored on one node

auto check_settings(NodeSettings const& settings) -> Problems;
auto read_settings_file(std::string const& path, NodeSettings& into) -> Problems;
auto is_address(std::string const& text) -> bool;

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(
    dockrock::FleetBounds, apply, revoke, drain, acknowledge, contact, lease, weights, stop, recover, address_reuse,
    retry_ratio, retry_window, retry_slack, machines_lost);
BOOST_HANA_ADAPT_STRUCT(
    dockrock::NodeSettings, fleet, control_address, http_address, control_listen, area, seeds, data_folder,
    platform_address, core_count, operator_key_sha256, log_file, log_level, stop_limit_milliseconds,
    stop_notice_milliseconds, workers, resting, may_form, front_address, ready_address, operator_address, node_name,
    platform_calls, weights_at_once, load_relays_from, memory_limit_megabytes, descriptor_limit, scheduling, bounds);

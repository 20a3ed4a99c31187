#pragma once
// A node's own settings, from a file or flags. docs/design.md section 13.
#include <algorithm>

#include "base/json_structs.hpp"

namespace dockrock {

// The time bounds that a deployment requires of the fleet; limits in the code are derived from them.
struct FleetBounds {
    Microseconds apply = 2 * one_second;          // until an acknowledged configuration is in force
    Microseconds revoke = 5 * one_second;         // until a revoked key is refused everywhere
    Microseconds drain = 3 * one_second;          // until a draining replica gets no new requests
    Microseconds acknowledge = 4 * one_second;    // until an operator's change is answered
    Microseconds contact = 3 * one_second;        // after a failure, until machines count as connected again
    Microseconds lease = 3 * one_second;          // between the orders of two lease holders
    Microseconds weights = 20 * one_second;       // until named weights serve everywhere
    Microseconds stop = 20 * one_second;          // the longest graceful stop
    Microseconds recover = 12 * one_second;       // until service resumes after a total loss
    Microseconds address_reuse = 2 * one_second;  // after this an ended replica's address may belong to another one
    double retry_ratio = 0.2;
    Microseconds retry_window = 10 * one_second;
    std::int64_t retry_slack = 10;
    std::int64_t machines_lost = 1;  // machines with a disk that may be lost at once
};

struct NodeSettings {
    std::string fleet = "dockrock";
    std::string control_address;  // IP:port at which other nodes reach it
    std::string http_address;     // IP:port for callers and operators
    std::string control_listen;   // where it listens, if different from control_address
    std::string area;
    std::vector<std::string> seeds;
    std::string data_folder;          // present on core nodes only
    std::string platform_address;     // where it reads the replica list
    std::int64_t core_count = 4;      // 0: unknown; the fleet forms from the core nodes it finds
    std::string operator_key_sha256;  // if set, /control/ requires this key
    std::string log_file;
    std::string log_level = "information";
    std::int64_t stop_limit_milliseconds = 20'000;
    std::int64_t stop_notice_milliseconds = 1'200;  // reports not ready but still accepts connections
    std::int64_t workers = 2;
    bool resting = true;                      // the leader may put this node to rest
    bool may_form = true;                     // this node may form a new fleet if none is known
    std::string front_address;                // in a fleet that relays requests: for clients,
    std::string ready_address;                // for the platform's readiness checks,
    std::string operator_address;             // and for operators; each may be empty
    std::string node_name;                    // for logs; empty: http_address
    std::int64_t platform_calls = 50;         // a second, of all nodes together
    std::int64_t weights_at_once = 3;         // replicas of one service that load weights at once
    std::int64_t load_relays_from = 0;        // number of nodes from which load goes through relays; 0: never
    std::int64_t memory_limit_megabytes = 0;  // of resident memory; 0: unset
    std::int64_t descriptor_limit = 0;        // 0: unset
    std::vector<std::string> scheduling;      // NAME=VALUE: options of the scheduler (scheduling/options.hpp)
    FleetBounds bounds;
};

// Limits on the age of a proof, derived from the bounds. docs/design.md sections 8.3, 10.4.
struct ProofLimits {
    Microseconds entry = 0;  // with an older proof no request is admitted
    Microseconds shed = 0;   // with an older proof queued requests are shed at once
};
auto proof_limits_of(FleetBounds const& bounds) -> ProofLimits;
// With an older proof, a newer configuration that must be in force may allow what this one refuses (design 8.3).
auto refusal_limit_of(FleetBounds const& bounds) -> Microseconds;
// A stopping node admits requests that it reads before this time. Later ones might exceed the stop limit and be cut
// off; refused at once, they run elsewhere.
inline constexpr Microseconds longest_stop_admission = 2'900 * one_millisecond;
inline auto stop_admission_end(Microseconds began, Microseconds limit) -> Microseconds {
    return began + std::min(longest_stop_admission, (limit - began) / 2);
}
auto most_extra_tries(FleetBounds const& bounds) -> double;  // the largest retry budget stored on one node

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

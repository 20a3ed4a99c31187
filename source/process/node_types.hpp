#pragma once
// Types used by Node and its loops that do not depend on Node itself. docs/design.md section 14.
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "connection/http_client.hpp"
#include "consensus/saved_partition.hpp"

namespace dockrock {

// What the coroutine of a queued inference request waits on until a replica is assigned.
struct Slot {
    asio::steady_timer signal;
    bool ready = false;
    explicit Slot(asio::any_io_executor const& executor) : signal(executor, asio::steady_timer::time_point::max()) {}
};

// none: this node has no data folder. loading: the folder's contents are not known yet.
enum class DiskState : int { none, loading, failed, stalled, well };
inline constexpr auto disk_state_names =
    std::to_array<std::string_view>({"none", "loading", "failed", "stalled", "well"});
inline auto name_of(DiskState state) -> std::string_view { return disk_state_names[static_cast<std::size_t>(state)]; }

// The node's identity and partition states, as loaded from its disk.
struct DiskHolding {
    std::string identity;
    std::uint64_t incarnation = 1;
    bool had_state = false;
    std::vector<SavedPartition> partitions;
};

auto fresh_identity() -> std::string;

enum class RelayListener : int { front, ready, operators };

// A replica or store whose cache events are read.
struct CacheSource {
    std::string address;
    std::string area;
    bool store = false;
};

// The result of the check just before a try is sent. moved_on: the rules, list or proof it relies on have changed.
// forbidden: sending it would break an invariant.
enum class SendCheck : int { send, moved_on, forbidden };

// Why a node did not start.
struct StartFailure {
    std::string what;
};

// The node received a stop signal before its start completed.
struct StartCancelled {};

}  // namespace dockrock

#pragma once
// Types of the shell's parts that need nothing of the node itself. docs/design.md section 14.
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "connection/http_client.hpp"
#include "consensus/saved_partition.hpp"

namespace dockrock {

// A ticket's place while it waits for a replica.
struct Slot {
    asio::steady_timer signal;
    bool ready = false;
    explicit Slot(asio::any_io_executor const& executor) : signal(executor, asio::steady_timer::time_point::max()) {}
};

// none: this node has no data folder. loading: what it holds is not known yet.
enum class DiskState : int { none, loading, failed, stalled, well };
inline constexpr auto disk_state_names =
    std::to_array<std::string_view>({"none", "loading", "failed", "stalled", "well"});
inline auto name_of(DiskState state) -> std::string_view { return disk_state_names[static_cast<std::size_t>(state)]; }

// Who the disk says this node is, and what it held of the partitions.
struct DiskHolding {
    std::string identity;
    std::uint64_t incarnation = 1;
    bool had_state = false;
    std::vector<SavedPartition> partitions;
};

auto fresh_identity() -> std::string;

enum class RelayListener : int { front, ready, operators };

// A replica or store whose events are read.
struct CacheSource {
    std::string address;
    std::string area;
    bool store = false;
};

// Whether a try may be written: not where what it rests on moved on, nor where it would break an invariant.
enum class SendCheck : int { send, moved_on, forbidden };

// Why a node did not start.
struct StartFailure {
    std::string what;
};

// A node was told to end before it had started.
struct StartCancelled {};

}  // namespace dockrock

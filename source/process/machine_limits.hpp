#pragma once
// What the machine lets this process use, and what the process uses of it. docs/operators.md.
#include <cstdint>
#include <limits>

#include "process/settings.hpp"

namespace dockrock {

inline constexpr auto no_limit = std::numeric_limits<std::uint64_t>::max();

// Bytes and counts; `no_limit` where there is none. Source: the settings, getrlimit(2).
struct MachineLimits {
    std::uint64_t resident = no_limit;  // told by the settings; the others are the kernel's
    std::uint64_t address_space = no_limit;
    std::uint64_t data = no_limit;
    std::uint64_t stack = no_limit;
    std::uint64_t descriptors = no_limit;  // the smaller one of both
    std::uint64_t threads = no_limit;      // of all processes of this user

    // Bytes that this process may take at most.
    auto memory() const -> std::uint64_t;
};
auto machine_limits_of(NodeSettings const& settings) -> MachineLimits;

// Bytes and counts; 0 where the system does not tell. Source: /proc/self.
struct ProcessUse {
    std::uint64_t resident = 0;
    std::uint64_t resident_peak = 0;
    std::uint64_t address_space = 0;
    std::uint64_t data = 0;
    std::uint64_t threads = 0;
    std::uint64_t descriptors = 0;
};
auto process_use() -> ProcessUse;

// What a node shares out among those who call it: bytes and counts, `no_limit` where there is no limit. The rest of the
// memory is for the index, configurations and frames, and that of the descriptors for replicas, other nodes, the
// platform's questions and files. docs/CAPACITY.md.
struct NodeShares {
    std::uint64_t message_memory = no_limit;      // of messages that are held whole (base/memory_budget.hpp)
    std::uint64_t client_connections = no_limit;  // that may be open at once
};
// Cut from what the limits leave beside what is `in_use` by a node that has started.
auto node_shares(MachineLimits const& limits, ProcessUse const& in_use) -> NodeShares;

// For the log: limits that are set, and what is used.
auto write_limits(MachineLimits const& limits) -> json::object;
auto write_use(ProcessUse const& use) -> json::object;

}  // namespace dockrock

#pragma once
// Resource limits of this process and its present use. docs/operators.md.
#include <cstdint>
#include <limits>

#include "process/settings.hpp"

namespace dockrock {

inline constexpr auto no_limit = std::numeric_limits<std::uint64_t>::max();

// Bytes and counts; `no_limit` if there is none. Source: the settings, getrlimit(2).
struct MachineLimits {
    std::uint64_t resident = no_limit;  // from the settings; the others are the kernel's
    std::uint64_t address_space = no_limit;
    std::uint64_t data = no_limit;
    std::uint64_t stack = no_limit;
    std::uint64_t descriptors = no_limit;  // the smaller one of the two sources
    std::uint64_t threads = no_limit;      // of all processes of this user

    // Bytes that this process may use at most.
    auto memory() const -> std::uint64_t;
};
auto machine_limits_of(NodeSettings const& settings) -> MachineLimits;

// Bytes and counts; 0 if the system does not report one. Source: /proc/self.
struct ProcessUse {
    std::uint64_t resident = 0;
    std::uint64_t resident_peak = 0;
    std::uint64_t address_space = 0;
    std::uint64_t data = 0;
    std::uint64_t threads = 0;
    std::uint64_t descriptors = 0;
};
auto process_use() -> ProcessUse;

// What a node makes available to its clients: bytes and counts, `no_limit` if there is no limit. The rest of the
// memory is for the index, configurations and frames; the rest of the descriptors is for replicas, other nodes, the
// platform's requests and files. docs/CAPACITY.md.
struct NodeShares {
    std::uint64_t message_memory = no_limit;      // for buffered messages (base/memory_budget.hpp)
    std::uint64_t client_connections = no_limit;  // open at the same time
};
// Computed from what the limits leave after the use (`in_use`) of a node that has started.
auto node_shares(MachineLimits const& limits, ProcessUse const& in_use) -> NodeShares;

// For the log: the limits that are set, and the present use.
auto write_limits(MachineLimits const& limits) -> json::object;
auto write_use(ProcessUse const& use) -> json::object;

}  // namespace dockrock

#pragma once
// Connections to replicas, kept and used again: by the replica's life, checked
// before use, given up when their time or their replica ends. docs/platform.md
// section 5. Touched on the one thread of a relaying node.
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "connection/http_client.hpp"

namespace dockrock {

struct ReplicaConnection {
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    Microseconds idle_since = 0;
    Microseconds idle_limit = 0;
    explicit ReplicaConnection(asio::any_io_executor executor) : stream(std::move(executor)) {}
};
using ReplicaConnectionPointer = std::unique_ptr<ReplicaConnection>;

struct ReplicaPool {
    static constexpr auto most_idle = std::size_t{64};  // of one replica
    std::unordered_map<std::string, std::vector<ReplicaConnectionPointer>> idle;
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    std::uint64_t dropped = 0;  // found closed, or with bytes that belong to no request

    // An idle connection that is still good; none: open one.
    auto take(std::string const& replica, Microseconds now) -> ReplicaConnectionPointer;
    auto give_back(std::string const& replica, ReplicaConnectionPointer connection, Microseconds now) -> void;
    // Those of replicas that are gone, and those whose time is over.
    auto sweep(std::set<std::string> const& replicas, Microseconds now) -> void;
};

// A new connection; nothing where it can't be had in time. A peer that says
// nothing any more is noticed by probes of the system's own.
auto connect_to(std::string address, Microseconds limit) -> awaitable<ReplicaConnectionPointer>;
auto probe_silence(tcp::socket& socket) -> void;

}  // namespace dockrock

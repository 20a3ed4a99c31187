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
    Microseconds rested = 0;  // how long it was idle before it was taken
    explicit ReplicaConnection(asio::any_io_executor executor) : stream(std::move(executor)) {}
};
using ReplicaConnectionPointer = std::unique_ptr<ReplicaConnection>;

struct ReplicaPool {
    static constexpr Microseconds longest_rest = 600 * one_second;
    static constexpr Microseconds least_rest = 40 * one_millisecond;
    static constexpr Microseconds rest_memory = 20 * one_second;
    static constexpr auto most_idle = std::size_t{64};  // of one replica
    std::unordered_map<std::string, std::vector<ReplicaConnectionPointer>> idle;
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    std::uint64_t dropped = 0;               // found closed, or with bytes that belong to no request
    Microseconds rest_limit = longest_rest;  // learned; back to the longest at `rest_limit_ends`
    Microseconds rest_limit_ends = 0;

    // An idle connection that is still good; none: open one.
    auto take(std::string const& replica, Microseconds now) -> ReplicaConnectionPointer;
    auto give_back(std::string const& replica, ReplicaConnectionPointer connection, Microseconds now) -> void;
    // A connection that had rested so long was reset as soon as it was used again: its replica
    // had forgotten it without notice. Others are not left to rest that long for a while.
    auto forgotten(Microseconds rested, Microseconds now) -> void;
    // Those of replicas that are gone, and those whose time is over.
    auto sweep(std::set<std::string> const& replicas, Microseconds now) -> void;
};

// How long the other end keeps an idle connection, as the value of its `Keep-Alive` says, less a margin.
auto advertised_idle_limit(std::string_view keep_alive) -> Microseconds;

// A new connection; nothing where it can't be had in time. A peer that says
// nothing any more is noticed by probes of the system's own.
auto connect_to(std::string address, Microseconds limit) -> awaitable<ReplicaConnectionPointer>;
auto probe_silence(tcp::socket& socket) -> void;

}  // namespace dockrock

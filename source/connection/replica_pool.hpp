#pragma once
// Pool of idle connections to replicas, per replica instance: checked before reuse, closed when their idle limit
// passes or the replica is gone. docs/platform.md section 5. Used only on the single thread of a relaying node.
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
    Microseconds idle_before_reuse = 0;  // idle time before it was taken from the pool
    explicit ReplicaConnection(asio::any_io_executor executor) : stream(std::move(executor)) {}
};
using ReplicaConnectionPointer = std::unique_ptr<ReplicaConnection>;

struct ReplicaPool {
    static constexpr Microseconds max_idle_time = 600 * one_second;
    static constexpr Microseconds min_idle_time = 40 * one_millisecond;
    static constexpr Microseconds learned_limit_lifetime = 20 * one_second;
    static constexpr auto max_idle_connections = std::size_t{64};  // per replica
    std::unordered_map<std::string, std::vector<ReplicaConnectionPointer>> idle;
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    std::uint64_t dropped = 0;                        // expired, closed by the peer, or with unsolicited bytes
    Microseconds learned_idle_limit = max_idle_time;  // learned; reset to the maximum at `learned_limit_ends_at`
    Microseconds learned_limit_ends_at = 0;

    // A usable idle connection; nullptr if there is none.
    auto take(std::string const& replica, Microseconds now) -> ReplicaConnectionPointer;
    auto give_back(std::string const& replica, ReplicaConnectionPointer connection, Microseconds now) -> void;
    // Records that a connection was reset at its first reuse after this idle time: the replica side had dropped it
    // without closing it. For the next 20 s, connections idle for half of that time or longer are not reused; the limit
    // is never below 40 ms.
    auto record_stale_connection(Microseconds idle_before_reuse, Microseconds now) -> void;
    // Closes expired connections, and those to replicas that are not in `replicas`.
    auto sweep(std::set<std::string> const& replicas, Microseconds now) -> void;
};

// How long the peer keeps an idle connection, from its `Keep-Alive` header, less one second or half of that time,
// whichever is shorter; 4 s if the header gives no timeout.
auto advertised_idle_limit(std::string_view keep_alive) -> Microseconds;

// Opens a connection with keepalive probes; nullptr if that fails or takes longer than `limit`.
auto connect_to(std::string address, Microseconds limit) -> awaitable<ReplicaConnectionPointer>;
// Disables Nagle's algorithm and enables TCP keepalive probes and a user timeout, so that the system detects an
// unresponsive peer within about 4 s.
auto enable_keepalive_probes(tcp::socket& socket) -> void;

}  // namespace dockrock

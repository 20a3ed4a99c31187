#include "connection/replica_pool.hpp"

#include <netinet/tcp.h>

#include <charconv>

namespace dockrock {

auto enable_keepalive_probes(tcp::socket& socket) -> void {
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    auto const set = [&](int option, int value) {
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof value);
    };
    set(TCP_KEEPIDLE, 1);
    set(TCP_KEEPINTVL, 1);
    set(TCP_KEEPCNT, 3);
    set(TCP_USER_TIMEOUT, 4'000);
}

auto ReplicaPool::take(std::string const& replica, Microseconds now) -> ReplicaConnectionPointer {
    if (now >= learned_limit_ends_at) learned_idle_limit = max_idle_time;
    auto const found = idle.find(replica);
    if (found == idle.end()) return nullptr;
    auto& list = found->second;
    while (!list.empty()) {
        auto connection = std::move(list.back());
        list.pop_back();
        connection->idle_before_reuse = now - connection->idle_since;
        if (connection->idle_before_reuse < std::min(connection->idle_limit, learned_idle_limit) &&
            is_open_and_idle(connection->stream.socket())) {
            ++reused;
            return connection;
        }
        ++dropped;
    }
    return nullptr;
}

namespace {
constexpr auto max_advertised_seconds = std::int64_t{3'600};
}  // namespace

auto advertised_idle_limit(std::string_view text) -> Microseconds {
    auto const place = text.find("timeout=");
    if (place == std::string_view::npos) return 4 * one_second;
    auto seconds = std::int64_t{0};
    std::from_chars(text.data() + place + 8, text.data() + text.size(), seconds);
    seconds = std::clamp<std::int64_t>(seconds, 0, max_advertised_seconds);
    return seconds * one_second - std::min<Microseconds>(one_second, seconds * one_second / 2);
}

auto ReplicaPool::record_stale_connection(Microseconds idle_before_reuse, Microseconds now) -> void {
    if (now >= learned_limit_ends_at) learned_idle_limit = max_idle_time;
    learned_idle_limit = std::min(learned_idle_limit, std::max(min_idle_time, idle_before_reuse / 2));
    learned_limit_ends_at = now + learned_limit_lifetime;
}

auto ReplicaPool::give_back(std::string const& replica, ReplicaConnectionPointer connection, Microseconds now) -> void {
    auto& list = idle[replica];
    if (list.size() >= max_idle_connections || connection->buffer.size() > 0) return;
    connection->idle_since = now;
    connection->stream.expires_never();
    list.push_back(std::move(connection));
}

auto ReplicaPool::sweep(std::set<std::string> const& replicas, Microseconds now) -> void {
    for (auto place = idle.begin(); place != idle.end();) {
        auto& list = place->second;
        std::erase_if(
            list, [&](auto const& connection) { return now - connection->idle_since >= connection->idle_limit; });
        if (list.empty() || !replicas.contains(place->first)) place = idle.erase(place);
        else ++place;
    }
}

auto connect_to(std::string address, Microseconds limit) -> awaitable<ReplicaConnectionPointer> {
    auto const endpoint = endpoint_of(address);
    if (!endpoint) co_return nullptr;
    auto connection = std::make_unique<ReplicaConnection>(co_await asio::this_coro::executor);
    connection->stream.expires_after(std::chrono::microseconds(limit));
    auto const [failure] = co_await connection->stream.async_connect(*endpoint, use_tuple);
    if (failure) co_return nullptr;
    enable_keepalive_probes(connection->stream.socket());
    co_return connection;
}

}  // namespace dockrock

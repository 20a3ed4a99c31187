#include "connection/replica_pool.hpp"

#include <netinet/tcp.h>

#include <charconv>

namespace dockrock {

auto probe_silence(tcp::socket& socket) -> void {
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
    if (now >= rest_limit_ends) rest_limit = longest_rest;
    auto const found = idle.find(replica);
    if (found == idle.end()) return nullptr;
    auto& list = found->second;
    while (!list.empty()) {
        auto connection = std::move(list.back());
        list.pop_back();
        connection->rested = now - connection->idle_since;
        if (connection->rested < std::min(connection->idle_limit, rest_limit) &&
            is_quiet(connection->stream.socket())) {
            ++reused;
            return connection;
        }
        ++dropped;
    }
    return nullptr;
}

namespace {
constexpr auto longest_told_seconds = std::int64_t{3'600};
}  // namespace

auto advertised_idle_limit(std::string_view text) -> Microseconds {
    auto const place = text.find("timeout=");
    if (place == std::string_view::npos) return 4 * one_second;
    auto seconds = std::int64_t{0};
    std::from_chars(text.data() + place + 8, text.data() + text.size(), seconds);
    seconds = std::clamp<std::int64_t>(seconds, 0, longest_told_seconds);
    return seconds * one_second - std::min<Microseconds>(one_second, seconds * one_second / 2);
}

auto ReplicaPool::forgotten(Microseconds rested, Microseconds now) -> void {
    if (now >= rest_limit_ends) rest_limit = longest_rest;
    rest_limit = std::min(rest_limit, std::max(least_rest, rested / 2));
    rest_limit_ends = now + rest_memory;
}

auto ReplicaPool::give_back(std::string const& replica, ReplicaConnectionPointer connection, Microseconds now) -> void {
    auto& list = idle[replica];
    if (list.size() >= most_idle || connection->buffer.size() > 0) return;
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
    probe_silence(connection->stream.socket());
    co_return connection;
}

}  // namespace dockrock

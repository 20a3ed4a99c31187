// Reads a client's requests and answers those that cannot be read. docs/platform.md section 4.
#include "connection/lingering_close.hpp"
#include "connection/message_reader.hpp"
#include "connection/relay_session.hpp"
#include "connection/replica_pool.hpp"
#include "process/spawn.hpp"

namespace dockrock {

namespace {

constexpr Microseconds max_timeout = 24 * 3'600 * one_second;  // upper bound for configured timeouts
constexpr auto first_read_bytes = std::size_t{4U << 10U};
constexpr auto body_read_bytes = std::size_t{64U << 10U};

}  // namespace

auto RelaySession::serve() -> awaitable<void> {
    enable_keepalive_probes(client.socket());
    while (!node.finished) {
        auto const limits = [&] {
            auto const current = node.snapshot.load();
            return current->rules->services ? current->rules->services->document.limits : RequestLimits{};
        }();
        if (buffer.size() == 0 && !co_await await_request(limits)) co_return;
        auto room = MemoryReservation(node.message_memory);
        auto parser = RequestParser();
        parser.count_in(room);
        if (auto const failure = co_await read_request(limits, parser); failure) {
            co_await answer_read_error(failure);
            co_return;
        }
        release_buffer(buffer, parser);
        auto const request = parser.release();
        auto const counted = CountedScope(node.open_requests);
        if (!co_await handle(request)) break;
    }
    boost::system::error_code ignored;
    client.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

// An idle connection holds only a small buffer; a stopping node closes it after 300 ms.
auto RelaySession::await_request(RequestLimits const& limits) -> awaitable<bool> {
    buffer = beast::flat_buffer();
    client.expires_after(std::chrono::microseconds(
        node.stopping ? 300 * one_millisecond : std::clamp(limits.idle_time, one_second, max_timeout)));
    auto const [failure, size] = co_await client.async_read_some(buffer.prepare(first_read_bytes), use_tuple);
    if (failure) co_return false;
    buffer.commit(size);
    co_return true;
}

auto RelaySession::read_request(RequestLimits const& limits, RequestParser& parser)
    -> awaitable<boost::system::error_code> {
    parser.body_limit(static_cast<std::uint64_t>(limits.body_bytes));
    parser.limit_head(head_limit(limits.header_bytes));
    client.expires_after(std::chrono::microseconds(std::min(limits.header_time, max_timeout)));
    if (auto const failure = co_await read_head(client, buffer, parser); failure) co_return failure;
    if (parser.is_done()) co_return boost::system::error_code();
    if (beast::iequals(parser.get()[http::field::expect], "100-continue"))
        co_await write_all("HTTP/1.1 100 Continue\r\n\r\n");
    make_body_buffer(parser);
    client.expires_after(std::chrono::microseconds(std::min(limits.idle_time, max_timeout)));
    co_return co_await read_whole(client, buffer, parser);
}

// Enlarges the read buffer to the rest of the body, 64 KiB at most; without memory for that, the head's buffer is used.
auto RelaySession::make_body_buffer(RequestParser& parser) -> void {
    auto const left = parser.content_length_remaining();
    auto const wanted =
        static_cast<std::size_t>(std::min<std::uint64_t>(left.value_or(body_read_bytes), body_read_bytes));
    if (wanted > buffer.capacity() && parser.hold_buffer(wanted)) buffer.reserve(wanted);
}

// Answers a request that could not be read completely, if the error leaves a client that can receive the answer.
auto RelaySession::answer_read_error(boost::system::error_code failure) -> awaitable<void> {
    auto bad = HttpRequest(http::verb::get, "/", 11);
    bad.keep_alive(false);
    if (failure == boost::system::errc::not_enough_memory) {
        ++node.counters.shed;
        co_await refuse(bad, 503, "no room for the request now", short_retry_after);
        co_return co_await close_lingering(client);
    }
    if (failure == http::error::body_limit) co_await refuse(bad, 413, "the body is too large");
    else if (failure == http::error::header_limit) co_await refuse(bad, 431, "the head is too large");
    else if (failure == beast::error::timeout) co_await refuse(bad, 408, "the request did not arrive in time");
    else if (is_malformed(failure)) co_await refuse(bad, 400, "not HTTP/1.1");
    boost::system::error_code ignored;
    client.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

}  // namespace dockrock

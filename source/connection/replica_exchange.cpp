#include "connection/replica_exchange.hpp"

#include "process/clock.hpp"

namespace dockrock {

using namespace asio::experimental::awaitable_operators;

namespace {

// Whether unread bytes, an end of stream or an error are pending.
auto readable(tcp::socket& socket) -> bool {
    auto byte = char{};
    auto const size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

auto left_until(Microseconds until) -> std::chrono::microseconds {
    return std::chrono::microseconds(std::max<Microseconds>(one_millisecond, until - clock_now()));
}

auto wait_to_write_or_read(tcp::socket& socket, Microseconds until) -> awaitable<void> {
    auto timer = asio::steady_timer(co_await asio::this_coro::executor, left_until(until));
    co_await (
        socket.async_wait(tcp::socket::wait_write, use_tuple) || socket.async_wait(tcp::socket::wait_read, use_tuple) ||
        timer.async_wait(use_tuple));
}

auto head_end_of(boost::system::error_code const& failure) -> ReplicaExchange::HeadEnd {
    if (failure == beast::error::timeout) return ReplicaExchange::HeadEnd::timed_out;
    return is_malformed(failure) ? ReplicaExchange::HeadEnd::malformed : ReplicaExchange::HeadEnd::broke;
}

}  // namespace

auto ReplicaExchange::bytes_written() const -> BytesWritten {
    if (written == 0) return BytesWritten::none;
    if (written < request.head.size()) return BytesWritten::part_of_head;
    return written < request_size() ? BytesWritten::head : BytesWritten::whole;
}

auto ReplicaExchange::reusable() const -> bool {
    return written == request_size() && !write_failed && parser && parser->is_done() && !parser->need_eof() &&
        parser->get().keep_alive;
}

auto ReplicaExchange::write_some() -> boost::system::error_code {
    boost::system::error_code failure;
    auto const of_head = std::min(written, request.head.size());
    auto const parts = std::array<asio::const_buffer, 2>{
        asio::buffer(request.head) + of_head,
        asio::buffer(request.body.data(), request.body.size()) + (written - of_head)};
    written += connection.stream.socket().write_some(parts, failure);
    return failure;
}

auto ReplicaExchange::send_more(Microseconds until) -> awaitable<void> {
    auto& socket = connection.stream.socket();
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    while (!write_failed && written < request_size()) {
        if (written > 0 && readable(socket)) co_return;
        if (auto const failure = write_some(); failure == asio::error::would_block) {
            if (clock_now() >= until) co_return;
            co_await wait_to_write_or_read(socket, until);
        } else if (failure) {
            write_failed = true;  // an early response may still be readable
        }
    }
}

auto ReplicaExchange::read_one_head(Microseconds until) -> awaitable<boost::system::error_code> {
    parser.emplace();
    parser->body_limit(boost::none);  // the body is streamed, not stored
    parser->limit_head(header_bytes);
    if (request.head_only) parser->skip(true);
    connection.stream.expires_after(left_until(until));
    co_return co_await read_head(connection.stream, connection.buffer, *parser);
}

auto ReplicaExchange::is_own() const -> bool { return parser->get()[request.identity_field] == request.identity; }

auto ReplicaExchange::skip_unmatched_answer() -> awaitable<bool> {
    ++unmatched_answers;
    parser->limit_stored_body(stored_body_bytes);
    auto const failure = co_await read_whole(connection.stream, connection.buffer, *parser);
    co_return !failure && !parser->need_eof();
}

auto ReplicaExchange::read_own_head(Microseconds until) -> awaitable<HeadEnd> {
    while (true) {
        if (connection.buffer.size() == 0) co_await send_more(until);
        if (auto const failure = co_await read_one_head(until); failure) co_return head_end_of(failure);
        if (!is_interim(parser->get().status)) {
            if (is_own()) co_return HeadEnd::own_answer;
            if (!co_await skip_unmatched_answer()) co_return HeadEnd::broke;
        }
        if (clock_now() >= until) co_return HeadEnd::timed_out;  // even while more input arrives
    }
}

}  // namespace dockrock

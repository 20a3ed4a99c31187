#include "connection/http_client.hpp"

#include <charconv>

#include "connection/message_reader.hpp"

namespace dockrock {

namespace {

constexpr auto answer_body_limit = std::uint64_t{16U << 20U};  // bytes

auto read_answer(beast::tcp_stream& stream, beast::flat_buffer& buffer, std::optional<AnswerParser>& parser)
    -> awaitable<boost::system::error_code> {
    auto const failure = co_await read_final_head(stream, buffer, parser, answer_body_limit);
    if (failure) co_return failure;
    co_return co_await read_whole(stream, buffer, *parser);
}

}  // namespace

auto endpoint_of(std::string const& address) -> std::optional<tcp::endpoint> {
    auto const colon = address.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    boost::system::error_code failure;
    auto const host = asio::ip::make_address(address.substr(0, colon), failure);
    auto port = 0;
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    if (failure || port < 1 || port > 65'535) return std::nullopt;
    return tcp::endpoint(host, static_cast<std::uint16_t>(port));
}

auto make_request(HttpCall const& call, std::string const& address) -> http::request<http::string_body> {
    auto request = http::request<http::string_body>(call.method, call.target, 11);
    request.set(http::field::host, address);
    if (!call.body.empty()) request.set(http::field::content_type, call.content_type);
    for (auto const& [name, value] : call.headers) request.set(name, value);
    request.body() = call.body;
    request.prepare_payload();
    return request;
}

auto is_open_and_idle(tcp::socket& socket) -> bool {
    auto byte = char{};
    auto const size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

auto HttpConnection::close() -> void {
    boost::system::error_code ignored;
    stream.socket().close(ignored);
    buffer.clear();
    open = false;
}

auto HttpConnection::ensure_open(std::string address, Microseconds limit) -> awaitable<bool> {
    if (open) co_return true;
    auto const endpoint = endpoint_of(address);
    if (!endpoint) co_return false;
    stream.expires_after(std::chrono::microseconds(limit));
    if (auto const [failure] = co_await stream.async_connect(*endpoint, use_tuple); failure) {
        close();
        co_return false;
    }
    boost::system::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    open = true;
    used = false;
    co_return true;
}

auto HttpConnection::call(std::string address, HttpCall wanted, Microseconds limit) -> awaitable<HttpAnswer> {
    HttpAnswer answer;
    auto const endpoint = endpoint_of(address);
    if (!endpoint) co_return answer;
    if (open && (buffer.size() > 0 || !is_open_and_idle(stream.socket()))) {
        auto const opened_for_this = !used;  // the decision made when it was opened may be outdated: do not reconnect
        close();
        if (opened_for_this) co_return answer;
    }
    stream.expires_after(std::chrono::microseconds(limit));
    if (!co_await ensure_open(address, limit)) co_return answer;
    used = true;
    auto const request = make_request(wanted, address);
    answer.end = CallEnd::no_answer;  // from here on the peer may receive the call
    if (auto const [failure, size] = co_await http::async_write(stream, request, use_tuple); failure) {
        close();
        co_return answer;
    }
    auto parser = std::optional<AnswerParser>();
    if (auto const failure = co_await read_answer(stream, buffer, parser); failure) {
        close();
        co_return answer;
    }
    auto& message = parser->get();
    answer.end = CallEnd::answered;
    answer.status = message.status;
    answer.content_type = std::string(message[http::field::content_type]);
    answer.etag = std::string(message[http::field::etag]);
    answer.body = std::move(message.body);
    if (!message.keep_alive) close();
    else stream.expires_never();
    co_return answer;
}

auto http_call(std::string address, HttpCall wanted, Microseconds limit) -> awaitable<HttpAnswer> {
    auto connection = HttpConnection(co_await asio::this_coro::executor);
    auto answer = co_await connection.call(std::move(address), std::move(wanted), limit);
    connection.close();
    co_return answer;
}

auto http_call_and_wait(std::string const& address, HttpCall call, std::string const& key) -> HttpAnswer {
    if (!key.empty()) call.headers.emplace_back("Authorization", "Bearer " + key);
    auto context = asio::io_context(1);
    auto answer = HttpAnswer();
    asio::co_spawn(
        context, http_call(address, std::move(call), 8 * one_second),
        [&](std::exception_ptr failure, HttpAnswer result) {
            if (!failure) answer = std::move(result);
        });
    context.run();
    return answer;
}

}  // namespace dockrock

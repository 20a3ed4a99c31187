#pragma once
// HTTP/1.1 client for calls to back ends, built on Boost.Beast. docs/design.md section 9.7.
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <string>

#include "base/basics.hpp"

namespace dockrock {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::ip::tcp;
inline constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

// A request to a back end. The content type is sent only with a body.
struct HttpCall {
    http::verb method = http::verb::get;
    std::string target;
    std::string body;
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
};
// Builds a call outside of the co_await expression: the compiler we build with destroys braced temporaries inside a
// co_await twice.
inline auto make_http_call(http::verb method, std::string target, std::string body = std::string()) -> HttpCall {
    HttpCall call;
    call.method = method;
    call.target = std::move(target);
    call.body = std::move(body);
    return call;
}
enum class CallEnd : int {
    not_sent,   // nothing was written
    no_answer,  // timeout, broken connection or malformed response: the peer may have processed the call
    answered,
};
struct HttpAnswer {
    CallEnd end = CallEnd::not_sent;
    int status = 0;  // valid only if `end` is `answered`
    std::string body;
    std::string content_type;
    std::string etag;
};

// Parses "IP:PORT"; nothing if either part is invalid. Host names are not resolved.
auto endpoint_of(std::string const& address) -> std::optional<tcp::endpoint>;
auto make_request(HttpCall const& call, std::string const& address) -> http::request<http::string_body>;

// Whether the socket is open and has no unread bytes: only then can an idle connection be reused. Unread bytes cannot
// be the response to a call that has not been sent yet.
auto is_open_and_idle(tcp::socket& socket) -> bool;

// A persistent connection for several calls; reopened if it was lost or holds unsolicited bytes.
struct HttpConnection {
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool open = false;
    bool used = false;  // at least one call was sent on it
    explicit HttpConnection(asio::any_io_executor executor) : stream(std::move(executor)) {}
    // Connects if the connection is not open, so that a caller can make its final decision right before `call`.
    auto ensure_open(std::string address, Microseconds limit) -> awaitable<bool>;
    // Sends a call. `not_sent` if the connection was lost between `ensure_open` and its first call: it is not reopened
    // then, since the caller's decision may be outdated.
    auto call(std::string address, HttpCall wanted, Microseconds limit) -> awaitable<HttpAnswer>;
    auto close() -> void;
};

// Makes one call on a new connection and closes it.
auto http_call(std::string address, HttpCall wanted, Microseconds limit) -> awaitable<HttpAnswer>;

// Blocking call for command-line programs; a non-empty key is sent as a bearer token.
auto http_call_and_wait(std::string const& address, HttpCall call, std::string const& key) -> HttpAnswer;

}  // namespace dockrock

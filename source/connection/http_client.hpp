#pragma once
// HTTP/1.1 calls to back ends, through Beast. docs/design.md section 9.7.
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

struct HttpCall {
    http::verb method = http::verb::get;
    std::string target;
    std::string body;
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
};
// A named maker: braced temporaries inside a co_await are destroyed twice by
// the compiler we build with, so calls are made before they are awaited.
inline auto http_ask(http::verb method, std::string target, std::string body = std::string()) -> HttpCall {
    HttpCall call;
    call.method = method;
    call.target = std::move(target);
    call.body = std::move(body);
    return call;
}
enum class CallEnd : int {
    not_sent,   // nothing was written
    no_answer,  // silence, a broken connection, or what is no answer: the call may have been taken
    answered,
};
struct HttpAnswer {
    CallEnd end = CallEnd::not_sent;
    int status = 0;  // where it was answered
    std::string body;
    std::string content_type;
    std::string etag;
};

auto endpoint_of(std::string const& address) -> std::optional<tcp::endpoint>;
auto make_request(HttpCall const& call, std::string const& address) -> http::request<http::string_body>;

// Nothing to read and not closed: the only state in which an idle connection is
// good. Bytes that wait there belong to no call that is still to be made.
auto is_quiet(tcp::socket& socket) -> bool;

// One connection kept for several calls; reopened where it was lost or holds
// bytes that no call asked for.
struct HttpConnection {
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool open = false;
    bool used = false;  // a call has been made on it
    explicit HttpConnection(asio::any_io_executor executor) : stream(std::move(executor)) {}
    auto open_to(std::string address, Microseconds limit) -> awaitable<bool>;
    auto call(std::string address, HttpCall wanted, Microseconds limit) -> awaitable<HttpAnswer>;
    auto close() -> void;
};

auto http_call(std::string address, HttpCall wanted, Microseconds limit) -> awaitable<HttpAnswer>;

// For command lines: one call, waited for; the key goes along where given.
auto http_call_and_wait(std::string const& address, HttpCall call, std::string const& key) -> HttpAnswer;

}  // namespace dockrock

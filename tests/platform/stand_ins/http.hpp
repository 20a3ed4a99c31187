#pragma once
// HTTP as clients and the operator speak it, and a small server for the rest.
#include "common.hpp"

namespace dockrock::platform_stand_in {

using Headers = std::vector<std::pair<std::string, std::string>>;
struct Call {
    http::verb method = http::verb::get;
    std::string target;
    Headers headers;
    std::string body;
    bool chunked = false;
};
enum class Failure { none, not_connected, not_sent, cut, silent, malformed };
struct Reply {
    std::int64_t status = 0;
    std::map<std::string, std::string> headers;  // names in lower case
    std::string body;
    Failure failure = Failure::none;
    Milliseconds first = 0;  // when the first of the body came
    bool extra = false;      // more bytes than the answer
    bool keep = false;       // the connection may serve again
    bool reused = false;     // the connection had served before
};
auto header_of(Reply const& reply, std::string const& name) -> std::string;

struct Line {  // a client's connection
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    Milliseconds idle_until = 0;
};
using LinePointer = std::shared_ptr<Line>;

auto open_line(std::string address, Milliseconds limit) -> awaitable<LinePointer>;  // nothing: no connection
// Ends at `until`, or after a silence as long as `silence`.
auto exchange(LinePointer line, Call call, std::string host, Milliseconds until, Milliseconds silence)
    -> awaitable<Reply>;
// A call of its own connection; follows a redirection twice.
auto call_once(std::string address, Call call, Milliseconds limit) -> awaitable<Reply>;

using Handler = std::function<awaitable<std::pair<std::int64_t, json::object>>(Request)>;
auto serve_json(asio::io_context& context, std::string const& address, Handler handler) -> std::string;

}  // namespace dockrock::platform_stand_in

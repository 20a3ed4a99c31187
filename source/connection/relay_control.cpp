// Readiness endpoint and operator API in a relaying fleet. docs/platform.md section 6.
#include "connection/lingering_close.hpp"
#include "connection/message_reader.hpp"
#include "connection/node_call.hpp"
#include "connection/relay_session.hpp"
#include "connection/replica_pool.hpp"
#include "process/clock.hpp"
#include "process/pause.hpp"
#include "process/spawn.hpp"
#include "version/changes.hpp"

namespace dockrock {

namespace {

constexpr Microseconds accept_pause = 20 * one_millisecond;
constexpr auto call_limit = std::uint64_t{6} << 20U;

auto text(std::string_view from) -> std::string { return std::string(from); }

auto response_of(HttpRequest const& request, int status, std::string body) -> HttpResponse {
    auto response = HttpResponse(static_cast<http::status>(status), 11);
    response.set(http::field::content_type, "application/json");
    if (status == 503) response.set(http::field::retry_after, "0.3");
    response.keep_alive(request.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    if (request.method() == http::verb::head) response.body().clear();  // its Content-Length stays
    return response;
}

auto error_text(char const* what) -> std::string { return json::serialize(fields("error", what)); }

auto operator_answer(Node& node, HttpRequest const& request, MemoryReservation& room) -> awaitable<HttpResponse> {
    auto const& protocol = *node.protocol;
    auto const target = text(request.target().substr(0, request.target().find('?')));
    auto const method = request.method();
    Call call;
    if (target == protocol.configuration_path && method == http::verb::get) {
        call.partition = configuration_partition;
        call.operation = "get";
    } else if (target == protocol.configuration_path && (method == http::verb::put || method == http::verb::patch)) {
        call.partition = configuration_partition;
        call.operation = method == http::verb::put ? "put" : "patch";
        call.base = text(request[http::field::if_match]);
        call.body = request.body();
        call.identity = change_identity(call.operation, call.base, call.body);
    } else if (target == protocol.weights_path && method == http::verb::post) {
        auto const named = protocol.read_weights_named(request.body());
        if (!named) co_return response_of(request, 400, error_text("not a model and a version"));
        call.partition = partition_of_service(named->model);
        call.operation = "weights";
        call.body = json::serialize(fields(named->model.c_str(), named->version));
        call.identity = change_identity(call.operation, "", call.body);
    } else {
        auto const known = target == protocol.configuration_path || target == protocol.weights_path;
        co_return response_of(
            request, known ? 405 : 404, error_text(known ? "this path does not take that method" : "no such path"));
    }
    auto const reads = call.operation == "get";
    auto done = co_await node_call(node, std::move(call), room);
    if (done.status == 504) done.status = 503;  // outcome unknown; a retry of the same call returns it
    if (reads && done.status == 200 && done.body.empty())
        co_return response_of(request, 404, error_text("no configuration yet"));
    co_return response_of(request, done.status, std::move(done.body));
}

// Handles one request; the memory reserved in `room` is held until the response has been written.
using RequestHandler = std::function<awaitable<HttpResponse>(Node&, HttpRequest const&, MemoryReservation& room)>;

auto serve_calls(Node& node, tcp::socket socket, RequestHandler request_handler) -> awaitable<void> {
    auto stream = beast::tcp_stream(std::move(socket));
    enable_keepalive_probes(stream.socket());
    auto buffer = beast::flat_buffer();
    while (!node.finished) {
        auto room = MemoryReservation(node.message_memory);
        auto parser = RequestParser();
        parser.count_in(room);
        parser.body_limit(call_limit);
        stream.expires_after(std::chrono::seconds(20));
        if (auto const failure = co_await read_whole(stream, buffer, parser); failure) {
            auto const no_room = failure == boost::system::errc::not_enough_memory;
            if (failure != http::error::body_limit && !no_room) co_return;
            auto bad = HttpRequest(http::verb::put, "/", 11);
            bad.keep_alive(false);
            auto const response = no_room ? response_of(bad, 503, error_text("no room for the request now"))
                                          : response_of(bad, 413, error_text("the body is too large"));
            co_await http::async_write(stream, response, use_tuple);
            if (no_room) co_await close_lingering(stream);
            co_return;
        }
        release_buffer(buffer, parser);
        auto const request = parser.release();
        auto answer_room = MemoryReservation(node.message_memory);
        auto const response = co_await request_handler(node, request, answer_room);
        stream.expires_after(std::chrono::seconds(10));
        if (auto const [failure, size] = co_await http::async_write(stream, response, use_tuple); failure) co_return;
        if (!response.keep_alive()) co_return;
    }
}

auto ready_answer(Node& node, HttpRequest const& request, MemoryReservation&) -> awaitable<HttpResponse> {
    auto const ready = node.ready(clock_now());
    co_return response_of(request, ready ? 200 : 503, ready ? R"({"ready":true})" : R"({"ready":false})");
}

}  // namespace

auto serve_ready(Node& node, tcp::socket socket) -> awaitable<void> {
    co_await serve_calls(node, std::move(socket), ready_answer);
}

auto serve_operator(Node& node, tcp::socket socket) -> awaitable<void> {
    co_await serve_calls(node, std::move(socket), operator_answer);
}

auto Node::has_room_for_client() const -> bool {
    return static_cast<std::uint64_t>(client_connections.load()) < most_client_connections;
}

// At the connection limit, clients wait in the listen backlog. Readiness probes and operators are always accepted.
auto Node::relay_accept(tcp::acceptor& from, RelayListener listener) -> awaitable<void> {
    while (!finished) {
        if (listener == RelayListener::front && !has_room_for_client()) {
            co_await pause(accept_pause);
            continue;
        }
        auto [failure, socket] = co_await from.async_accept(use_tuple);
        if (failure && !from.is_open()) co_return;
        if (failure) {
            co_await pause(accept_pause);
            continue;
        }
        auto serve = [](Node& node, tcp::socket client) -> awaitable<void> {
            auto const counted = CountedScope(node.client_connections);
            auto session = RelaySession{node, beast::tcp_stream(std::move(client)), {}, {}};
            co_await session.serve();
        };
        auto const executor = context.get_executor();
        if (listener == RelayListener::ready)
            spawn_connection(counters, executor, serve_ready(*this, std::move(socket)));
        else if (listener == RelayListener::operators)
            spawn_connection(counters, executor, serve_operator(*this, std::move(socket)));
        else spawn_connection(counters, executor, serve(*this, std::move(socket)));
    }
}

}  // namespace dockrock

#include "connection/session.hpp"

#include "connection/message_reader.hpp"
#include "connection/replica_pool.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"
#include "process/spawn.hpp"

namespace dockrock {

using namespace asio::experimental::awaitable_operators;

namespace {

constexpr auto request_body_limit = std::uint64_t{17U << 20U};  // bytes
constexpr auto request_head_limit = std::uint32_t{16U << 10U};  // bytes

auto wait_for(std::chrono::milliseconds length) -> awaitable<void> {
    auto timer = asio::steady_timer(co_await asio::this_coro::executor, length);
    co_await timer.async_wait(use_tuple);
}

auto serve_socket(Node& node, tcp::socket socket) -> awaitable<void> {
    auto session = Session{node, std::move(socket), {}, 0};
    co_await session.serve();
}

}  // namespace

auto Node::accept_loop() -> awaitable<void> {
    while (!finished) {
        auto [failure, socket] = co_await acceptor->async_accept(asio::make_strand(context), use_tuple);
        if (failure && !acceptor->is_open()) co_return;
        if (failure) {
            co_await wait_for(std::chrono::milliseconds(20));
            continue;
        }
        auto const executor = socket.get_executor();
        spawn_connection(counters, executor, serve_socket(*this, std::move(socket)));
    }
}

auto Session::serve() -> awaitable<void> {
    enable_keepalive_probes(socket);
    while (!node.finished) {
        if (buffer.size() == 0) {  // idle between requests; a resting or stopping node closes it sooner
            auto const quick = node.stopping || node.resting_now;
            auto const idle = co_await (
                socket.async_wait(tcp::socket::wait_read, use_tuple) ||
                wait_for(std::chrono::milliseconds(quick ? 200 : 2'000)));
            if (idle.index() == 1) {
                if (node.stopping || node.resting_now) co_return;
                continue;
            }
        }
        auto room = MemoryReservation(node.message_memory);
        auto parser = RequestParser();
        parser.count_in(room);
        parser.body_limit(request_body_limit);
        parser.limit_head(request_head_limit);
        auto const counted = CountedScope(node.open_requests);
        auto const read = co_await (read_whole(socket, buffer, parser) || wait_for(std::chrono::seconds(10)));
        auto request = HttpRequest(http::verb::get, "/", 11);
        request.keep_alive(false);
        if (read.index() == 1) {
            co_await answer(request, 408, fields("error", "the request did not arrive in time", "outcome", "shed"));
            co_return;
        }
        auto const failure = std::get<0>(read);
        if (failure == http::error::body_limit || failure == http::error::header_limit) {
            co_await answer(
                request, failure == http::error::body_limit ? 413 : 431,
                fields("error", "the request is too large", "outcome", "shed"));
            co_return;
        }
        if (failure == boost::system::errc::not_enough_memory) {
            co_await shed(request, "no-room", 1);
            co_return;
        }
        if (is_malformed(failure)) {
            co_await answer(request, 400, fields("error", "not HTTP/1.1", "outcome", "shed"));
            co_return;
        }
        if (failure) co_return;
        release_buffer(buffer, parser);
        request = parser.release();
        auto const target = request.target();
        auto const own =
            target.starts_with("/control/") || target == "/health" || target == "/ready" || target == "/metrics";
        auto const usable = own ? co_await handle_control(request) : co_await handle_inference(request);
        if (!usable || !request.keep_alive()) break;
    }
    boost::system::error_code ignored;
    socket.shutdown(tcp::socket::shutdown_send, ignored);
}

auto Session::answer_text(HttpRequest const& request, int status, std::string body, std::string type, Headers headers)
    -> awaitable<bool> {
    auto response = HttpResponse(static_cast<http::status>(status), 11);
    response.set(http::field::content_type, type);
    for (auto const& [name, value] : headers) response.set(name, value);
    if (request_number != 0) response.set("Dockrock-Ticket", std::to_string(request_number));
    response.keep_alive(request.keep_alive() && !node.stopping && !node.resting_now);
    response.body() = std::move(body);
    response.prepare_payload();
    auto const written =
        co_await (http::async_write(socket, response, use_tuple) || wait_for(std::chrono::seconds(10)));
    if (written.index() == 1) co_return false;
    co_return !std::get<0>(std::get<0>(written)) && response.keep_alive();
}

auto Session::answer(HttpRequest const& request, int status, json::object body, Headers headers) -> awaitable<bool> {
    co_return co_await answer_text(request, status, json::serialize(body), "application/json", std::move(headers));
}

auto Session::shed(HttpRequest const& request, std::string reason, std::int64_t retry_after) -> awaitable<bool> {
    ++node.counters.shed;
    co_return co_await answer(
        request, 503, fields("outcome", "shed", "reason", reason, "retry_after_seconds", retry_after),
        retry_header(std::to_string(retry_after)));
}

auto Session::unknown(HttpRequest const& request, std::string reason) -> awaitable<bool> {
    ++node.counters.unknown;
    co_return co_await answer(request, 502, fields("outcome", "unknown", "reason", reason));
}

// Runs the interpreter in a oneTBB task, on the snapshot that is current when the task starts.
auto Session::interpret_now(HttpRequest const& request) -> awaitable<std::pair<Verdict, SnapshotPointer>> {
    auto arrival = IncomingRequest{
        std::string(request.method_string()),
        std::string(request.target()),
        "",
        request.body(),
        std::string(request["Tenant"]),
        clock_now()};
    auto const credentials = request[http::field::authorization];
    if (credentials.starts_with("Bearer ")) arrival.key = std::string(credentials.substr(7));
    auto const executor = co_await asio::this_coro::executor;
    co_return co_await asio::async_initiate<asio::use_awaitable_t<> const, void(std::pair<Verdict, SnapshotPointer>)>(
        [&](auto handler) {
            auto const shared = std::make_shared<decltype(handler)>(std::move(handler));
            node.interpret_in_turn([this, arrival, executor, shared] {
                auto const current = node.snapshot.load();
                auto result = std::pair(interpret(*current->rules, arrival), current);
                asio::post(executor, [shared, result = std::move(result)]() mutable {
                    std::move (*shared)(std::move(result));
                });
            });
        },
        asio::use_awaitable);
}

auto Session::handle_inference(HttpRequest const& request) -> awaitable<bool> {
    ++node.counters.tickets;
    // A node that has just started waits for its first configuration: at most 1.5 s, and only in its first 4 s.
    for (auto count = 0;
         count < 30 && node.snapshot.load()->rules->mappings.empty() && clock_now() - node.started_at < 4 * one_second;
         ++count)
        co_await wait_for(std::chrono::milliseconds(50));
    auto const proven = node.proven_at.load();
    auto [verdict, current] = co_await interpret_now(request);
    node.last_request_at = clock_now();
    if (verdict.kind == Verdict::Kind::answer) {
        if (!node.may_refuse(proven) || !node.refusal_leaves(verdict.status))
            co_return co_await shed(request, "not-fresh", 1);
        ++node.counters.refused;
        node.note_refusal(verdict.status, current->rules->sequence);
        auto body = fields("outcome", "shed", "error", verdict.reason);
        if (!verdict.problems.empty()) body["problems"] = write_problems(verdict.problems);
        auto headers = Headers();
        if (verdict.status == 503) headers.emplace_back("Retry-After", "1");
        co_return co_await answer(request, verdict.status, std::move(body), std::move(headers));
    }
    if (node.stopping) co_return co_await shed(request, "stopping", 1);
    auto const counted = CountedScope(node.open_inferences);
    auto const usable = verdict.kind == Verdict::Kind::forward
        ? co_await forward_application(request, std::move(verdict))
        : co_await run_inference(request, std::move(verdict), current->rules->sequence);
    request_number = 0;
    co_return usable;
}

auto Session::forward_application(HttpRequest const& request, Verdict verdict) -> awaitable<bool> {
    auto const current = node.snapshot.load();
    auto const age = node.proof_age(clock_now());
    if (age > node.proof_limit()) co_return co_await shed(request, "not-fresh", 1);
    if (!current->list.application) co_return co_await shed(request, "no-application", 5);
    auto call = make_http_call(request.method(), verdict.forward_path, request.body());
    call.content_type = std::string(request[http::field::content_type]);
    call.headers.emplace_back("Tenant", verdict.inference.tenant_path);
    auto const address = current->list.application->address;
    auto const result = co_await http_call(address, call, 5 * one_second);
    if (result.end != CallEnd::answered) {
        auto facts = TryFacts();
        if (result.end == CallEnd::no_answer) facts.written = BytesWritten::whole;
        auto limits = RetryLimits();
        limits.tries_left = 0;  // there is one application; it is called once
        if (retry::decide(retry::end_of(facts), RetryRequest{}, limits) == RetryDecision::refused)
            co_return co_await shed(request, "application-unreachable", 1);
        co_return co_await unknown(request, "application-broke");
    }
    ++node.counters.answered;
    auto type = result.content_type;
    if (type.empty()) type = "application/octet-stream";
    co_return co_await answer_text(request, result.status, result.body, type);
}

}  // namespace dockrock

// Sends a try, reads the head of its response, and derives its result. docs/platform.md section 5.
#include "connection/relay_try.hpp"

#include "process/clock.hpp"

namespace dockrock {

namespace {

constexpr Microseconds connect_limit = 600 * one_millisecond;
constexpr Microseconds stale_reset_window = 10 * one_millisecond;  // a reset this soon means that no work was begun

}  // namespace

auto RelayTry::result() -> TryResult {
    session.watch->on_gone = nullptr;
    if (client_left()) facts.client = ClientState::gone;
    if (exchange) {
        facts.written = exchange->bytes_written();
        node.counters.unmatched_answers += exchange->unmatched_answers;
    }
    TryResult made;
    made.end = retry::end_of(facts);
    made.reason = made.end == TryEnd::caller_gone ? "caller-gone" : reason;
    return made;
}

// Closes the replica connection when the client disconnects; that cancels the run.
auto RelayTry::close_when_client_leaves() -> void {
    session.watch->on_gone = [this] {
        boost::system::error_code ignored;
        if (connection) connection->stream.socket().close(ignored);
    };
}

// A reset discards data that the replica has not read yet; after an orderly close it would still read that data.
auto RelayTry::reset_on_close(bool wanted) -> void {
    boost::system::error_code ignored;
    connection->stream.socket().set_option(asio::socket_base::linger(wanted, 0), ignored);
}

// Opens a new connection if this request was sent to this replica before: on a pooled one, a late response to the
// earlier try could be taken for the response to this one.
auto RelayTry::connect() -> awaitable<bool> {
    auto const& placement = lifecycle.placement;
    auto const first_there = answer.tried.insert(placement.replica).second;
    if (first_there) connection = node.pool.take(placement.replica, clock_now());
    if (connection) {
        facts.connection = ConnectionUse::reused;
    } else {
        ++node.pool.opened;
        auto const limit = std::min<Microseconds>(connect_limit, lifecycle.inference.deadline - clock_now());
        connection = co_await connect_to(placement.address, std::max<Microseconds>(limit, one_millisecond));
    }
    if (!connection) {
        reason = "unreachable";
        co_return false;
    }
    facts.written = BytesWritten::none;
    co_return !session.check_client_left();
}

auto RelayTry::read_head() -> awaitable<bool> {
    auto const began = clock_now();
    auto const end = co_await exchange->read_own_head(std::min(deadline, begin_by));
    switch (end) {
        case ReplicaExchange::HeadEnd::own_answer: co_return true;
        case ReplicaExchange::HeadEnd::timed_out:
            reason = "deadline";
            record_recall();
            break;
        case ReplicaExchange::HeadEnd::malformed: reason = "no-answer"; break;
        case ReplicaExchange::HeadEnd::broke: reason = "replica-broke-before-its-answer"; break;
    }
    auto const now = clock_now();
    auto const immediate = end == ReplicaExchange::HeadEnd::broke && now - began < stale_reset_window;
    if (immediate && facts.connection == ConnectionUse::reused && !client_left())
        node.pool.record_stale_connection(connection->idle_before_reuse, now);
    co_return false;
}

auto RelayTry::give_back() -> void {
    session.watch->on_gone = nullptr;  // from here on another request may use the connection
    if (!exchange->reusable() || node.finished || client_left()) return;
    if (may_be_recalled()) reset_on_close(false);
    connection->idle_limit = advertised_idle_limit(exchange->parser->get()[http::field::keep_alive]);
    node.pool.give_back(lifecycle.placement.replica, std::move(connection), clock_now());
}

auto RelayTry::read_failure() -> awaitable<void> {
    auto& parser = *exchange->parser;
    auto const& message = parser.get();
    auto const status = message.status;
    auto const says_not_run = message.fields.find(node.protocol->headers.not_run) != nullptr || status == 421;
    connection->stream.expires_after(answer_timeout());
    parser.limit_stored_body(ReplicaExchange::stored_body_bytes);
    parser.count_in(answer.failure_room.emplace(node.message_memory));
    auto const failure = co_await read_whole(connection->stream, connection->buffer, parser);
    auto const not_run = says_not_run && !is_malformed(failure);  // a truncated body leaves the complete head valid
    facts.received = not_run ? Received::not_run : Received::cut_before_output;
    reason = not_run ? refusal_reason(status) : "replica-broke";
    if (failure) co_return;
    if (!not_run) {
        facts.received = retry::means_not_run(status) ? Received::unconfirmed_not_run : Received::failure;
        reason = "replica-failed";
    }
    if (facts.received == Received::failure) {
        answer.keep = request.keep_alive() && !node.stopping;
        answer.failure_head = head_for_client(message, false, message.body.size(), answer.keep) + message.body;
    }
    give_back();
}

auto RelaySession::send_try(
    HttpRequest const& request, RelayVerdict const& judged, RequestLifecycle& lifecycle, RelayAnswer& answer)
    -> awaitable<TryResult> {
    auto attempt = RelayTry{*this, request, *judged.route, lifecycle, answer, node};
    if (!co_await attempt.connect()) co_return attempt.result();
    attempt.close_when_client_leaves();
    if (auto const send_check = node.check_before_send(lifecycle); send_check != SendCheck::send) {
        attempt.reason = "moved-on";
        auto result = attempt.result();
        result.held_back = send_check == SendCheck::moved_on && result.end == TryEnd::not_written;
        co_return result;
    }
    auto const now = clock_now();
    auto const limits = node.work_limits_at(lifecycle.placement.replica, now);
    attempt.deadline = lifecycle.inference.deadline;
    attempt.begin_by = limits.begin_by;
    if (attempt.may_be_recalled()) attempt.reset_on_close(true);
    auto const& protocol = *node.protocol;
    auto const identity = request[protocol.headers.request_identity];
    auto exchange_request = ExchangeRequest();
    auto const time_left = std::min(lifecycle.inference.deadline, limits.end_by) - now;
    exchange_request.head = head_for_replica(protocol, request, judged, lifecycle, answer.events.last, time_left);
    exchange_request.body = request.body();
    exchange_request.identity_field = protocol.headers.request_identity;
    exchange_request.identity = identity;
    exchange_request.head_only = request.method() == http::verb::head;
    attempt.exchange.emplace(*attempt.connection, std::move(exchange_request));
    if (!co_await attempt.read_head()) co_return attempt.result();
    if (attempt.exchange->parser->get().status / 100 == 2) co_await attempt.relay_success();
    else co_await attempt.read_failure();
    co_return attempt.result();
}

}  // namespace dockrock

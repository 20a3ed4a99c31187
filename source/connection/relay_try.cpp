// One try of a relayed request: sent once, its answer passed on as it comes.
// docs/platform.md section 5.
#include "connection/chunk.hpp"
#include "connection/relay_session.hpp"
#include "connection/replica_exchange.hpp"
#include "process/clock.hpp"

namespace dockrock {

namespace {

constexpr Microseconds connect_limit = 600 * one_millisecond;
constexpr Microseconds silence_limit = 30 * one_second;
constexpr Microseconds forgotten_within = 10 * one_millisecond;  // a reset that fast follows no work
constexpr Microseconds past_deadline = 200 * one_millisecond;    // an answer under way may still come whole

// One try under way. Steps report what they saw into `facts`; the end and what
// follows it are derived from them alone.
struct RelayTry {
    RelaySession& session;
    HttpRequest const& request;
    Route const& route;
    Course& course;
    RelayAnswer& answer;
    Node& node;
    ReplicaConnectionPointer connection = {};
    std::optional<ReplicaExchange> exchange = {};
    TryFacts facts = {};
    std::string reason = {};
    Microseconds until = 0;
    bool output_seen = false;

    auto connect() -> awaitable<bool>;
    auto read_head() -> awaitable<bool>;
    auto pass_success() -> awaitable<void>;
    auto pass_pieces(std::string pending) -> awaitable<void>;
    auto read_pieces() -> awaitable<boost::system::error_code>;
    auto take_failure() -> awaitable<void>;
    auto note_output() -> void;
    auto close_when_client_leaves() -> void;
    auto give_back() -> void;
    auto client_left() const -> bool { return session.watch->gone; }
    auto answer_patience() const -> std::chrono::microseconds;
    auto result() -> TryResult;
};

// How long the next bytes of an answer that has begun are waited for.
auto RelayTry::answer_patience() const -> std::chrono::microseconds {
    auto const left = std::max<Microseconds>(until + past_deadline - clock_now(), one_millisecond);
    return std::chrono::microseconds(std::min(silence_limit, left));
}

auto RelayTry::result() -> TryResult {
    session.watch->on_gone = nullptr;
    if (client_left()) facts.client = ClientState::gone;
    if (exchange) {
        facts.written = exchange->bytes_written();
        node.counters.strangers += exchange->strangers;
    }
    TryResult made;
    made.end = retry::end_of(facts);
    made.reason = made.end == TryEnd::caller_gone ? "caller-gone" : reason;
    return made;
}

// A client that goes away ends the run.
auto RelayTry::close_when_client_leaves() -> void {
    session.watch->on_gone = [this] {
        boost::system::error_code ignored;
        if (connection) connection->stream.socket().close(ignored);
    };
}

// Before it is passed on: a client that reads slowly is not the replica's doing.
auto RelayTry::note_output() -> void {
    auto const now = clock_now();
    answer.trace.output_came(now);
    if (output_seen) return;
    output_seen = true;
    auto const took = now - answer.trace.sent_at;
    node.table.with([&](Granting& granting) { granting.first_output(course.placement, course.ticket, took); });
}

// Where this request was sent to this replica before, a late answer to that
// would pass for the answer to this try: only a new connection tells them apart.
auto RelayTry::connect() -> awaitable<bool> {
    auto const& placement = course.placement;
    auto const first_there = answer.tried.insert(placement.replica).second;
    if (first_there) connection = node.pool.take(placement.replica, clock_now());
    if (connection) {
        facts.connection = ConnectionUse::reused;
    } else {
        ++node.pool.opened;
        auto const limit = std::min<Microseconds>(connect_limit, course.ticket.deadline - clock_now());
        connection = co_await connect_to(placement.address, std::max<Microseconds>(limit, one_millisecond));
    }
    if (!connection) {
        reason = "unreachable";
        co_return false;
    }
    facts.written = BytesWritten::none;
    co_return !session.look_for_client();
}

auto RelayTry::read_head() -> awaitable<bool> {
    auto const began = clock_now();
    auto const end = co_await exchange->read_own_head(until);
    switch (end) {
        case ReplicaExchange::HeadEnd::own_answer: co_return true;
        case ReplicaExchange::HeadEnd::timed_out: reason = "deadline"; break;
        case ReplicaExchange::HeadEnd::broke: reason = "replica-broke-before-its-answer"; break;
    }
    auto const now = clock_now();
    auto const at_once = end == ReplicaExchange::HeadEnd::broke && now - began < forgotten_within;
    if (at_once && facts.connection == ConnectionUse::reused && !client_left())
        node.pool.forgotten(connection->rested, now);
    co_return false;
}

auto RelayTry::give_back() -> void {
    session.watch->on_gone = nullptr;  // from here on the connection may be another request's
    if (!exchange->reusable() || node.finished || client_left()) return;
    connection->idle_limit = told_idle_limit(exchange->parser->get());
    node.pool.give_back(course.placement.replica, std::move(connection), clock_now());
}

auto RelayTry::take_failure() -> awaitable<void> {
    auto& parser = *exchange->parser;
    auto const& message = parser.get();
    auto const status = static_cast<int>(message.result_int());
    auto const not_run = message.find(node.form->headers.not_run) != message.end() || status == 421;
    connection->stream.expires_after(answer_patience());
    auto const [failure, size] = co_await http::async_read(connection->stream, connection->buffer, parser, use_tuple);
    facts.received = not_run ? Received::not_run : Received::cut_before_output;
    reason = not_run ? refusal_reason(message) : "replica-broke";
    if (failure) co_return;
    if (!not_run) {
        facts.received = retry::promises_not_run(status) ? Received::false_promise : Received::failure;
        reason = "replica-failed";
    }
    if (facts.received == Received::failure) {
        answer.keep = request.keep_alive() && !node.stopping;
        answer.failure_head = head_for_client(message, false, message.body().size(), answer.keep) + message.body();
    }
    give_back();
}

auto RelayTry::read_pieces() -> awaitable<boost::system::error_code> {
    auto& parser = *exchange->parser;
    if (parser.is_done()) co_return boost::system::error_code();
    if (connection->buffer.size() == 0) co_await exchange->send_on(until);  // answered before it was sent whole
    connection->stream.expires_after(answer_patience());
    auto const [failure, size] =
        co_await http::async_read_some(connection->stream, connection->buffer, parser, use_tuple);
    co_return failure;
}

auto RelayTry::pass_pieces(std::string pending) -> awaitable<void> {
    auto& parser = *exchange->parser;
    auto const whole_events = route.stream && answer.chunked;
    while (true) {
        auto const failure = co_await read_pieces();
        auto const finished = parser.is_done();
        auto bytes = std::move(parser.get().body());
        parser.get().body().clear();
        if (whole_events && !bytes.empty()) bytes = answer.events.take(bytes);
        if (finished && whole_events) bytes += answer.events.rest;
        if (!bytes.empty()) note_output();
        if (!bytes.empty() || finished) {
            if (!answer.head_sent)
                node.measures.first_pieces.of(course.ticket).add(clock_now() - course.ticket.arrived_at);
            answer.head_sent = true;
            facts.received = Received::cut_after_output;
            facts.output_resumable = route.resumable && answer.chunked;
            pending += answer.chunked ? chunk_of(bytes, finished) : bytes;
            if (!co_await session.write_all(pending)) {
                facts.client = ClientState::gone;
                co_return;
            }
            pending.clear();
        }
        if (finished) break;
        if (!failure) continue;
        reason = answer.head_sent ? "replica-broke" : "replica-broke-before-first-piece";
        co_return;
    }
    facts.received = Received::complete;
    give_back();
}

auto RelayTry::pass_success() -> awaitable<void> {
    auto& parser = *exchange->parser;
    auto const& message = parser.get();
    auto const length = parser.content_length();
    auto const empty = without_body(request, message.result_int());
    facts.received = answer.head_sent ? Received::cut_after_output : Received::cut_before_output;
    if (!node.form->headers.stamp.empty() && message.find(node.form->headers.stamp) == message.end()) {
        reason = "no-stamp";  // no replica's answer counts without it
        co_return;
    }
    if (answer.head_sent && !answer.chunked) {
        reason = "length-fixed";
        co_return;
    }
    facts.output_resumable = answer.head_sent && route.resumable;
    answer.events.restart();
    answer.keep = request.keep_alive() && !node.stopping && !parser.need_eof();
    auto pending = std::string();
    if (!answer.head_sent) {
        answer.chunked = !length && !empty;
        auto const told = length ? std::optional<std::uint64_t>(*length) : std::nullopt;
        pending = head_for_client(message, answer.chunked, told, answer.keep);
    }
    co_await pass_pieces(std::move(pending));
}

}  // namespace

auto RelaySession::send_try(HttpRequest const& request, RelayVerdict const& judged, Course& course, RelayAnswer& answer)
    -> awaitable<TryResult> {
    auto attempt = RelayTry{*this, request, *judged.route, course, answer, node};
    if (!co_await attempt.connect()) co_return attempt.result();
    attempt.close_when_client_leaves();
    if (auto const look = node.last_look(course); look != LastLook::send) {
        attempt.reason = "moved-on";
        auto result = attempt.result();
        result.held_back = look == LastLook::moved_on && result.end == TryEnd::not_written;
        co_return result;
    }
    auto const now = clock_now();
    attempt.until = course.ticket.deadline;
    auto const& form = *node.form;
    auto const identity = request[form.headers.request_identity];
    auto asked = ExchangeRequest();
    asked.head = head_for_replica(form, request, judged, course, answer.events.last, now);
    asked.body = request.body();
    asked.identity_field = form.headers.request_identity;
    asked.identity = std::string_view(identity.data(), identity.size());
    asked.head_only = request.method() == http::verb::head;
    attempt.exchange.emplace(*attempt.connection, std::move(asked));
    if (!co_await attempt.read_head()) co_return attempt.result();
    if (attempt.exchange->parser->get().result_int() / 100 == 2) co_await attempt.pass_success();
    else co_await attempt.take_failure();
    co_return attempt.result();
}

}  // namespace dockrock

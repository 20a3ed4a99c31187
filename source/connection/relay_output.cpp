// Streams the output of a try to the client as it arrives. The wait for output is limited by the request's deadline
// and, on replicas with older weights, by the time in which they must begin.
#include "connection/chunk.hpp"
#include "connection/relay_try.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"

namespace dockrock {

namespace {

constexpr Microseconds silence_limit = 30 * one_second;
constexpr auto content_encoding = std::string_view("Content-Encoding");
constexpr Microseconds deadline_grace = 200 * one_millisecond;  // lets an answer in progress complete

}  // namespace

// Timeout for the next bytes of a response whose head has arrived.
auto RelayTry::answer_timeout() const -> std::chrono::microseconds {
    auto const end = output_seen ? deadline + deadline_grace : std::min(deadline + deadline_grace, begin_by);
    return std::chrono::microseconds(std::clamp(end - clock_now(), one_millisecond, silence_limit));
}

// Records a recall if the replica did not begin its output in time; the timeout has already closed its connection.
auto RelayTry::record_recall() -> void {
    auto const now = clock_now();
    if (output_seen || now < begin_by) return;
    reason = "recalled";
    ++node.counters.weights_recalled;
    write_log(
        Level::information, "weights-recalled",
        fields(
            "replica", lifecycle.placement.replica, "version", lifecycle.placement.weights, "milliseconds",
            (now - answer.trace.sent_at) / one_millisecond));
}

// Called before the output is written to the client, so that a slow client does not count as latency of the replica.
auto RelayTry::record_output() -> void {
    auto const now = clock_now();
    answer.trace.output_came(now);
    if (output_seen) return;
    output_seen = true;
    if (may_be_recalled()) reset_on_close(false);
    auto const took = now - answer.trace.sent_at;
    node.table.with(
        [&](Scheduler& scheduler) { scheduler.first_output(lifecycle.placement, lifecycle.inference, took); });
}

auto RelayTry::read_pieces() -> awaitable<boost::system::error_code> {
    auto& parser = *exchange->parser;
    if (parser.is_done()) co_return boost::system::error_code();
    if (clock_now() >= deadline + deadline_grace) co_return beast::error::timeout;  // even while bytes keep arriving
    if (connection->buffer.size() == 0) co_await exchange->send_more(deadline);     // the replica may answer early
    connection->stream.expires_after(answer_timeout());
    co_return co_await read_some(connection->stream, connection->buffer, parser);
}

auto RelayTry::relay_pieces(std::string pending) -> awaitable<void> {
    auto& parser = *exchange->parser;
    auto const whole_events = route.stream && answer.chunked;
    while (true) {
        auto const failure = co_await read_pieces();
        auto const finished = parser.is_done();
        auto bytes = std::exchange(parser.get().body, std::string());
        if (whole_events && !bytes.empty()) bytes = answer.events.take(bytes);
        if (finished && whole_events) bytes += answer.events.rest;
        if (!bytes.empty()) record_output();
        if (!bytes.empty() || finished) {
            if (!answer.head_sent)
                node.latency_metrics.first_pieces.of(lifecycle.inference)
                    .add(clock_now() - lifecycle.inference.arrived_at);
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
        auto const room = answer.event_room->grow_to(answer.events.rest.capacity());
        if (answer.events.too_long || !room) {
            reason = room ? "event-too-long" : "no-room-for-event";
            co_return;
        }
        if (!failure) continue;
        reason = answer.head_sent ? "replica-broke" : "replica-broke-before-first-piece";
        if (failure == beast::error::timeout) record_recall();
        co_return;
    }
    facts.received = Received::complete;
    give_back();
}

auto RelayTry::relay_success() -> awaitable<void> {
    auto& parser = *exchange->parser;
    auto const& message = parser.get();
    auto const empty = without_body(request, message.status);
    auto const length = has_length(message.status) ? parser.content_length() : boost::none;
    facts.received = answer.head_sent ? Received::cut_after_output : Received::cut_before_output;
    if (!node.protocol->headers.stamp.empty() && message.fields.find(node.protocol->headers.stamp) == nullptr) {
        reason = "no-stamp";  // without it no response of a replica is accepted as successful
        co_return;
    }
    if (!node.protocol->takes_content_codings && message.fields.find(content_encoding) != nullptr) {
        reason = "content-coding";
        co_return;
    }
    if (answer.head_sent && !answer.chunked) {
        reason = "length-fixed";
        co_return;
    }
    facts.output_resumable = answer.head_sent && route.resumable;
    answer.events.restart();
    if (!answer.event_room) answer.event_room.emplace(node.message_memory);
    answer.keep = request.keep_alive() && !node.stopping && !parser.need_eof();
    auto pending = std::string();
    if (!answer.head_sent) {
        answer.chunked = !length && !empty;
        auto const declared_length = length ? std::optional<std::uint64_t>(*length) : std::nullopt;
        pending = head_for_client(message, answer.chunked, declared_length, answer.keep);
    }
    co_await relay_pieces(std::move(pending));
}

}  // namespace dockrock

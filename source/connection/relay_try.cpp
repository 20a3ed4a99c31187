// One try of a relayed request: sent once, its answer passed on as it comes.
// docs/platform.md section 5.
#include <charconv>

#include "connection/relay_session.hpp"
#include "connection/replica_pool.hpp"
#include "process/clock.hpp"

namespace dockrock {

namespace {

using Parser = http::response_parser<http::string_body>;

auto ended(TryEnd end, std::string reason) -> TryResult {
    TryResult result;
    result.end = end;
    result.reason = std::move(reason);
    return result;
}

// Seconds that an idle connection is kept by its other end, less a margin.
auto idle_limit_of(http::response_header<> const& head) -> Microseconds {
    auto const value = head[http::field::keep_alive];
    auto const text = std::string_view(value.data(), value.size());
    auto const place = text.find("timeout=");
    if (place == std::string_view::npos) return 4 * one_second;
    auto seconds = std::int64_t{0};
    std::from_chars(text.data() + place + 8, text.data() + text.size(), seconds);
    return seconds * one_second - std::min<Microseconds>(one_second, seconds * one_second / 2);
}

auto chunk_of(std::string const& bytes, bool last) -> std::string {
    std::string text;
    if (!bytes.empty()) {
        auto size = std::array<char, 16>{};
        auto const end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
        text.reserve(bytes.size() + 32);
        text.append(size.data(), end).append("\r\n").append(bytes).append("\r\n");
    }
    if (last) text.append("0\r\n\r\n");
    return text;
}

struct Closer {  // a client that goes away ends the run
    ClientWatch& watch;
    Closer(ClientWatch& given, ReplicaConnection& connection) : watch(given) {
        watch.on_gone = [&connection] {
            boost::system::error_code ignored;
            connection.stream.socket().close(ignored);
        };
    }
    Closer(Closer const&) = delete;
    ~Closer() { watch.on_gone = nullptr; }
};

auto reason_of(http::response_header<> const& head) -> std::string {
    if (head.result_int() == 421) return "weights";  // another life, or other weights
    return head.result_int() == 400 ? "bad" : "busy";
}

}  // namespace

auto RelaySession::send_try(HttpRequest const& request, RelayVerdict const& judged, Course& course, RelayAnswer& answer)
    -> awaitable<TryResult> {
    auto const& form = *node.form;
    auto const& placement = course.placement;
    auto const& route = *judged.route;
    auto connection = node.pool.take(placement.replica, clock_now());
    if (!connection) {
        ++node.pool.opened;
        auto const connect_limit = std::min<Microseconds>(600 * one_millisecond, course.ticket.deadline - clock_now());
        connection = co_await connect_to(placement.address, std::max<Microseconds>(connect_limit, one_millisecond));
        if (!connection) co_return ended(watch->gone ? TryEnd::caller_gone : TryEnd::not_sent, "unreachable");
    }
    auto const closer = Closer(*watch, *connection);
    if (watch->gone) co_return ended(TryEnd::caller_gone, "caller-gone");
    auto const now = clock_now();
    auto const head = head_for_replica(form, request, judged, course, answer.events.last, now);
    auto& stream = connection->stream;
    // An answer that has begun is cut by silence alone, never by its deadline.
    auto const until_deadline = std::max<Microseconds>(course.ticket.deadline - now, one_millisecond);
    stream.expires_after(std::chrono::microseconds(until_deadline));
    auto const parts = std::array<asio::const_buffer, 2>{asio::buffer(head), asio::buffer(request.body())};
    // From here on the replica may have it.
    if (auto const [failure, size] = co_await asio::async_write(stream, parts, use_tuple); failure)
        co_return ended(watch->gone ? TryEnd::caller_gone : TryEnd::unknown_before, "replica-broke-while-sending");
    auto parser = std::optional<Parser>();
    auto const identity = request[form.headers.request_identity];
    while (true) {
        parser.emplace();
        parser->body_limit(boost::none);
        parser->header_limit(64U << 10U);
        if (request.method() == http::verb::head) parser->skip(true);
        if (auto const [failure, size] =
                co_await http::async_read_header(stream, connection->buffer, *parser, use_tuple);
            failure) {
            if (watch->gone) co_return ended(TryEnd::caller_gone, "caller-gone");
            auto const late = failure == beast::error::timeout;
            co_return ended(TryEnd::unknown_before, late ? "deadline" : "replica-broke-before-its-answer");
        }
        auto const status = parser->get().result_int();
        if (status >= 100 && status < 200) continue;
        if (parser->get()[form.headers.request_identity] == identity) break;
        // An answer to another request, late in this one's place: it belongs to nobody.
        ++node.counters.strangers;
        if (auto const [failure, size] = co_await http::async_read(stream, connection->buffer, *parser, use_tuple);
            failure || parser->need_eof())
            co_return ended(TryEnd::unknown_before, "replica-broke-before-its-answer");
    }
    auto const& message = parser->get();
    auto const load = message[form.headers.load];
    answer.load.assign(load.data(), load.size());
    auto const status = message.result_int();
    auto const success = status >= 200 && status < 300;
    auto const done = [&] {  // the connection may serve another request
        if (!parser->is_done() || parser->need_eof() || !message.keep_alive() || node.finished) return;
        connection->idle_limit = idle_limit_of(message);
        node.pool.give_back(placement.replica, std::move(connection), clock_now());
    };
    if (!success) {
        auto const not_run = message.find(form.headers.not_run) != message.end() || status == 421;
        auto const [failure, size] = co_await http::async_read(stream, connection->buffer, *parser, use_tuple);
        if (failure) co_return ended(watch->gone ? TryEnd::caller_gone : TryEnd::unknown_before, "replica-broke");
        auto const reason = reason_of(message);
        if (not_run) {
            done();
            co_return ended(TryEnd::did_not_run, reason);
        }
        // The replica's own failure. Repeatable requests may try another.
        answer.keep = request.keep_alive() && !node.stopping;
        answer.failure_head = head_for_client(message, false, message.body().size(), answer.keep) + message.body();
        done();
        if (answer.head_sent || (route.repeatable && course.try_number < route.tries))
            co_return ended(TryEnd::unknown_before, "replica-failed");
        if (!co_await write_all(answer.failure_head)) co_return ended(TryEnd::caller_gone, "caller-gone");
        co_return ended(TryEnd::answered_failure, "");
    }
    auto const length = parser->content_length();
    auto const events = route.stream;
    if (answer.head_sent && !answer.chunked) co_return ended(TryEnd::broken_after, "length-fixed");
    answer.events.restart();
    answer.keep = request.keep_alive() && !node.stopping && !parser->need_eof();
    if (!answer.head_sent) answer.chunked = !length;
    auto pending = std::string();
    if (!answer.head_sent)
        pending = head_for_client(
            message, answer.chunked, length ? std::optional<std::uint64_t>(*length) : std::nullopt, answer.keep);
    auto const resumable = route.resumable && answer.chunked;
    auto failure = boost::system::error_code{};
    while (true) {
        if (!parser->is_done()) {
            stream.expires_after(std::chrono::seconds(30));
            std::tie(failure, std::ignore) =
                co_await http::async_read_some(stream, connection->buffer, *parser, use_tuple);
        }
        auto const finished = parser->is_done();
        auto bytes = std::move(parser->get().body());
        parser->get().body().clear();
        if (events && answer.chunked && !bytes.empty()) bytes = answer.events.take(bytes);
        if (finished && events && answer.chunked) bytes += answer.events.rest;
        if (!bytes.empty() || finished) {
            if (!answer.head_sent) answer.first_at = clock_now();
            if (!answer.head_sent)
                node.measures.first_pieces.of(course.ticket).add(clock_now() - course.ticket.arrived_at);
            answer.head_sent = true;
            pending += answer.chunked ? chunk_of(bytes, finished) : bytes;
            if (!co_await write_all(pending)) co_return ended(TryEnd::caller_gone, "caller-gone");
            pending.clear();
        }
        if (finished) break;
        if (!failure) continue;
        if (watch->gone) co_return ended(TryEnd::caller_gone, "caller-gone");
        if (!answer.head_sent) co_return ended(TryEnd::unknown_before, "replica-broke-before-first-piece");
        answer.keep = false;
        co_return ended(resumable ? TryEnd::broken_resumable : TryEnd::broken_after, "replica-broke");
    }
    done();
    co_return ended(TryEnd::answered, "");
}

}  // namespace dockrock

// Persistent client connections: a request that was sent to a replica is answered, whatever else happens to the
// connection meanwhile. docs/users-rules.md, LOST.
#include <catch2/catch.hpp>

#include "session_wire.hpp"

using namespace dockrock;
using namespace dockrock::testing;

TEST_CASE("every request on a persistent connection is answered, also pipelined ones") {
    auto requests = 0;
    auto session = SessionWire(answering(requests));
    for (auto number = 0; number < 20; ++number) {
        session.say(post("one-" + std::to_string(number)));
        REQUIRE(session.hear("text-of-one-", static_cast<std::size_t>(number) + 1));
    }
    session.say(post("two-1") + post("two-2") + post("two-3"));
    CHECK(session.hear("text-of-two-", 3));
    CHECK(requests == 23);
    CHECK(session.answers("200 OK") == 23);
    CHECK_FALSE(session.session_over);
}

TEST_CASE("a connection idle for up to four fifths of the limit stays usable") {
    auto requests = 0;
    auto session = SessionWire(answering(requests), Kind{.idle = one_second});
    for (auto number = 0; number < 3; ++number) {
        session.run_for(800 * one_millisecond);
        session.say(post("rested"));
        REQUIRE(session.hear("text-of-rested", static_cast<std::size_t>(number) + 1));
    }
    CHECK(requests == 3);
}

TEST_CASE("a request that arrives when the idle limit ends is answered, or reaches no replica") {
    auto answered = 0;
    auto closed = 0;
    for (auto offset : {-300, -100, -6, -5, -4, -3, -2, -1, 0, 1, 2, 3, 4, 5, 6, 100}) {
        auto requests = 0;
        auto session = SessionWire(answering(requests), Kind{.idle = one_second});
        session.run_for(one_second + offset * one_millisecond);
        session.say(post("late"));
        session.run_until(
            [&] {
                session.listen();
                return session.answers("text-of-late") == 1 || session.session_over;
            },
            2 * one_second);
        session.run_for(20 * one_millisecond);
        session.listen();
        CHECK(static_cast<std::size_t>(requests) == session.answers("text-of-late"));
        answered += requests;
        closed += session.session_over ? 1 : 0;
    }
    CHECK(answered > 0);
    CHECK(closed > 0);
}

TEST_CASE("a stopping node answers the requests it has accepted, announces the close, and refuses the rest unsent") {
    auto requests = 0;
    auto session = SessionWire([&](Peer& peer) -> awaitable<void> {
        co_await peer.until("bbbb");
        ++requests;
        auto timer = asio::steady_timer(co_await asio::this_coro::executor, std::chrono::milliseconds(100));
        co_await timer.async_wait(use_tuple);
        co_await peer.say(answer_text("held", "text-of-held"));
        co_await peer.until("never");
    });
    session.say(post("held"));
    REQUIRE(session.run_until([&] { return requests == 1; }));
    session.wire.node->stopping = true;
    CHECK(session.hear("text-of-held"));
    CHECK(session.answers("Connection: close") == 1);
    CHECK(session.run_until([&] { return session.session_over; }));
}

TEST_CASE("a stopping node accepts a request on an idle connection, and refuses with 503 after its admission ends") {
    auto requests = 0;
    for (auto late : {false, true}) {
        auto session = SessionWire(answering(requests));
        session.say(post("first"));
        REQUIRE(session.hear("text-of-first"));
        session.wire.node->stopping = true;
        session.wire.node->admission_ends = clock_now() + (late ? -1 : one_second);
        session.say(post("second"));
        CHECK(session.hear(late ? "503" : "text-of-second"));
        CHECK(session.answers("Connection: close") == 1);
        CHECK(session.run_until([&] { return session.session_over; }));
    }
    CHECK(requests == 3);
}

TEST_CASE("with a silent replica the client gets a final answer at its route's limit and keeps its connection") {
    for (auto repeatable : {false, true}) {
        auto silent = true;
        auto session = SessionWire(
            [&](Peer& peer) -> awaitable<void> {
                co_await peer.until("bbbb");
                if (silent) co_await peer.until("never");
                co_await peer.say(answer_text("second", "text-of-second"));
                co_await peer.until("never");
            },
            Kind{.repeatable = repeatable, .timeout = 400 * one_millisecond});
        auto const began = clock_now();
        session.say(post("first"));
        CHECK(session.hear("502 Bad Gateway"));
        CHECK(clock_now() - began > 390 * one_millisecond);
        CHECK(clock_now() - began < 900 * one_millisecond);
        silent = false;
        session.say(post("second"));
        CHECK(session.hear("text-of-second"));
        CHECK(session.answers("HTTP/1.1 ") == 2);
    }
}

TEST_CASE("an answer that stalls midway is cut off soon after the route's limit, whatever its framing") {
    auto const failure = std::string("HTTP/1.1 500 No\r\nRequest-Name: id-1\r\nStamp: s\r\nContent-Length: 9\r\n\r\n");
    auto const events =
        std::string("HTTP/1.1 200 OK\r\nRequest-Name: id-1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n") +
        "d\r\nid: 1\ndata: a\r\n";
    struct Case {
        char const* name;
        std::string said;
        Kind kind;
    };
    auto const limit = 400 * one_millisecond;
    for (auto const& item : std::vector<Case>{
             {"a failure without its body", failure, Kind{.timeout = limit}},
             {"the same, repeatable", failure, Kind{.repeatable = true, .timeout = limit}},
             {"a failure cut within its body", failure + "half", Kind{.timeout = limit}},
             {"a stream in mid-event", events, Kind{.stream = true, .timeout = limit}},
             {"a stream after an event", events + "2\r\n\n\n\r\n", Kind{.stream = true, .timeout = limit}},
             {"a stream that may go on", events + "2\r\n\n\n\r\n",
              Kind{.repeatable = true, .stream = true, .timeout = limit}}}) {
        INFO(item.name);
        auto session = SessionWire(saying(item.said, false, false), item.kind);
        auto const began = clock_now();
        session.say(post("id-1"));
        auto const ended = session.run_until([&] {
            session.listen();
            return session.session_over || session.answers("HTTP/1.1 5") > 0;
        });
        CHECK(ended);
        CHECK(clock_now() - began < 900 * one_millisecond);
        CHECK(session.answers("0\r\n\r\n") == 0);  // never completed as if it were whole
    }
}

TEST_CASE("without a free slot the client is refused by its route's limit") {
    auto requests = 0;
    auto session = SessionWire(answering(requests), Kind{.timeout = 400 * one_millisecond});
    session.wire.node->table.scheduler.load_table.take_weights(
        "life-1", "", true);  // loading weights: nothing is sent there
    auto const began = clock_now();
    session.say(post("first"));
    CHECK(session.hear("503 Service Unavailable"));
    CHECK(clock_now() - began < 900 * one_millisecond);
    CHECK(requests == 0);
    CHECK_FALSE(session.session_over);
}

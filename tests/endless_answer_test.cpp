// Endless replica responses: bounded in memory, in work and in time. docs/requests.md.
#include <catch2/catch.hpp>

#include "session_wire.hpp"
#include "ticket/piece_reader.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

constexpr auto stream_head = "HTTP/1.1 200 OK\r\nRequest-Name: id-1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";

auto chunk(std::string const& text) -> std::string {
    auto size = std::string(16, '\0');
    size.resize(static_cast<std::size_t>(std::snprintf(size.data(), size.size(), "%zx\r\n", text.size())));
    return size + text + "\r\n";
}

// Sends the same chunk repeatedly for a while, then ends the response correctly.
auto going_on(std::string text, Microseconds length) -> Script {
    return [text, length](Peer& peer) -> awaitable<void> {
        co_await peer.until("bbbb");
        co_await peer.say(stream_head);
        auto const end = clock_now() + length;
        auto timer = asio::steady_timer(co_await asio::this_coro::executor);
        while (clock_now() < end) {
            co_await peer.say(chunk(text));
            timer.expires_after(std::chrono::microseconds(100));
            co_await timer.async_wait(use_tuple);
        }
        co_await peer.say("0\r\n\r\n");
        co_await peer.until("never");
    };
}

auto time_of(std::size_t bytes) -> Microseconds {
    auto reader = EventReader();
    auto const began = clock_now();
    for (auto read = std::size_t{0}; read < bytes; read += 64) reader.take(std::string(63, 'x') + "\n");
    return std::max<Microseconds>(clock_now() - began, one_millisecond);
}

}  // namespace

// Guards against a stream that is relayed past its deadline as long as bytes keep arriving.
TEST_CASE("an answer is cut off after its deadline even while bytes keep arriving") {
    auto wire = Wire(going_on(": still here\n\n", 2 * one_second));
    wire.limit = 300 * one_millisecond;
    auto const began = clock_now();
    CHECK(wire.ask("id-1", true).end != TryEnd::answered);
    CHECK(clock_now() - began < one_second);
    CHECK(wire.pooled() == 0);
}

// Guards against an event without an end that fills the node's memory.
TEST_CASE("an event without an end fails its try at the size limit, after earlier events were relayed") {
    auto wire = Wire([](Peer& peer) -> awaitable<void> {
        co_await peer.until("bbbb");
        co_await peer.say(stream_head);
        co_await peer.say(chunk("id: 1\ndata: first\n\n"));
        for (auto count = 0; count < 40; ++count) co_await peer.say(chunk(std::string(64U << 10U, 'e') + "\n"));
        co_await peer.say("0\r\n\r\n");
        co_await peer.until("never");
    });
    CHECK(wire.ask("id-1", true).end == TryEnd::broken_after);
    CHECK(wire.seen_by_client().find("data: first\n\n") != std::string::npos);
    CHECK(wire.pooled() == 0);
}

TEST_CASE("the time to find events is linear in their length") {
    auto const once = time_of(EventReader::event_limit / 8);
    CHECK(
        time_of(EventReader::event_limit / 2) <
        12 * once);  // four times the length; quadratic time would be sixteen times
}

TEST_CASE("the end of an event is found wherever its bytes are split") {
    for (auto const* end : {"\n\n", "\n\r\n", "\r\n\r\n"}) {
        auto const text = "id: 1\ndata: a" + std::string(end) + "id: 2\ndata: b" + std::string(end);
        for (auto cut = std::size_t{1}; cut < text.size(); ++cut) {
            INFO(cut);
            EventReader reader;
            auto passed = reader.take(text.substr(0, cut));
            passed += reader.take(text.substr(cut));
            CHECK(passed == text);
            EventReader bytes;
            passed.clear();
            for (auto const byte : text) passed += bytes.take(std::string(1, byte));
            CHECK(passed == text);
            CHECK(bytes.last == 2);
        }
    }
}

TEST_CASE("a line of the product's own answers has a size limit, and is found wherever it is split") {
    PieceReader reader;
    CHECK(reader.take("{\"piece\":0}\n{\"pie") == "{\"piece\":0}\n");
    CHECK(reader.take("ce\":1}\n{\"pieces\":2}\n") == "{\"piece\":1}\n{\"pieces\":2}\n");
    CHECK((reader.done && !reader.wrong));
    PieceReader endless;
    for (auto size = std::size_t{0}; size <= PieceReader::line_limit; size += 64U << 10U)
        CHECK(endless.take(std::string(64U << 10U, 'x')).empty());
    CHECK(endless.wrong);
}

TEST_CASE("an incomplete event counts against the memory budget") {
    auto session = SessionWire(
        [](Peer& peer) -> awaitable<void> {
            if (!co_await peer.until("bbbb")) co_return;
            co_await peer.say(stream_head + chunk("id: 1\ndata: first\n\n"));
            for (auto count = 0; count < 10; ++count) co_await peer.say(chunk(std::string(64U << 10U, 'e') + "\n"));
            co_await peer.until("never");
        },
        Kind{.stream = true, .tries = 1});
    auto& budget = session.wire.node->message_memory;
    budget.set_limit(200'000);
    session.say(post("id-1"));
    REQUIRE(session.hear("data: first"));
    CHECK(session.run_until([&] { return session.session_over; }));
    CHECK(budget.refusals() > 0);
    CHECK(budget.used() == 0);
}

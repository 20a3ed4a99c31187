// Hostile replica responses: they affect at most their own try. docs/requests.md.
#include <catch2/catch.hpp>

#include "connection/replica_exchange.hpp"
#include "session_wire.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

constexpr auto nonsense_length = "Content-Length: 100000000000000000\r\n";

auto head_text(std::string const& name, std::string const& status, std::string const& more) -> std::string {
    return "HTTP/1.1 " + status + "\r\nRequest-Name: " + name + "\r\nStamp: s\r\n" + more + "\r\n";
}

auto chunk(std::size_t size) -> std::string {
    auto text = std::string(16, '\0');
    text.resize(static_cast<std::size_t>(std::snprintf(text.data(), text.size(), "%zx\r\n", size)));
    return text + std::string(size, 'x') + "\r\n";
}

// Answers on the first connection with this text, on all others correctly.
auto spoiling_once(std::string text) -> Script {
    return [text](Peer& peer) -> awaitable<void> {
        co_await peer.until("bbbb");
        if (peer.number == 1) {
            co_await peer.say(text);
            co_return;
        }
        auto const from = peer.read.find("Request-Name: ") + 14;
        auto const name = peer.read.substr(from, peer.read.find("\r\n", from) - from);
        co_await peer.say(answer_text(name, "text-of-" + name));
        co_await peer.until("never");
    };
}

}  // namespace

// Guards against a crash of the node: a response announced a length that cannot be allocated.
TEST_CASE("a huge Content-Length of a replica allocates nothing: its try fails, and the next request is served") {
    for (auto const* status : {"200 OK", "500 No", "503 No", "421 No"}) {
        for (auto const* name : {"id-1", "id-0"}) {  // the response to this request, and to another
            INFO(status << " to " << name);
            auto wire = Wire(spoiling_once(head_text(name, status, nonsense_length) + "id: 1\n"));
            CHECK(wire.ask("id-1").end != TryEnd::answered);
            CHECK(wire.pooled() == 0);
            CHECK(wire.ask("id-2").end == TryEnd::answered);
        }
    }
}

// The same failure from the client side: one client's request fails, the connections of others are not affected.
TEST_CASE("a client whose replica announces a huge length may retry, and is served") {
    auto session = SessionWire(spoiling_once(head_text("id-1", "500 No", nonsense_length)), Kind{true});
    session.say(post("id-1"));
    REQUIRE(session.run_until([&] {
        session.listen();
        return session.seen.find("\r\n\r\n") != std::string::npos || session.session_over;
    }));
    CHECK_FALSE(session.seen.starts_with("HTTP/1.1 200"));
    CHECK(session.wire.node->open_requests == (session.session_over ? 0 : 1));
}

TEST_CASE("a failure's body is stored only up to its limit, however much its replica sends") {
    auto body = std::string();
    for (auto count = 0; count < 40; ++count) body += chunk(64U << 10U);
    body += "0\r\n\r\n";
    for (auto const* status : {"500 No", "404 No"}) {
        auto wire = Wire(spoiling_once(head_text("id-1", status, "Transfer-Encoding: chunked\r\n") + body));
        CHECK(wire.ask("id-1").end == TryEnd::unknown_before);
        CHECK(wire.pooled() == 0);
        CHECK(wire.ask("id-2").end == TryEnd::answered);
    }
}

TEST_CASE("an endless chunk header or endless trailers fail the try before they fill the memory") {
    auto const chunked = head_text("id-1", "200 OK", "Transfer-Encoding: chunked\r\n");
    for (auto const& text :
         {chunked + "1;" + std::string(1U << 20U, 'e'), chunked + "0\r\nX: " + std::string(1U << 20U, 't')}) {
        auto wire = Wire(saying(text, false, false));
        auto const began = clock_now();
        CHECK(wire.ask("id-1").end != TryEnd::answered);
        CHECK(clock_now() - began < wire.limit / 2);  // not only at its deadline
        CHECK(wire.pooled() == 0);
    }
}

TEST_CASE("trailers of a response are not merged into its head") {
    auto const chunked = head_text("id-1", "200 OK", "Transfer-Encoding: chunked\r\n");
    auto wire = Wire(saying(chunked + "4\r\ntext\r\n0\r\nConnection: close\r\nX-Late: 1\r\n\r\n", false, false));
    CHECK(wire.ask("id-1").end == TryEnd::answered);
    CHECK(wire.seen_by_client().find("X-Late") == std::string::npos);
}

TEST_CASE("a response head is read up to its limit, with one long field or many") {
    auto many = std::string();
    for (auto count = 0; count < 3'000; ++count) many += "X-" + std::to_string(count) + ": 1\r\n";
    auto const most = std::size_t{ReplicaExchange::header_bytes};
    for (auto const size : {most - 1'000, most - 100, most - 1, most, most + 1, 3 * most}) {
        INFO(size);
        auto const text = head_text("id-1", "200 OK", "X: " + std::string(size, 'x') + "\r\nContent-Length: 4\r\n");
        auto wire = Wire(saying(text + "text", false, false));
        CHECK((wire.ask("id-1").end == TryEnd::answered) == (size < most - 95));
    }
    auto wire = Wire(saying(head_text("id-1", "200 OK", many + "Content-Length: 4\r\n") + "text", false, false));
    CHECK(wire.ask("id-1").end == TryEnd::answered);
}

TEST_CASE("a response that arrives byte by byte, or truncated at any byte, is either complete or broken") {
    auto const whole = head_text("id-1", "200 OK", "Transfer-Encoding: chunked\r\n") + "4\r\ntext\r\n0\r\n\r\n";
    auto slow = Wire([whole](Peer& peer) -> awaitable<void> {
        peer.socket.set_option(tcp::no_delay(true));
        co_await peer.until("bbbb");
        auto timer = asio::steady_timer(co_await asio::this_coro::executor);
        for (auto const byte : whole) {
            co_await peer.say(std::string(1, byte));
            timer.expires_after(std::chrono::microseconds(200));
            co_await timer.async_wait(use_tuple);
        }
        co_await peer.until("never");
    });
    CHECK(slow.ask("id-1").end == TryEnd::answered);
    for (auto size = std::size_t{0}; size < whole.size(); ++size) {
        INFO(size);
        auto wire = Wire(saying(whole.substr(0, size)));
        auto const end = wire.ask("id-1").end;
        CHECK((end == TryEnd::unknown_before || end == TryEnd::broken_after));
    }
}

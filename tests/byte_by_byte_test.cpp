// Messages on links that deliver one byte at a time, and failed assertions inside a library. docs/requests.md.
#include <boost/assert.hpp>
#include <catch2/catch.hpp>

#include "base/input_scope.hpp"
#include "session_wire.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

constexpr Microseconds between_bytes = 2 * one_millisecond;

auto chunked_head(std::string const& name) -> std::string {
    return "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Name: " + name + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

auto const chunked_bodies = std::vector<std::string>{
    "0\r\n\r\n", "000\r\n\r\n", "0;a=b\r\n\r\n", "0\r\nX: 1\r\n\r\n", "4\r\nbbbb\r\n0\r\n\r\n"};

// Answers each request as soon as its head and its body have arrived.
auto answering_heads(int& requests) -> Script {
    return [&requests](Peer& peer) -> awaitable<void> {
        while (co_await peer.until("\r\n\r\n")) {
            if (peer.read.find("Content-Length: 4") != std::string::npos && !co_await peer.until("bbbb")) co_return;
            ++requests;
            auto const from = peer.read.find("Request-Name: ") + 14;
            auto const name = peer.read.substr(from, peer.read.find("\r\n", from) - from);
            peer.read.clear();
            co_await peer.say(answer_text(name, "text-of-" + name));
        }
    };
}

auto say_slowly(Peer& peer, std::string text) -> awaitable<void> {
    peer.socket.set_option(tcp::no_delay(true));
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    for (auto const byte : text) {
        co_await peer.say(std::string(1, byte));
        timer.expires_after(std::chrono::microseconds(between_bytes));
        co_await timer.async_wait(use_tuple);
    }
}

}  // namespace

// Guards against a crash of the node: a slow client's empty chunked body made an assertion of the library fail.
TEST_CASE("a chunked body is read completely wherever it is split, and the connection stays usable") {
    for (auto const& body : chunked_bodies) {
        for (auto cut = std::size_t{1}; cut < body.size(); ++cut) {
            INFO(body << " cut at " << cut);
            auto requests = 0;
            auto session = SessionWire(answering_heads(requests));
            session.wire.client.set_option(tcp::no_delay(true));
            session.say(chunked_head("id-1"));
            session.run_for(between_bytes);
            session.say(body.substr(0, cut));
            session.run_for(between_bytes);
            for (auto const byte : body.substr(cut)) {
                session.say(std::string(1, byte));
                session.run_for(between_bytes);
            }
            REQUIRE(session.hear("text-of-id-1"));
            session.say(post("id-2"));
            REQUIRE(session.hear("text-of-id-2"));
            CHECK(requests == 2);
        }
    }
}

TEST_CASE("a chunked response is read completely when its replica sends it byte by byte") {
    for (auto const& body : chunked_bodies) {
        INFO(body);
        auto const text =
            "HTTP/1.1 200 OK\r\nRequest-Name: id-1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
        auto wire = Wire([text](Peer& peer) -> awaitable<void> {
            co_await peer.until("bbbb");
            co_await say_slowly(peer, text);
            co_await peer.until("never");
        });
        CHECK(wire.ask("id-1").end == TryEnd::answered);
        CHECK(wire.pooled() == 1);
    }
}

TEST_CASE("calls of the platform and of operators are read completely when they arrive byte by byte") {
    auto context = asio::io_context(1);
    auto door = tcp::acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    auto caller = tcp::socket(context);
    caller.connect(door.local_endpoint());
    caller.set_option(tcp::no_delay(true));
    auto const node = std::make_unique<Node>();
    auto fresh = std::make_shared<Snapshot>();
    fresh->rules = std::make_shared<Rules>();
    node->snapshot = fresh;
    asio::co_spawn(context, serve_ready(*node, door.accept()), asio::detached);
    for (auto const byte : std::string("GET /ready HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")) {
        asio::write(caller, asio::buffer(&byte, 1));
        context.run_for(std::chrono::microseconds(between_bytes));
    }
    context.run_for(std::chrono::milliseconds(50));
    auto bytes = std::array<char, 4096>();
    CHECK(std::string(bytes.data(), caller.read_some(asio::buffer(bytes))).starts_with("HTTP/1.1 503 "));
}

// Guards against a library assertion on input that terminates the process.
TEST_CASE("a failed library assertion throws within an input scope, also after a nested one") {
    auto const fail = [] { BOOST_ASSERT_MSG(false, "planted"); };
    {
        auto const scope = InputScope();
        CHECK_THROWS_AS(fail(), std::logic_error);
        {
            auto const inner = InputScope();
            CHECK_THROWS_AS(fail(), std::logic_error);
        }
        CHECK_THROWS_AS(fail(), std::logic_error);
    }
}

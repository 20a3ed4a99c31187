#pragma once
// A relay session whose replica sends a broken response, and what a strict client receives.
#include <catch2/catch.hpp>

#include "answer_grammar.hpp"
#include "session_wire.hpp"

namespace dockrock::testing {

inline constexpr auto body_mark = "body-of-the-replica";

inline auto head_of(std::string const& status, std::string const& more, std::string const& name = "id-1")
    -> std::string {
    return "HTTP/1.1 " + status + " Word\r\nRequest-Name: " + name + "\r\nStamp: s\r\n" + more + "\r\n";
}

struct Framed {
    char const* how;
    std::string fields;
    std::string body;
    bool closes = false;
};
inline auto const framings = std::vector<Framed>{
    {"by its length", "Content-Length: 19\r\n", body_mark},
    {"without a body", "Content-Length: 0\r\n", ""},
    {"in chunks", "Transfer-Encoding: chunked\r\n", "13\r\n" + std::string(body_mark) + "\r\n0\r\n\r\n"},
    {"to the end", "", body_mark, true}};

// Answers the first request with this text and all others correctly, on any connection.
inline auto spoiling_first(std::string text, bool closes, int& requests) -> Script {
    return [text, closes, &requests](Peer& peer) -> awaitable<void> {
        while (co_await peer.until("bbbb")) {
            auto const from = peer.read.find("Request-Name: ") + 14;
            auto const name = peer.read.substr(from, peer.read.find("\r\n", from) - from);
            peer.read.clear();
            auto const spoils = ++requests == 1;
            if (spoils) co_await peer.say(text);
            else co_await peer.say(answer_text(name, "text-of-" + name));
            if (spoils && closes) co_return;
        }
    };
}

struct Seen {
    std::optional<int> status;  // nothing: no response, or a malformed one
    std::string bytes;
    int requests = 0;  // received by replicas
    std::size_t pooled = 0;
};

// What the client of one request receives when the first response of its replica is `text`.
inline auto seen_after(std::string const& text, bool closes = false, bool repeatable = false) -> Seen {
    auto seen = Seen();
    auto session =
        SessionWire(spoiling_first(text, closes, seen.requests), Kind{.repeatable = repeatable, .replicas = 2});
    session.say(post("id-1"));
    session.run_until([&] {
        session.listen();
        return session.seen.find("\r\n\r\n") != std::string::npos || session.session_over;
    });
    session.run_for(20 * one_millisecond);
    session.listen();
    seen.status = strict_status(session.seen);
    seen.bytes = session.seen;
    for (auto const& [life, connections] : session.wire.node->pool.idle) seen.pooled += connections.size();
    return seen;
}

// Checks the outcome after a malformed response: the request may have run, and no byte of the response is relayed.
inline auto check_no_answer(std::string const& text, bool closes = false) -> void {
    auto const seen = seen_after(text, closes);
    INFO(seen.bytes);
    CHECK(seen.status == 502);
    CHECK(seen.bytes.find(body_mark) == std::string::npos);
    CHECK(seen.bytes.find("Stamp") == std::string::npos);
    CHECK(seen.requests == 1);
    CHECK(seen.pooled == 0);
}

}  // namespace dockrock::testing

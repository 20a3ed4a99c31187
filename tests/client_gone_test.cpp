// A client that disconnects at any point of its request: nothing more is sent for it, and a run in progress ends.
// docs/users-rules.md, GONE.
#include <catch2/catch.hpp>

#include "session_wire.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

constexpr auto bound = 500 * one_millisecond;

struct Seen {  // what the replica has observed
    int requests = 0;
    int ended = 0;  // connections
};

// Reads a request, sends the given text, and waits until the connection ends.
auto working(Seen& seen, std::string said, std::string until = "bbbb") -> Script {
    return [&seen, said, until](Peer& peer) -> awaitable<void> {
        if (!co_await peer.until(until)) co_return;
        ++seen.requests;
        co_await peer.say(said);
        co_await peer.until("never");
        ++seen.ended;
    };
}

}  // namespace

TEST_CASE("a disconnecting client ends the run, whatever the replica has sent so far") {
    auto const head = std::string("HTTP/1.1 200 OK\r\nRequest-Name: id-1\r\nStamp: s\r\n");
    auto const failed = std::string("HTTP/1.1 500 No\r\nRequest-Name: id-1\r\nContent-Length: 9\r\n\r\n");
    for (auto const& said :
         {std::string(), head, head + "Content-Length: 9\r\n\r\n", head + "Content-Length: 9\r\n\r\nhalf",
          head + "Transfer-Encoding: chunked\r\n\r\nd\r\nid: 1\ndata: a\r\n", failed, failed + "half"})
        for (auto repeatable : {false, true})
            for (auto early : {false, true}) {
                INFO(said);
                auto seen = Seen();
                auto session = SessionWire(working(seen, said), Kind{.repeatable = repeatable, .stream = repeatable});
                session.say(post("id-1"));
                REQUIRE(session.run_until([&] { return seen.requests == 1; }));
                if (early) session.say(post("id-2").substr(0, 20));  // the start of a pipelined request
                session.run_for(20 * one_millisecond);
                session.leave();
                CHECK(session.run_until([&] { return seen.ended == 1; }, bound));
                CHECK(session.run_until([&] { return session.session_over; }, bound));
                session.run_for(50 * one_millisecond);
                CHECK(seen.requests == 1);  // no further try
                CHECK(session.wire.accepted == 1);
            }
}

TEST_CASE("a client that disconnects while its long body is sent ends the run") {
    constexpr auto long_body = std::size_t{4U << 20U};
    auto seen = Seen();
    auto session = SessionWire(working(seen, "", "\r\n\r\nbb"));
    session.say(post("id-1", long_body));
    REQUIRE(session.run_until([&] { return seen.requests == 1; }));
    session.leave();
    CHECK(session.run_until([&] { return session.session_over; }, bound));
}

TEST_CASE("a client that disconnects while queued reaches no replica, and its slot goes to others") {
    auto seen = Seen();
    auto session = SessionWire(working(seen, ""));
    auto& scheduler = session.wire.node->table.scheduler;
    scheduler.load_table.take_weights("life-1", "", true);
    session.say(post("id-1"));
    REQUIRE(session.run_until([&] { return scheduler.waiting_count() == 1; }));
    session.leave();
    CHECK(session.run_until([&] { return scheduler.waiting_count() == 0 && session.session_over; }, bound));
    scheduler.load_table.take_weights("life-1", "", false);
    session.run_for(100 * one_millisecond);
    CHECK(session.wire.accepted == 0);
    CHECK(session.wire.node->open_inferences == 0);
    CHECK(session.wire.node->open_requests == 0);
}

TEST_CASE("a client that disconnects between two tries reaches no second replica") {
    auto seen = Seen();
    auto const turned_away = answer_text("id-1", "", "503 No", "Untouched: 1\r\n");
    auto session = SessionWire(working(seen, turned_away), Kind{.repeatable = true});
    session.say(post("id-1"));
    REQUIRE(session.run_until([&] { return seen.requests == 1; }));
    session.leave();
    CHECK(session.run_until([&] { return session.session_over; }, bound));
    session.run_for(100 * one_millisecond);
    CHECK(seen.requests == 1);
}

TEST_CASE("a client that disconnected while the node was busy reaches no replica, not even on a pooled connection") {
    for (auto kept : {false, true}) {
        auto requests = 0;
        auto session = SessionWire(answering(requests));
        if (kept) session.say(post("id-0"));
        if (kept) REQUIRE(session.hear("text-of-id-0"));
        session.run_for(20 * one_millisecond);
        CHECK(session.wire.pooled() == (kept ? 1U : 0U));
        asio::write(session.wire.client, asio::buffer(post("id-1")));
        session.leave();  // request and disconnect are both pending when the node continues
        session.run_for(200 * one_millisecond);
        CHECK(session.session_over);
        CHECK(requests == (kept ? 1 : 0));
    }
}

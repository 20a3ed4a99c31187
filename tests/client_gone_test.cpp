// A client that closes its connection, at every moment of its request: nothing is sent for it any more, and the run
// that is under way ends. docs/users-rules.md, GONE.
#include <catch2/catch.hpp>

#include "session_wire.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

constexpr auto bound = 500 * one_millisecond;

struct Seen {  // by the replica
    int requests = 0;
    int ended = 0;  // connections
};

// Reads a request, says something, and waits for the end.
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

TEST_CASE("a client that leaves ends the run, whatever the replica has said of it so far") {
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
                if (early) session.say(post("id-2").substr(0, 20));  // the next request has begun
                session.run_for(20 * one_millisecond);
                session.leave();
                CHECK(session.run_until([&] { return seen.ended == 1; }, bound));
                CHECK(session.run_until([&] { return session.session_over; }, bound));
                session.run_for(50 * one_millisecond);
                CHECK(seen.requests == 1);  // no further try
                CHECK(session.wire.accepted == 1);
            }
}

TEST_CASE("a client that leaves while its long body goes out ends the run") {
    constexpr auto long_body = std::size_t{4U << 20U};
    auto seen = Seen();
    auto session = SessionWire(working(seen, "", "\r\n\r\nbb"));
    session.say(post("id-1", long_body));
    REQUIRE(session.run_until([&] { return seen.requests == 1; }));
    session.leave();
    CHECK(session.run_until([&] { return session.session_over; }, bound));
}

TEST_CASE("a client that leaves while it waits for a place reaches no replica, and the place goes to others") {
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

TEST_CASE("a client that leaves between two tries reaches no second replica") {
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

TEST_CASE("a client that left while the node was busy elsewhere reaches no replica, not even by a kept connection") {
    for (auto kept : {false, true}) {
        auto requests = 0;
        auto session = SessionWire(answering(requests));
        if (kept) session.say(post("id-0"));
        if (kept) REQUIRE(session.hear("text-of-id-0"));
        session.run_for(20 * one_millisecond);
        CHECK(session.wire.pooled() == (kept ? 1U : 0U));
        asio::write(session.wire.client, asio::buffer(post("id-1")));
        session.leave();  // both lie there before the node looks again
        session.run_for(200 * one_millisecond);
        CHECK(session.session_over);
        CHECK(requests == (kept ? 1 : 0));
    }
}

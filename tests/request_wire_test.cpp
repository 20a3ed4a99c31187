// Single tries on real sockets, against replicas that misbehave in the ways that docs/requests.md lists.
#include <catch2/catch.hpp>

#include "request_wire_helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

TEST_CASE("each replica behaviour gives its try result, and a connection is reused only after a complete answer") {
    struct Case {
        char const* event;
        Script script;
        TryEnd end;
        std::size_t pooled;
    };
    auto const unframed = std::string("HTTP/1.1 200 OK\r\nRequest-Name: id-1\r\nStamp: s\r\n\r\npart");
    auto const whole = answer_text("id-1", "text");
    for (auto const& item : std::vector<Case>{
             {"close before the answer", saying(""), TryEnd::unknown_before, 0},
             {"reset before the answer", saying("", true), TryEnd::unknown_before, 0},
             {"garbage", saying("%% no answer %%\r\n\r\n"), TryEnd::unknown_before, 0},
             {"another's answer alone", saying(answer_text("id-0", "other")), TryEnd::unknown_before, 0},
             {"cut within the head", saying("HTTP/1.1 200 OK\r\nRequest-"), TryEnd::unknown_before, 0},
             {"cut before the body", saying(whole.substr(0, whole.size() - 4)), TryEnd::unknown_before, 0},
             {"cut within the body", saying(whole.substr(0, whole.size() - 2)), TryEnd::broken_after, 0},
             {"unframed, to its end", saying(unframed), TryEnd::answered, 0},
             {"unframed, reset", saying(unframed, true), TryEnd::broken_after, 0},
             {"without the stamp", saying(answer_text("id-1", "text", "200 OK", "")), TryEnd::unknown_before, 0},
             {"not run", saying(answer_text("id-1", "", "503 No", "Untouched: 1\r\n"), false, false),
              TryEnd::did_not_run, 1},
             {"a promise that is not the replica's", saying(answer_text("id-1", "", "503 No"), false, false),
              TryEnd::unknown_before, 1},
             {"its own failure", saying(answer_text("id-1", "sorry", "500 No"), false, false), TryEnd::answered_failure,
              1},
             {"whole", saying(whole, false, false), TryEnd::answered, 1},
             {"more after the answer", saying(whole + whole, false, false), TryEnd::answered, 0}}) {
        INFO(item.event);
        auto wire = Wire(item.script);
        CHECK(wire.ask().end == item.end);
        CHECK(wire.pooled() == item.pooled);
        CHECK_FALSE(wire.session->watch->on_gone);  // a client that disconnects now must not close a pooled connection
    }
}

TEST_CASE("a late second answer on a reused connection is discarded") {
    auto wire = Wire([](Peer& peer) -> awaitable<void> {
        co_await peer.until("id-1");
        co_await peer.say(answer_text("id-1", "first"));
        co_await peer.until("id-2");
        co_await peer.say(answer_text("id-1", "again"));
        co_await peer.say(answer_text("id-2", "second"));
        co_await peer.until("never");
    });
    REQUIRE(wire.ask("id-1").end == TryEnd::answered);
    REQUIRE(wire.ask("id-2").end == TryEnd::answered);
    CHECK(wire.accepted == 1);
    CHECK(wire.node->counters.unmatched_answers == 1);
    auto const seen = wire.seen_by_client();
    CHECK(seen.find("again") == std::string::npos);
    CHECK(seen.find("second") != std::string::npos);
}

TEST_CASE("a request that is sent to a replica again uses a new connection") {
    auto const turned_away = answer_text("id-1", "", "503 No", "Untouched: 1\r\n");
    auto wire = Wire([turned_away](Peer& peer) -> awaitable<void> {
        co_await peer.until("bbbb");
        auto text = turned_away;
        if (peer.number > 1) text = answer_text("id-1", "text");
        co_await peer.say(text);
        co_await peer.until("bbbbPOST");  // a second try on this connection would get the first one's answer
        co_await peer.say(turned_away);
        co_await peer.until("never");
    });
    auto const verdict = wire.judged(false, false);
    auto lifecycle = wire.course_of(verdict);
    auto answer = RelayAnswer();
    auto const request = Wire::request("id-1", 4);
    REQUIRE(wire.send(request, lifecycle, answer, verdict).end == TryEnd::did_not_run);
    REQUIRE(wire.pooled() == 1);
    CHECK(wire.send(request, lifecycle, answer, verdict).end == TryEnd::answered);
    CHECK(wire.accepted == 2);
}

TEST_CASE("an answer that arrives before a long body is sent is taken at once, and the connection is not reused") {
    constexpr auto long_body = std::size_t{24U << 20U};
    for (auto reset : {false, true}) {
        auto wire = Wire([reset](Peer& peer) -> awaitable<void> {
            co_await peer.until("\r\n\r\n");
            co_await peer.say(answer_text("id-1", "", "503 No", "Untouched: 1\r\n"));
            if (reset) peer.reset();
            else co_await peer.until("POST /a HTTP/1.1\r\nHost: h\r\nRequest-Name: id-2");
        });
        CHECK(wire.ask("id-1", false, long_body).end == TryEnd::did_not_run);
        CHECK(wire.pooled() == 0);
        wire.context.restart();
        while (!reset && wire.last_read.empty())
            wire.context.run_one();  // the replica reads on until the connection ends
        CHECK(wire.last_read.find("id-2") == std::string::npos);
        CHECK(wire.last_read.size() < long_body);
    }
}

TEST_CASE("a long body is sent completely despite a late answer to another request, and despite an early success") {
    constexpr auto long_body = std::size_t{12U << 20U};
    auto const begun = std::string("HTTP/1.1 200 OK\r\nRequest-Name: id-1\r\nStamp: s\r\nContent-Length: 4\r\n\r\nte");
    for (auto early : {false, true}) {
        auto wire = Wire([early, begun](Peer& peer) -> awaitable<void> {
            co_await peer.until("\r\n\r\n");
            co_await peer.say(answer_text("id-0", "late"));
            if (early) co_await peer.say(begun);
            while (peer.read.size() < long_body) {
                auto bytes = std::string(1U << 20U, ' ');
                auto const [failure, size] = co_await peer.socket.async_read_some(asio::buffer(bytes), use_tuple);
                if (failure) co_return;
                peer.read.append(bytes.data(), size);
            }
            if (!early) co_await peer.say(begun);
            co_await peer.say("xt");
            co_await peer.until("never");
        });
        CHECK(wire.ask("id-1", false, long_body).end == TryEnd::answered);
        CHECK(wire.pooled() == 1);
    }
}

TEST_CASE("an idle connection that its replica closed is not used again") {
    auto wire = Wire([](Peer& peer) -> awaitable<void> {
        co_await peer.until("bbbb");
        co_await peer.say(answer_text("id-" + std::to_string(peer.number), "text"));
        if (peer.number == 2) co_await peer.until("never");
    });
    REQUIRE(wire.ask("id-1").end == TryEnd::answered);
    while (wire.last_read.empty()) wire.context.run_one();  // until the replica has closed it
    CHECK(wire.ask("id-2").end == TryEnd::answered);
    CHECK(wire.accepted == 2);
}

TEST_CASE("a connection that the replica side dropped silently lowers the idle limit of all others for a while") {
    auto wire = Wire([](Peer& peer) -> awaitable<void> {
        co_await peer.until("bbbb");
        co_await peer.say(answer_text("id-1", "text"));
        co_await peer.until("id-2");
        peer.reset();
    });
    REQUIRE(wire.ask("id-1").end == TryEnd::answered);
    auto& pool = wire.node->pool;
    pool.idle["life-1"].front()->idle_since -= one_second;
    CHECK(wire.ask("id-2").end == TryEnd::unknown_before);  // the request may have run
    CHECK(pool.learned_idle_limit > 400 * one_millisecond);
    CHECK(pool.learned_idle_limit < 600 * one_millisecond);
    REQUIRE(wire.ask("id-1").end == TryEnd::answered);
    pool.idle["life-1"].front()->idle_since -= one_second;
    auto const now = clock_now();
    CHECK(pool.take("life-1", now) == nullptr);
    pool.record_stale_connection(0, now);
    CHECK(pool.learned_idle_limit == ReplicaPool::min_idle_time);
    pool.take("life-1", now + ReplicaPool::learned_limit_lifetime);
    CHECK(pool.learned_idle_limit == ReplicaPool::max_idle_time);
    pool.record_stale_connection(10 * one_second, now + ReplicaPool::learned_limit_lifetime);
    CHECK(pool.learned_idle_limit == 5 * one_second);
}

TEST_CASE("an answer in progress is cut off soon after the deadline, also when the replica is silent") {
    auto const whole = answer_text("id-1", "text");
    auto const begun = whole.substr(0, whole.size() - 4);  // the head
    for (auto const& said : {std::string(), begun, begun + "te"}) {
        auto wire = Wire(saying(said, false, false));
        wire.limit = 30 * one_millisecond;
        auto const began = clock_now();
        auto const end = wire.ask().end;
        CHECK((end == TryEnd::unknown_before || end == TryEnd::broken_after));
        CHECK(clock_now() - began < 2 * one_second);
    }
}

TEST_CASE("an answer without a body is relayed without one") {
    for (auto head : {false, true}) {
        auto const method = head ? http::verb::head : http::verb::post;
        auto const text =
            std::string("HTTP/1.1 ") + (head ? "200 OK" : "204 None") + "\r\nRequest-Name: id-1\r\nStamp: s\r\n\r\n";
        auto wire = Wire([text](Peer& peer) -> awaitable<void> {
            co_await peer.until("\r\n\r\n");
            co_await peer.say(text);
            co_await peer.until("never");
        });
        auto const verdict = wire.judged(false, false);
        auto lifecycle = wire.course_of(verdict);
        auto answer = RelayAnswer();
        CHECK(wire.send(Wire::request("id-1", 0, method), lifecycle, answer, verdict).end == TryEnd::answered);
        CHECK(wire.seen_by_client().ends_with("\r\n\r\n"));
        CHECK(wire.pooled() == 1);
        CHECK_FALSE(answer.chunked);
    }
}

TEST_CASE("a persistent connection for calls never takes bytes received before the call as its answer") {
    auto wire = Wire([](Peer& peer) -> awaitable<void> {
        co_await peer.until("/one");
        co_await peer.say(answer_text("", "one") + answer_text("", "stale"));
        if (peer.number == 1) co_await peer.until("never");
        co_await peer.until("/two");
        co_await peer.say(answer_text("", "two"));
    });
    auto connection = HttpConnection(wire.context.get_executor());
    auto const address = "127.0.0.1:" + std::to_string(wire.door.local_endpoint().port());
    auto bodies = std::vector<std::string>();
    for (auto const* target : {"/one", "/one?again"}) {
        auto done = false;
        asio::co_spawn(
            wire.context, connection.call(address, make_http_call(http::verb::get, target), one_second),
            [&](std::exception_ptr, HttpAnswer answer) {
                bodies.push_back(answer.body);
                done = true;
            });
        while (!done) wire.context.run_one();
    }
    CHECK(bodies == std::vector<std::string>{"one", "one"});
    CHECK(wire.accepted == 2);
}

TEST_CASE("a client's disconnect is detected, also behind a pipelined request") {
    for (auto const* early : {"", "GET /next"}) {
        auto wire = Wire(saying("", false, false));
        wire.session->begin_watch();
        auto told = 0;
        wire.session->watch->on_gone = [&] { ++told; };
        asio::write(wire.client, asio::buffer(std::string_view(early)));
        wire.context.run_for(std::chrono::milliseconds(5));
        CHECK_FALSE(wire.session->watch->gone);
        wire.client.close();
        while (!wire.session->watch->gone) wire.context.run_one();
        CHECK(told == 1);
        wire.session->end_watch();
    }
}

TEST_CASE("a replica that is drained while its connection is opened is sent nothing, and another try may follow") {
    auto wire = Wire(saying(answer_text("id-1", "whole")));
    auto const verdict = wire.judged(false, false);
    auto lifecycle = wire.course_of(verdict);
    auto answer = RelayAnswer();
    wire.know(true);
    auto const result = wire.send(Wire::request("id-1", 4), lifecycle, answer, verdict);
    CHECK(result.end == TryEnd::not_written);
    CHECK(result.reason == "moved-on");
    CHECK(result.held_back);
    CHECK(lifecycle.ended(result.end, result.reason).step == Step::enqueue);
}

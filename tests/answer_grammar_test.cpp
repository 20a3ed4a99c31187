// Replica responses against the HTTP grammar: status line, fields, framing, bodies, a second head in one response.
// docs/requests.md section 3.
#include "broken_answer_helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

TEST_CASE("the lowest and highest valid statuses are accepted") {
    auto const failed = seen_after(head_of("599", "Content-Length: 19\r\n") + body_mark);
    CHECK(failed.status == 599);
    CHECK(failed.bytes.ends_with(body_mark));
    auto const served = seen_after(head_of("100", "") + head_of("200", "Content-Length: 19\r\n") + body_mark);
    CHECK(served.status == 200);
    CHECK(served.bytes.ends_with(body_mark));
}

TEST_CASE("a response with repeated, conflicting or invalid lengths is malformed") {
    for (auto const* fields :
         {"Content-Length: 19\r\nContent-Length: 4\r\n", "Content-Length: 19\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 19\r\n", "Content-Length: 19, 4\r\n", "Content-Length: -1\r\n",
          "Content-Length: +19\r\n", "Content-Length: 0x13\r\n", "Content-Length:\r\n"}) {
        INFO(fields);
        check_no_answer(head_of("200", fields) + body_mark, true);
    }
}

TEST_CASE("a response with an invalid field, reason phrase or version is malformed") {
    auto const zero = std::string(1, '\0');
    for (auto const* status : {"200", "500", "503"}) {
        for (auto const& line : std::vector<std::string>{
                 "X Y: 1",
                 "X : 1",
                 "X\t: 1",
                 "X\x01: 1",
                 "X\x7f: 1",
                 "X\r: 1",
                 "X" + zero + ": 1",
                 "(X): 1",
                 ": 1",
                 "X",
                 "X: a\x01z",
                 "X: a" + zero + "z",
                 "X: a\rz",
                 "X: a\nz",
                 "X: 1\nY: 2",
                 "Untouched : 1",
                 "Content-Length : 4",
                 "Content-Length\x01: 4",
                 "Content-Length: 4\x01",
                 "Transfer-Encoding : chunked",
                 "Transfer-Encoding\x0b: chunked",
                 "Transfer-Encoding: \x0b"
                 "chunked"}) {
            INFO(status << " " << line);
            check_no_answer(head_of(status, line + "\r\nContent-Length: 19\r\n") + body_mark);
            check_no_answer(head_of(status, line + "\r\n") + body_mark, true);
        }
        for (auto const& word : {"\x01", "a\rz", "\x7f"}) {
            INFO(status << " " << word);
            check_no_answer(head_of(std::string(status) + " " + word, "Content-Length: 19\r\n") + body_mark);
        }
    }
    auto const rest = head_of("200", "Content-Length: 19\r\n").substr(8) + body_mark;
    for (auto const* version : {"HTTP/0.9", "HTTP/1.2", "HTTP/2.0", "HTTP/11", "http/1.1", "ICY"}) {
        INFO(version);
        check_no_answer(version + rest);
    }
    for (auto const* status : {"20", "2000", "-20", "+200", "2x0", " 200", ""}) {
        INFO(status);
        check_no_answer(head_of(status, "Content-Length: 19\r\n") + body_mark);
    }
}

TEST_CASE("a folded field line is relayed as one line") {
    auto const seen = seen_after(head_of("200", "X: a\r\n\tY: b\r\nContent-Length: 19\r\n") + body_mark);
    INFO(seen.bytes);
    CHECK(seen.status == 200);
    CHECK(seen.bytes.ends_with(body_mark));
}

TEST_CASE("a response with malformed chunks or trailers never looks complete") {
    for (auto const* end : {"zz\r\n", "13\r\nbody-of-the-replicaXX", "0\r\nX Y: 1\r\n\r\n", "0\r\nX\x01: 1\r\n\r\n"}) {
        INFO(end);
        auto const seen = seen_after(head_of("200", "Transfer-Encoding: chunked\r\n") + "4\r\ntext\r\n" + end);
        CHECK(seen.bytes.find("\r\n0\r\n") == std::string::npos);
        CHECK(seen.requests == 1);
        CHECK(seen.pooled == 0);
        check_no_answer(head_of("500", "Transfer-Encoding: chunked\r\n") + "4\r\ntext\r\n" + end);
    }
}

TEST_CASE("a body on a response that must not have one is dropped, and its connection is not reused") {
    for (auto const* status : {"204", "304"}) {
        auto const seen = seen_after(head_of(status, "Content-Length: 19\r\n") + body_mark);
        INFO(seen.bytes);
        CHECK(seen.status == std::stoi(status));
        CHECK(seen.bytes.ends_with("\r\n\r\n"));
        CHECK(seen.pooled == 0);
    }
}

TEST_CASE("a stream whose next try gets a malformed response is cut, and no second head is sent") {
    for (auto const& head :
         {head_of("000", "Transfer-Encoding: chunked\r\n"), head_of("200", "Transfer-Encoding: gzip, chunked\r\n"),
          head_of("200", "X Y: 1\r\nTransfer-Encoding: chunked\r\n")}) {
        INFO(head);
        auto requests = 0;
        auto session = SessionWire(
            [&](Peer& peer) -> awaitable<void> {
                co_await peer.until("bbbb");
                auto const first = head_of("200", "Transfer-Encoding: chunked\r\n") + "11\r\nid: 1\ndata: one\n\n\r\n";
                auto text = head + "11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n";
                if (++requests == 1) text = first;
                co_await peer.say(text);
            },
            Kind{.repeatable = true, .stream = true, .replicas = 2});
        session.say(post("id-1"));
        CHECK(session.run_until([&] {
            session.listen();
            return session.session_over;
        }));
        CHECK(requests == 2);
        CHECK(strict_status(session.seen) == 200);
        CHECK(session.answers("HTTP/1.1") == 1);
        CHECK(session.answers("data: one") == 1);
        CHECK(session.answers("data: two") == 0);
        CHECK_FALSE(session.seen.ends_with("0\r\n\r\n"));
    }
}

// Malformed requests, smuggled requests, and how failures are answered. docs/users-rules.md, UNASKED and MIXED.
#include <catch2/catch.hpp>

#include "session_wire.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

// What the client receives until its connection ends or is silent for a while.
auto heard_of(SessionWire& session, std::string const& text) -> std::string {
    session.say(text);
    session.run_until(
        [&] {
            session.listen();
            return session.session_over;
        },
        300 * one_millisecond);
    session.listen();
    return session.seen;
}

// Answers the requests on its connections with these texts in turn, repeating the last one.
auto saying_in_turn(std::vector<std::string> texts, std::size_t& requests) -> Script {
    return [texts, &requests](Peer& peer) -> awaitable<void> {
        while (co_await peer.until("bbbb")) {
            peer.read.clear();
            co_await peer.say(texts[std::min(requests++, texts.size() - 1)]);
        }
    };
}

auto field_of(std::string const& head, std::string const& name) -> std::string {
    auto const at = head.find(name + ": ");
    if (at == std::string::npos) return {};
    auto const from = at + name.size() + 2;
    return head.substr(from, head.find("\r\n", from) - from);
}

// Reads each request by its Content-Length, records its identity and answers it.
auto noting(std::vector<std::string>& names) -> Script {
    return [&names](Peer& peer) -> awaitable<void> {
        while (co_await peer.until("\r\n\r\n")) {
            auto const head = peer.read.substr(0, peer.read.find("\r\n\r\n") + 4);
            auto const length = field_of(head, "Content-Length");
            auto const size = head.size() + (length.empty() ? 0 : std::stoul(length));
            while (peer.read.size() < size) {
                auto bytes = std::array<char, 4096>();
                auto const [failure, more] = co_await peer.socket.async_read_some(asio::buffer(bytes), use_tuple);
                if (failure) co_return;
                peer.read.append(bytes.data(), more);
            }
            peer.read.erase(0, size);
            names.push_back(field_of(head, "Request-Name"));
            co_await peer.say(answer_text(names.back(), "text-of-" + names.back()));
        }
    };
}

// A second replica instance at the same address, available for a further try.
auto list_another(SessionWire& session) -> void {
    auto& node = *session.wire.node;
    auto fresh = std::make_shared<Snapshot>(*node.snapshot.load());
    fresh->list.replicas.push_back(fresh->list.replicas.front());
    fresh->list.replicas.back().name = "life-2";
    node.snapshot = fresh;
    node.table.scheduler.load_table.take_list(fresh->list);
    for (auto const* name : {"life-1", "life-2"}) node.table.scheduler.load_table.take_weights(name, "", false);
}

}  // namespace

TEST_CASE("malformed or too large requests get their status and reach no replica") {
    struct Case {
        char const* what;
        std::string text;
        std::string status;
    };
    auto const head = std::string("POST /a HTTP/1.1\r\nHost: h\r\nRequest-Name: id-1\r\n");
    auto const old_head = std::string("POST /a HTTP/1.0\r\nHost: h\r\nRequest-Name: id-1\r\n");
    auto const chunks = std::string("4\r\nbbbb\r\n0\r\n\r\n");
    auto const large = std::to_string(std::int64_t{1} << 40U);
    for (auto const& item : std::vector<Case>{
             {"no request", "bbbb bbbb\r\n\r\n", "400"},
             {"two lengths", head + "Content-Length: 4\r\nContent-Length: 8\r\n\r\nbbbbbbbb", "400"},
             {"a length that is none", head + "Content-Length: four\r\n\r\nbbbb", "400"},
             {"a length below none", head + "Content-Length: -4\r\n\r\nbbbb", "400"},
             {"a chunk that is none", head + "Transfer-Encoding: chunked\r\n\r\nfour\r\nbbbb\r\n0\r\n\r\n", "400"},
             {"a coding that is none", head + "Transfer-Encoding: xchunked\r\nContent-Length: 4\r\n\r\nbbbb", "400"},
             {"a coding that is none below chunks", head + "Transfer-Encoding: xchunked, chunked\r\n\r\n" + chunks,
              "400"},
             {"two codings, of which one is none",
              head + "Transfer-Encoding: xchunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, "400"},
             {"chunks in HTTP/1.0", old_head + "Transfer-Encoding: chunked\r\n\r\n" + chunks, "400"},
             {"a blank before a header's colon", head + "Content-Length : 4\r\n\r\nbbbb", "400"},
             {"a body above the limit", head + "Content-Length: " + large + "\r\n\r\nbbbb", "413"},
             {"a head above the limit", head + "X: " + std::string(300'000, 'b') + "\r\n\r\n", "431"}}) {
        INFO(item.what);
        auto requests = 0;
        auto session = SessionWire(answering(requests));
        auto const heard = heard_of(session, item.text);
        CHECK(heard.substr(0, 12) == "HTTP/1.1 " + item.status);
        CHECK(heard.find("Connection: close") != std::string::npos);
        CHECK(session.session_over);
        CHECK(requests == 0);
    }
}

TEST_CASE("a request within the body of another is not executed, whatever the body's framing") {
    auto const inner =
        std::string("POST /a HTTP/1.1\r\nHost: h\r\nRequest-Name: inner\r\nContent-Length: 4\r\n\r\nbbbb");
    auto const head = std::string("POST /a HTTP/1.1\r\nHost: h\r\nRequest-Name: outer\r\n");
    auto const size = std::to_string(inner.size());
    auto chunk = std::ostringstream();
    chunk << std::hex << inner.size();
    for (auto const& text :
         {head + "Content-Length: " + size + "\r\n\r\n" + inner,
          head + "Transfer-Encoding: chunked\r\n\r\n" + chunk.str() + "\r\n" + inner + "\r\n0\r\n\r\n",
          head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
          head + "Transfer-Encoding: chunked\r\nContent-Length: " + size + "\r\n\r\n" + inner}) {
        INFO(text);
        auto names = std::vector<std::string>();
        auto session = SessionWire(noting(names));
        heard_of(session, text);
        CHECK(session.answers("text-of-inner") == 0);
        CHECK(names.size() <= 1);
        CHECK(std::count(names.begin(), names.end(), "inner") == 0);
    }
}

TEST_CASE("a relayed failure has the status, the stamp and the body of one replica's answer, or none of them") {
    struct Case {
        char const* what;
        bool repeatable;
        std::vector<std::string> answers;
        std::size_t requests;
        std::string status;
        bool stamped;
    };
    auto const failure = answer_text("id-1", "sorry", "500 No", "Stamp: first\r\n");
    auto const other = answer_text("id-1", "alas", "502 No", "Stamp: second\r\n");
    auto const not_run = answer_text("id-1", "busy", "503 No", "Stamp: third\r\nUntouched: 1\r\n");
    auto const promise = answer_text("id-1", "busy", "503 No", "Stamp: fourth\r\n");
    for (auto const& item : std::vector<Case>{
             {"a failure", false, {failure}, 1, "500", true},
             {"a failure after a request that was turned away", false, {not_run, failure}, 2, "500", true},
             {"a failure, then another", true, {failure, other}, 2, "502", true},
             {"a failure, then no answer", true, {failure, "%%\r\n\r\n"}, 2, "500", true},
             {"turned away to the end", false, {not_run}, 2, "503", false},
             {"a promise that is not the replica's", false, {promise}, 1, "502", false},
             {"a failure, then such a promise", true, {failure, promise}, 2, "500", true}}) {
        INFO(item.what);
        auto requests = std::size_t{0};
        auto session = SessionWire(saying_in_turn(item.answers, requests), Kind{.repeatable = item.repeatable});
        list_another(session);
        session.say(post("id-1"));
        REQUIRE(session.hear("HTTP/1.1 "));
        session.run_for(20 * one_millisecond);
        session.listen();
        CHECK(requests == item.requests);
        CHECK(session.answers("HTTP/1.1 ") == 1);
        CHECK(session.seen.substr(9, 3) == item.status);
        CHECK((session.answers("Stamp: ") == 1) == item.stamped);
        if (item.status == "500") CHECK(session.answers("Stamp: first") + session.answers("sorry") == 2);
        if (item.stamped && item.status == "502")
            CHECK(session.answers("Stamp: second") + session.answers("alas") == 2);
    }
}

// Responses to the node's own calls (platform list, reports, events, orders, forwarding to the application) and to runs
// on the product's own protocol: a malformed response counts as none, and interim responses are skipped.
// docs/requests.md section 3.
#include <catch2/catch.hpp>

#include "request_wire_helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

constexpr auto early_hints = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
constexpr auto body = "{\"whole\":true}";

auto head_of(std::string const& status, std::string const& more) -> std::string {
    return "HTTP/1.1 " + status + " Word\r\n" + more + "\r\n";
}

auto answer_of(std::string const& status, std::string const& more = "Content-Length: 14\r\n") -> std::string {
    return head_of(status, more) + body;
}

// Sends these responses in turn, one per request on a connection.
auto answering_with(std::vector<std::string> texts) -> Script {
    return [texts](Peer& peer) -> awaitable<void> {
        for (auto const& text : texts) {
            if (!co_await peer.until("\r\n\r\n")) co_return;
            peer.read.clear();
            co_await peer.say(text);
        }
        co_await peer.until("never");
    };
}

template <typename Result>
auto outcome_of(asio::io_context& context, awaitable<Result> work) -> Result {
    auto result = Result();
    auto done = false;
    asio::co_spawn(context, std::move(work), [&](std::exception_ptr failure, Result made) {
        if (!failure) result = std::move(made);
        done = true;
    });
    while (!done) context.run_one();
    return result;
}

auto address_of(Wire const& wire) -> std::string {
    return "127.0.0.1:" + std::to_string(wire.door.local_endpoint().port());
}

struct Called {
    HttpAnswer answer;
    bool kept = false;  // the connection stays open for the next call
};

auto called(std::string const& text, Microseconds limit = 300 * one_millisecond) -> Called {
    auto wire = Wire(answering_with({text}));
    auto connection = HttpConnection(wire.context.get_executor());
    auto const ask = make_http_call(http::verb::get, "/list");
    auto answer = outcome_of(wire.context, connection.call(address_of(wire), ask, limit));
    return {std::move(answer), connection.open};
}

// A run on the product's own protocol, on a replica that answers with `text`.
auto run_against(std::string const& text) -> TryResult {
    auto wire = Wire(answering_with({text}));
    auto caller = tcp::socket(wire.context);
    caller.connect(wire.client_door.local_endpoint());
    auto session = Session{*wire.node, wire.client_door.accept(), {}, 0};
    auto const lifecycle = wire.course_of(wire.judged(false, false));
    return outcome_of(wire.context, run_try(session, lifecycle, true));
}

// What the client of a forwarded request receives when the application answers with `text`.
auto forwarded(std::string const& text) -> std::string {
    auto wire = Wire(answering_with({text}));
    auto caller = tcp::socket(wire.context);
    caller.connect(wire.client_door.local_endpoint());
    auto session = Session{*wire.node, wire.client_door.accept(), {}, 0};
    wire.know(false);
    auto fresh = std::make_shared<Snapshot>(*wire.node->snapshot.load());
    fresh->list.application.emplace().address = address_of(wire);
    wire.node->snapshot = fresh;
    auto verdict = Verdict();
    verdict.forward_path = "/page";
    outcome_of(wire.context, session.forward_application(HttpRequest(http::verb::get, "/page", 11), verdict));
    auto bytes = std::array<char, 4096>();
    return {bytes.data(), caller.read_some(asio::buffer(bytes))};
}

auto const broken_answers = std::vector<std::string>{
    answer_of("000"),
    answer_of("099"),
    answer_of("600"),
    answer_of("200", "Transfer-Encoding: gzip\r\nContent-Length: 14\r\n"),
    head_of("200", "Transfer-Encoding: gzip, chunked\r\n") + "e\r\n" + body + "\r\n0\r\n\r\n",
    answer_of("200", "X Y: 1\r\nContent-Length: 14\r\n"),
    answer_of("200", "Content-Length\x01: 14\r\n")};

}  // namespace

TEST_CASE("a call with a malformed response has no answer, and its connection is closed") {
    for (auto const& text : broken_answers) {
        INFO(text);
        auto const seen = called(text);
        CHECK(seen.answer.end == CallEnd::no_answer);
        CHECK(seen.answer.body.empty());
        CHECK_FALSE(seen.kept);
    }
}

TEST_CASE("the answer to a call is the final response after interim ones") {
    auto const seen = called(std::string(early_hints) + early_hints + answer_of("200"));
    CHECK(seen.answer.status == 200);
    CHECK(seen.answer.body == body);
    CHECK(seen.kept);
    CHECK(called(early_hints).answer.end == CallEnd::no_answer);
}

TEST_CASE("a call with endless interim responses ends at its limit") {
    auto wire = Wire([](Peer& peer) -> awaitable<void> {
        co_await peer.until("\r\n\r\n");
        auto const end = clock_now() + 2 * one_second;
        while (clock_now() < end) co_await peer.say(early_hints);
    });
    auto connection = HttpConnection(wire.context.get_executor());
    auto const ask = make_http_call(http::verb::get, "/list");
    auto const began = clock_now();
    CHECK(
        outcome_of(wire.context, connection.call(address_of(wire), ask, 300 * one_millisecond)).end ==
        CallEnd::no_answer);
    CHECK(clock_now() - began < one_second);
}

TEST_CASE("a run with a malformed response may have run or not") {
    auto texts = broken_answers;
    texts.push_back(head_of("409", "Transfer-Encoding: chunked\r\n") + "d\r\n{\"ran\":false}\r\nzz\r\n");
    for (auto const& text : texts) {
        INFO(text);
        CHECK(run_against(text).end == TryEnd::unknown_before);
    }
    auto const refusal = head_of("409", "Content-Length: 13\r\n") + "{\"ran\":false}";
    CHECK(run_against(refusal).end == TryEnd::did_not_run);
}

TEST_CASE("a run is answered by the final response after interim ones") {
    auto const pieces = std::string("{\"piece\":0}\n{\"pieces\":1}\n");
    auto const text =
        early_hints + head_of("200", "Content-Length: " + std::to_string(pieces.size()) + "\r\n") + pieces;
    CHECK(run_against(text).end == TryEnd::answered);
    CHECK(
        run_against(early_hints + head_of("409", "Content-Length: 13\r\n") + "{\"ran\":false}").end ==
        TryEnd::did_not_run);
}

TEST_CASE("a malformed response of the application is not forwarded to the client") {
    for (auto const& text : broken_answers) {
        INFO(text);
        CHECK(forwarded(text).starts_with("HTTP/1.1 502 "));
    }
    auto const seen = forwarded(early_hints + answer_of("200"));
    CHECK(seen.starts_with("HTTP/1.1 200 "));
    CHECK(seen.ends_with(body));
}

// Rules, list or proof that go on between the judging of a request and its sending. docs/design.md section 8.3.
#include <catch2/catch.hpp>

#include "session_wire.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

auto set_list(Node& node, bool drain) -> void {
    auto fresh = std::make_shared<Snapshot>(*node.snapshot.load());
    fresh->list.replicas.front().drain = drain;
    node.snapshot = fresh;
    node.table.with([&](Scheduler& scheduler) { scheduler.load_table.take_list(fresh->list); });
}

// Between the step that sends and the moment its connection is there.
auto drain_at_first_try(Node& node) -> awaitable<void> {
    auto const executor = co_await asio::this_coro::executor;
    while (node.counters.tries == 0) co_await asio::post(executor, asio::use_awaitable);
    set_list(node, true);
}

}  // namespace

TEST_CASE("a route's only try is still there after its replica left while the connection was opened", "[course]") {
    auto requests = 0;
    auto session = SessionWire(answering(requests), Kind{.tries = 1});
    auto& node = *session.wire.node;
    asio::co_spawn(session.wire.context, drain_at_first_try(node), asio::detached);
    session.say(post("id-1"));
    REQUIRE(session.run_until([&] { return node.snapshot.load()->list.replicas.front().drain; }));
    session.run_for(50 * one_millisecond);
    session.listen();
    CHECK(session.seen.empty());
    CHECK(requests == 0);
    set_list(node, false);
    CHECK(session.hear("text-of-id-1"));
    CHECK(requests == 1);
}

TEST_CASE("a request that was judged by one snapshot is judged again where the next is in force", "[course]") {
    auto requests = 0;
    auto session = SessionWire(answering(requests));
    auto& node = *session.wire.node;
    node.proven_at = clock_now();
    auto request = Wire::request("id-1", 4);
    auto const interpretation = session.wire.session->interpret_request(request, clock_now());
    REQUIRE(interpretation.verdict.verdict.kind == Verdict::Kind::enqueue);
    auto fresh = std::make_shared<Snapshot>(*node.snapshot.load());
    auto rules = std::make_shared<Rules>();
    rules->sequence = {1, 2};
    rules->services = compile_services(ServiceDocument());  // the route was taken away
    fresh->rules = rules;
    node.snapshot = fresh;
    session.wire.session->begin_watch();
    auto done = false;
    asio::co_spawn(
        session.wire.context, session.wire.session->run(request, interpretation),
        [&](std::exception_ptr, bool) { done = true; });
    REQUIRE(session.run_until([&] { return done; }));
    session.wire.session->end_watch();
    session.listen();
    CHECK(session.seen.starts_with("HTTP/1.1 404 "));
    CHECK(requests == 0);
}

TEST_CASE("a try that is kept back before it is written is none of the route's tries") {
    auto wire = Wire(saying(answer_text("id-1", "whole")));
    auto const verdict = wire.judged(false, false);
    auto lifecycle = wire.course_of(verdict);
    lifecycle.inference.tries = 1;
    auto answer = RelayAnswer();
    wire.know(true);
    REQUIRE(wire.send(Wire::request("id-1", 4), lifecycle, answer, verdict).held_back);
    auto const step = lifecycle.send_cancelled();
    CHECK(step.step == Step::enqueue);
    CHECK(step.release_replica == "life-1");
    CHECK(lifecycle.try_number == 1);
    CHECK_FALSE(lifecycle.avoid);
    CHECK(lifecycle.may_have_run == 0);
    wire.know(false);
    CHECK(wire.send(Wire::request("id-1", 4), lifecycle, answer, verdict).end == TryEnd::answered);
}

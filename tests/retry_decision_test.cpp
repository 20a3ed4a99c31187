// Retry decisions for every combination of facts. docs/requests.md has the table.
#include <catch2/catch.hpp>

#include "ticket/request_lifecycle.hpp"

using namespace dockrock;

namespace {

template <typename Work>
auto for_each_facts(Work work) -> void {
    for (auto written = 0; written <= static_cast<int>(BytesWritten::whole); ++written)
        for (auto reused = 0; reused < 2; ++reused)
            for (auto received = 0; received <= static_cast<int>(Received::complete); ++received)
                for (auto gone = 0; gone < 2; ++gone)
                    for (auto resumable = 0; resumable < 2; ++resumable)
                        work(TryFacts{
                            static_cast<BytesWritten>(written), static_cast<ConnectionUse>(reused),
                            static_cast<Received>(received), static_cast<ClientState>(gone), resumable == 1});
}

template <typename Work>
auto for_each_request(Work work) -> void {
    for (auto bits = 0; bits < 16; ++bits)
        work(RetryRequest{(bits & 1) != 0, (bits & 2) != 0, (bits & 4) != 0, (bits & 8) != 0});
}

template <typename Work>
auto for_each_limits(Work work) -> void {
    for (auto tries : {std::int64_t{0}, std::int64_t{1}})
        for (auto budget : {false, true})
            for (auto time : {Microseconds{-1}, Microseconds{0}, Microseconds{1}})
                work(RetryLimits{tries, budget, time});
}

auto left(RetryLimits const& limits) -> bool {
    return limits.tries_left > 0 && limits.budget_left && limits.time_left > 0;
}

// One event of the table and the decision for each type of request: first while tries, budget and time are left,
// then without them.
struct Row {
    char const* event;
    BytesWritten written;
    Received received;
    RetryDecision once, repeatable, resumable;
    RetryDecision once_at_limit, repeatable_at_limit, resumable_at_limit;
};

using enum RetryDecision;
using Bytes = BytesWritten;
constexpr auto table = std::to_array<Row>({
    {"no connection", Bytes::not_connected, Received::nothing, send_again, send_again, send_again, refused, refused,
     refused},
    {"reset before a byte left", Bytes::none, Received::nothing, send_again, send_again, send_again, refused, refused,
     refused},
    {"reset within the head", Bytes::part_of_head, Received::nothing, send_again, send_again, send_again, refused,
     refused, refused},
    {"reset within the body", Bytes::head, Received::nothing, unknown, send_again, send_again, unknown, unknown,
     unknown},
    {"silence, close or reset after all was sent", Bytes::whole, Received::nothing, unknown, send_again, send_again,
     unknown, unknown, unknown},
    {"not run, early", Bytes::head, Received::not_run, send_again, send_again, send_again, refused, refused, refused},
    {"not run", Bytes::whole, Received::not_run, send_again, send_again, send_again, refused, refused, refused},
    {"seen before", Bytes::whole, Received::seen_before, seen, seen, seen, seen, seen, seen},
    {"its own failure", Bytes::whole, Received::failure, pass_failure, send_again, send_again, pass_failure,
     pass_failure, pass_failure},
    {"a status that promises, without its word", Bytes::whole, Received::unconfirmed_not_run, unknown, send_again,
     send_again, unknown, unknown, unknown},
    {"cut before the client had any of it", Bytes::whole, Received::cut_before_output, unknown, send_again, send_again,
     unknown, unknown, unknown},
    {"cut after the client had a part", Bytes::whole, Received::cut_after_output, cut, cut, send_again, cut, cut, cut},
    {"whole", Bytes::whole, Received::complete, finished, finished, finished, finished, finished, finished},
});

auto decided(Row const& row, bool repeatable, bool resumable, RetryLimits const& limits) -> RetryDecision {
    auto facts = TryFacts{row.written, ConnectionUse::reused, row.received};
    facts.output_resumable = resumable;
    return retry::decide(retry::end_of(facts), RetryRequest{repeatable}, limits);
}

}  // namespace

TEST_CASE("the table of events and types of request") {
    auto none_left = RetryLimits{0, true, one_second};
    for (auto const& row : table) {
        INFO(row.event);
        CHECK(decided(row, false, false, {}) == row.once);
        CHECK(decided(row, true, false, {}) == row.repeatable);
        CHECK(decided(row, true, true, {}) == row.resumable);
        CHECK(decided(row, false, false, none_left) == row.once_at_limit);
        CHECK(decided(row, true, false, none_left) == row.repeatable_at_limit);
        CHECK(decided(row, true, true, none_left) == row.resumable_at_limit);
    }
}

TEST_CASE("in every combination of facts no request that runs once is repeated, and no answer is untrue") {
    auto combinations = 0;
    for_each_facts([&](TryFacts const& facts) {
        auto const end = retry::end_of(facts);
        auto const word = facts.received == Received::not_run || facts.received == Received::seen_before;
        auto const silent = facts.received == Received::nothing;
        auto const could_run = !word && (!silent || facts.written >= BytesWritten::head);
        for_each_request([&](RetryRequest const& request) {
            for_each_limits([&](RetryLimits const& limits) {
                ++combinations;
                auto const decision = retry::decide(end, request, limits);
                auto const again = decision == RetryDecision::send_again;
                auto const ran = could_run || request.may_have_run;
                if (again && !request.repeatable && ran) FAIL("a request that runs once is sent again");
                if (again && !left(limits)) FAIL("sent again beyond its limits");
                if (again && facts.client == ClientState::gone) FAIL("sent again though the client is gone");
                if (decision == RetryDecision::refused && ran) FAIL("refused, and it may have run");
                if (decision == RetryDecision::refused && request.output_begun) FAIL("refused within a response");
                if (decision == RetryDecision::unknown && request.output_begun) FAIL("a second head within a response");
                if (facts.received == Received::cut_after_output && again && !facts.output_resumable)
                    FAIL("parts of two runs in one response");
                auto const waiting = facts.client == ClientState::waiting;
                if (waiting && decision == RetryDecision::finished && facts.received != Received::complete)
                    FAIL("an incomplete response ends as if it were complete");
            });
        });
    });
    CHECK(combinations == 5 * 2 * 8 * 2 * 2 * 16 * 12);
}

TEST_CASE("a reset on a reused connection leads to the same decision as on a fresh connection") {
    for_each_facts([&](TryFacts facts) {
        auto const end = retry::end_of(facts);
        facts.connection = ConnectionUse::reused;
        CHECK(retry::end_of(facts) == end);
    });
}

TEST_CASE("one request is sent to no more replicas than its route's tries, whatever happens") {
    for (auto tries = std::int64_t{1}; tries <= 4; ++tries)
        for (auto once : {false, true}) {
            auto lifecycle = RequestLifecycle();
            lifecycle.inference.tries = tries;
            lifecycle.inference.body.run_once = once;
            auto sent = std::int64_t{1};
            while (lifecycle.ended(TryEnd::did_not_run, "busy").step == Step::enqueue) ++sent;
            CHECK(sent == tries);
        }
}

TEST_CASE("no time left: nothing is sent, and what has not run is refused") {
    auto lifecycle = RequestLifecycle();
    lifecycle.inference.deadline = 5 * one_second;
    auto facts = LifecycleFacts();
    facts.listed = true;
    facts.now = 5 * one_second - 1;
    CHECK(lifecycle.placed(Placement(), facts).step == Step::send);
    facts.now = 5 * one_second;
    CHECK(lifecycle.placed(Placement(), facts).step == Step::answer_shed);
    lifecycle.inference.body.run_once = false;
    lifecycle.ended(TryEnd::unknown_before, "broke");
    CHECK(lifecycle.placed(Placement(), facts).step == Step::answer_unknown);
}

TEST_CASE("rules that change while a request is queued never let it run more often or on more replicas") {
    auto lifecycle = RequestLifecycle();
    lifecycle.inference.body.run_once = false;
    lifecycle.inference.tries = 3;
    CHECK(lifecycle.ended(TryEnd::unknown_before, "broke").step == Step::enqueue);
    auto verdict = Verdict();
    verdict.kind = Verdict::Kind::enqueue;
    verdict.inference.body.run_once = true;
    verdict.inference.tries = 9;
    CHECK(lifecycle.reinterpreted(verdict, {1, 2}, LifecycleFacts()).step == Step::answer_unknown);
    CHECK(lifecycle.inference.tries == 3);
    auto fresh = RequestLifecycle();
    verdict.inference.chain = {7};  // queued again, as a request that runs once
    fresh.inference.body.run_once = false;
    CHECK(fresh.reinterpreted(verdict, {1, 2}, LifecycleFacts()).step == Step::enqueue);
    CHECK(fresh.inference.body.run_once);
}

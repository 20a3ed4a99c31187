// Work at replicas with older weights ends by its deadlines, without a leader or an order. docs/design.md section 11.5.
#include <catch2/catch.hpp>

#include "control/work_limits.hpp"
#include "process/pause.hpp"
#include "request_wire_helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

constexpr auto bound = 15 * one_second;
constexpr auto now = 100 * one_second;

auto holding(std::int64_t version) -> Snapshot {
    auto snapshot = Snapshot();
    snapshot.replica_weights["life-1"].versions["m"] = version;
    return snapshot;
}

// A connection to a replica with version 1; `left` is the time until a newer one has to serve everywhere.
struct OlderWeights {
    Wire wire;
    RelayVerdict verdict = wire.judged(false, true);
    RequestLifecycle lifecycle = wire.course_of(verdict);
    RelayAnswer answer;

    OlderWeights(Script script, Microseconds left) : wire(std::move(script)) {
        wire.protocol.headers.deadline = "Left";
        wire.node->settings.bounds.weights = bound;
        auto snapshot = std::make_shared<Snapshot>(*wire.node->snapshot.load());
        snapshot->replica_weights["life-1"].versions["m"] = 1;
        snapshot->version_times["m"].at[2] = clock_now() + left - bound;
        wire.node->snapshot = snapshot;
    }
    auto ask() -> TryResult { return wire.send(Wire::request("id-1", 4), lifecycle, answer, verdict); }
};

}  // namespace

TEST_CASE("older weights end when the first newer version has to serve everywhere, regardless of later targets") {
    auto snapshot = holding(1);
    snapshot.version_times["m"].at = {{2, now - 5 * one_second}, {3, now - one_second}};
    auto const limits = work_limits(snapshot, "life-1", bound, now);
    CHECK(limits.begin_by == now + 10 * one_second - recall_margin);
    CHECK(limits.end_by == now + 10 * one_second - end_margin);
}

TEST_CASE("work at the newest weights ends in the time that a target set now would leave") {
    auto snapshot = holding(3);
    snapshot.version_times["m"].at = {{2, now - 14 * one_second}, {3, now - 13 * one_second}};
    CHECK(work_limits(snapshot, "life-1", bound, now).begin_by == now + bound - recall_margin);
    CHECK(work_limits(holding(1), "life-1", bound, now).begin_by == now + bound - recall_margin);
}

TEST_CASE("work has no limits if no bound is set, or for replicas without weights") {
    CHECK(work_limits(holding(1), "life-1", 0, now).begin_by == WorkLimits::none);
    CHECK(work_limits(holding(1), "other", bound, now).end_by == WorkLimits::none);
    auto plain = Snapshot();
    plain.replica_weights["life-1"] = {};
    CHECK(work_limits(plain, "life-1", bound, now).end_by == WorkLimits::none);
}

TEST_CASE("an order comes before the recall, and the recall before runs under way are ended") {
    CHECK(weights_margin > recall_margin);
    CHECK(recall_margin > end_margin);
}

TEST_CASE("a request that its replica has not begun is recalled before the bound of target weights, without an order") {
    auto end_seen = boost::system::error_code();
    auto silent = OlderWeights(
        [&end_seen](Peer& peer) -> awaitable<void> {
            co_await peer.until("bbbb");
            auto byte = char();
            auto const [failure, size] = co_await peer.socket.async_read_some(asio::buffer(&byte, 1), use_tuple);
            end_seen = failure;
        },
        recall_margin + 400 * one_millisecond);
    auto const began = clock_now();
    auto const result = silent.ask();
    auto const took = clock_now() - began;
    CHECK(result.end == TryEnd::unknown_before);
    CHECK(result.reason == "recalled");
    CHECK(took >= 350 * one_millisecond);
    CHECK(took < one_second);  // the client would wait for three
    while (!end_seen) silent.wire.context.run_one();
    CHECK(end_seen == asio::error::connection_reset);  // a replica that reads late finds nothing
    CHECK(silent.wire.node->counters.weights_recalled == 1);
}

TEST_CASE("a replica with older weights gets no deadline later than the bound less the margin") {
    auto older = OlderWeights(saying(""), recall_margin + one_second);
    older.ask();
    while (older.wire.last_read.empty()) older.wire.context.run_one();
    auto const place = older.wire.last_read.find("Left: ");
    REQUIRE(place != std::string::npos);
    auto const told = std::atoi(older.wire.last_read.c_str() + place + 6) * one_millisecond;
    CHECK(told <= recall_margin + one_second - end_margin);
    CHECK(told > recall_margin + one_second - end_margin - 100 * one_millisecond);
}

TEST_CASE("a stream that has begun is not recalled") {
    auto begun = OlderWeights(
        [](Peer& peer) -> awaitable<void> {
            co_await peer.until("bbbb");
            co_await peer.say(
                "HTTP/1.1 200 OK\r\nRequest-Name: id-1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                "f\r\nid: 1\ndata: a\n\n\r\n");
            co_await pause(600 * one_millisecond);
            co_await peer.say("f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
            co_await peer.until("never");
        },
        recall_margin + 300 * one_millisecond);
    CHECK(begun.ask().end == TryEnd::answered);
    CHECK(begun.wire.node->counters.weights_recalled == 0);
}

TEST_CASE("the head of an answer alone does not count as begun") {
    auto head_only = OlderWeights(
        [](Peer& peer) -> awaitable<void> {
            co_await peer.until("bbbb");
            co_await peer.say(
                "HTTP/1.1 200 OK\r\nRequest-Name: id-1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n");
            co_await peer.until("never");
        },
        recall_margin + 300 * one_millisecond);
    CHECK(head_only.ask().reason == "recalled");
}

// The memory budget for received messages: a request that exceeds it is refused with a readable answer, and other
// requests are not affected.
#include <catch2/catch.hpp>

#include "base/memory_budget.hpp"
#include "session_wire.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

// Checks that the client can read the refusal although it is still sending, and that no memory is held for it then.
auto check_refused(SessionWire& session) -> void {
    REQUIRE(session.hear("no room for the request now\"}"));
    CHECK(session.seen.starts_with("HTTP/1.1 503"));
    CHECK(session.answers("Retry-After: ") == 1);
    session.leave();
    CHECK(session.run_until([&] { return session.session_over; }));
    CHECK(session.wire.node->message_memory.used() == 0);
}

}  // namespace

TEST_CASE("a memory budget is never exceeded, and regains what a message used") {
    auto budget = MemoryBudget();
    budget.set_limit(100'000);
    {
        auto first = MemoryReservation(budget);
        CHECK(first.grow_to(60'000));
        CHECK(first.grow_to(50'000));  // already reserved
        CHECK(budget.used() == 60'000);
        auto second = MemoryReservation(budget);
        CHECK(second.grow_to(MemoryReservation::free_bytes));
        CHECK(budget.used() == 60'000);
        CHECK_FALSE(second.grow_to(40'001));
        CHECK(budget.refusals() == 1);
        CHECK(second.grow_to(40'000));
        CHECK_FALSE(first.grow_to(60'001));
        CHECK(budget.used() == 100'000);
    }
    CHECK(budget.used() == 0);
}

TEST_CASE("a stored body uses no more memory than its length") {
    constexpr auto length = std::size_t{1'000'000};
    auto const head = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
    auto budget = MemoryBudget();
    auto share = MemoryReservation(budget);
    auto parser = RequestParser();
    parser.count_in(share);
    parser.eager(true);
    auto failure = boost::system::error_code();
    parser.put(asio::buffer(head), failure);
    CHECK(budget.used() == 0);                                                // a Content-Length alone reserves nothing
    constexpr auto stored_head = 4 + 1 + 14 + 7 + 2 * 2 * sizeof(HeadField);  // texts and field objects of two lines
    auto const piece = std::string(10'000, 'b');
    for (auto sent = std::size_t{0}; sent < length; sent += piece.size()) parser.put(asio::buffer(piece), failure);
    REQUIRE(parser.is_done());
    CHECK(parser.get().body().capacity() == length);
    CHECK(budget.used() == length + stored_head);
}

TEST_CASE("a head is charged for each of its fields, however small they are") {
    constexpr auto lines = std::size_t{2'000};
    auto budget = MemoryBudget();
    auto share = MemoryReservation(budget);
    auto parser = RequestParser();
    parser.count_in(share);
    parser.limit_head(64'000);
    auto head = std::string("GET /a HTTP/1.1\r\nHost: h\r\n");
    for (auto line = std::size_t{0}; line < lines; ++line) head += "a:b\r\n";
    auto failure = boost::system::error_code();
    SECTION("which it gets") {
        parser.put(asio::buffer(head + "\r\n"), failure);
        REQUIRE(parser.is_header_done());
        CHECK(budget.used() > lines * sizeof(HeadField));
    }
    SECTION("which there is not") {
        budget.set_limit(lines * sizeof(HeadField));
        parser.put(asio::buffer(head + "\r\n"), failure);
        CHECK(failure == boost::system::errc::not_enough_memory);
        CHECK(budget.used() <= budget.limit());
    }
}

TEST_CASE("the read buffer of a request is charged while the request is read, and released afterwards") {
    auto requests = 0;
    auto session = SessionWire(answering(requests));
    auto& budget = session.wire.node->message_memory;
    constexpr auto length = std::size_t{40'000};
    auto const whole = post("id-1", length);
    session.say(whole.substr(0, whole.size() - length));
    REQUIRE(session.run_until([&] { return budget.used() > length; }));
    session.say(whole.substr(whole.size() - length, length - 1));
    REQUIRE(session.run_until([&] { return budget.used() > 2 * length; }));
    session.say("b");
    REQUIRE(session.run_until([&] { return budget.used() < 2 * length; }));
    CHECK(session.wire.session->buffer.capacity() == 0);
    CHECK(session.hear("text-of-id-1"));
    CHECK(session.run_until([&] { return budget.used() == 0; }));
}

TEST_CASE("a head beyond the memory budget gets 503 with Retry-After") {
    auto requests = 0;
    auto kind = Kind();
    kind.header_bytes = 200'000;
    auto session = SessionWire(answering(requests), kind);
    session.wire.node->message_memory.set_limit(64'000);
    session.say(post("id-1", 4, "Long: " + std::string(150'000, 'v') + "\r\n"));
    check_refused(session);
    CHECK(requests == 0);
}

TEST_CASE("a body beyond the memory budget gets 503 with Retry-After, and the connection is not reset") {
    auto requests = 0;
    auto session = SessionWire(answering(requests));
    session.wire.node->message_memory.set_limit(64'000);
    session.say(post("id-1", 1'000'000));
    check_refused(session);
    CHECK(requests == 0);
}

TEST_CASE("a small request is served while the budget is exhausted") {
    auto requests = 0;
    auto session = SessionWire(answering(requests));
    auto& budget = session.wire.node->message_memory;
    budget.set_limit(64'000);
    auto other = MemoryReservation(budget);
    REQUIRE(other.grow_to(64'000));
    session.say(post("id-1"));
    CHECK(session.hear("text-of-id-1"));
}

TEST_CASE("a replica's failure that does not fit into the memory budget is answered by a failure of the node") {
    auto session = SessionWire([](Peer& peer) -> awaitable<void> {
        if (!co_await peer.until("bbbb")) co_return;
        auto const head = std::string("HTTP/1.1 500 No\r\nRequest-Name: id-1\r\nContent-Length: 500000\r\n\r\n");
        co_await peer.say(head + std::string(500'000, 'f'));
        co_await peer.until("never");
    });
    auto& budget = session.wire.node->message_memory;
    budget.set_limit(64'000);
    session.say(post("id-1"));
    CHECK(session.hear("HTTP/1.1 502"));
    CHECK(session.run_until([&] { return budget.used() == 0; }));
}

// Detection of stalled connections from the link headers of frames. docs/design.md section 3.
#include "base/peer_link.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace dockrock;

namespace {

constexpr auto own_life = std::uint64_t{7};
constexpr auto their_life = std::uint64_t{9};
constexpr auto min_timeout = LinkTimes().min_timeout;

auto header(std::uint64_t number, std::uint64_t heard, std::uint64_t instance = their_life, std::uint64_t of = own_life)
    -> LinkHeader {
    return {instance, number, of, heard};
}

}  // namespace

TEST_CASE("a link header is read back as written, and one with any changed byte is refused") {
    auto const put = put_link_header({1, 2, 3, ~std::uint64_t{0}}, "frame");
    auto bytes = std::string_view(put);
    auto const taken = take_link_header(bytes);
    REQUIRE(taken);
    CHECK(bytes == "frame");
    CHECK(taken->instance == 1);
    CHECK(taken->number == 2);
    CHECK(taken->heard_instance == 3);
    CHECK(taken->heard_number == ~std::uint64_t{0});
    for (auto place = std::size_t{0}; place + bytes.size() < put.size(); ++place) {
        auto changed = put;
        changed[place] = static_cast<char>(changed[place] ^ 1);
        auto rest = std::string_view(changed);
        CHECK_FALSE(take_link_header(rest));
    }
    auto few = std::string_view(put).substr(0, 39);
    CHECK_FALSE(take_link_header(few));
}

TEST_CASE("a connection is stalled if its peer keeps sending but does not acknowledge a frame in time") {
    auto link = PeerLink();
    link.sent(1, 0, 0);
    link.heard(header(1, 0), own_life, min_timeout);  // not later than the timeout
    CHECK_FALSE(link.stalled);
    link.heard(header(2, 0), own_life, min_timeout + 1);
    CHECK(link.stalled);
    link.heard(header(3, 1), own_life, min_timeout + 2);  // acknowledged after all
    CHECK_FALSE(link.stalled);
    CHECK(link.timed_frame == 0);
}

TEST_CASE("a connection to a silent peer is stalled only on a request timeout, with backoff") {
    auto link = PeerLink();
    auto now = Microseconds{0};
    link.sent(1, 0, now);
    link.request_timed_out(now + min_timeout);
    CHECK_FALSE(link.stalled);
    auto number = std::uint64_t{1};
    for (auto const doublings : {0, 1, 2, 2}) {
        auto const limit = min_timeout << doublings;
        link.request_timed_out(now + limit);
        CHECK_FALSE(link.stalled);
        link.request_timed_out(now + limit + 1);
        CHECK(link.stalled);
        now += limit + 1;
        link.dialled();
        CHECK_FALSE(link.stalled);
        link.sent(++number, 0, now);
    }
    link.heard(header(1, number), own_life, now + 1);
    link.sent(++number, 0, now);
    link.request_timed_out(now + min_timeout + 1);
    CHECK(link.stalled);  // the acknowledgement reset the backoff
}

TEST_CASE("after an acknowledgement the last sent frame is timed next, and large frames get a longer timeout") {
    auto link = PeerLink();
    link.sent(1, 0, 0);
    link.sent(2, std::size_t{4} << 20U, 1'000);
    link.heard(header(1, 1), own_life, 2'000);
    CHECK(link.timed_frame == 2);
    CHECK_FALSE(link.overdue(4 * one_second));
    CHECK(link.overdue(5 * one_second));
    link.heard(header(2, 2), own_life, 5 * one_second);
    CHECK(link.timed_frame == 0);
    CHECK_FALSE(link.overdue(60 * one_second));
}

TEST_CASE("after a peer restart a connection is stalled until the new instance acknowledges a frame") {
    auto link = PeerLink();
    link.sent(1, 0, 0);
    link.heard(header(5, 1), own_life, 1'000);
    CHECK_FALSE(link.stalled);
    link.heard(header(1, 0, 10, 0), own_life, 2'000);
    CHECK(link.stalled);
    CHECK(link.other_instance);
    link.heard(header(6, 1), own_life, 3'000);  // a late frame of the former instance
    CHECK(link.stalled);
    CHECK(link.heard_instance == 10);
    CHECK(link.heard_number == 1);
    link.dialled();
    link.sent(2, 0, 4'000);
    link.heard(header(2, 2, 10), own_life, 5'000);
    CHECK_FALSE(link.stalled);
}

namespace {

// Sends a frame each `pace`; the peer acknowledges each in its first frame after one round-trip time.
auto exchange(PeerLink& link, std::uint64_t& number, Microseconds& now, Microseconds round_trip, int frames) -> void {
    constexpr auto pace = 50 * one_millisecond;
    auto on_the_way = std::map<Microseconds, std::uint64_t>();
    auto acknowledged = std::uint64_t{0};
    for (auto count = 0; count < frames; ++count, now += pace) {
        link.sent(++number, 0, now);
        on_the_way[now + round_trip] = number;
        while (!on_the_way.empty() && on_the_way.begin()->first <= now) {
            acknowledged = on_the_way.begin()->second;
            on_the_way.erase(on_the_way.begin());
        }
        link.heard(header(number, acknowledged), own_life, now);
        if (link.stalled) link.dialled();
    }
}

}  // namespace

TEST_CASE("the timeout is twice the round-trip time of a slow link, and the minimum again on a fast one") {
    auto link = PeerLink();
    auto number = std::uint64_t{0};
    auto now = Microseconds{0};
    exchange(link, number, now, 20 * one_millisecond, 100);
    CHECK(link.frame_timeout() == min_timeout);
    exchange(link, number, now, 500 * one_millisecond, 400);
    CHECK(link.frame_timeout() >= 750 * one_millisecond);
    CHECK(link.frame_timeout() <= link.times.max_timeout);
    CHECK_FALSE(link.stalled);
    CHECK(link.reconnects == 0);
    exchange(link, number, now, 20 * one_millisecond, 100);
    CHECK(link.frame_timeout() == min_timeout);
}

TEST_CASE("a stalled connection is detected within the maximum timeout, whatever was measured before") {
    for (auto const round_trip : {0, 20, 200, 500, 900, 1'500}) {
        auto link = PeerLink();
        auto number = std::uint64_t{0};
        auto now = Microseconds{0};
        exchange(link, number, now, round_trip * one_millisecond, 200);
        auto const acknowledged = number;
        link.sent(++number, 0, now);
        link.heard(header(1, acknowledged), own_life, now);
        auto const sent_at = now;
        while (!link.stalled && now < sent_at + 10 * one_second)
            link.heard(header(1, acknowledged), own_life, now += 10 * one_millisecond);
        auto const quick = 4 * round_trip * one_millisecond <= min_timeout;
        CHECK(now - sent_at <= (quick ? min_timeout : link.times.max_timeout) + 10 * one_millisecond);
    }
}

TEST_CASE("frames delayed by an outage or by connecting do not change the timeout") {
    auto link = PeerLink();
    auto number = std::uint64_t{0};
    auto now = Microseconds{0};
    exchange(link, number, now, 20 * one_millisecond, 100);
    link.sent(++number, 0, now);
    link.heard(header(number, 0), own_life, now + 5 * one_second);
    CHECK(link.stalled);
    link.heard(header(number, number), own_life, now + 6 * one_second);  // retransmitted by TCP, no reconnect
    CHECK_FALSE(link.stalled);
    CHECK(link.frame_timeout() == min_timeout);
    now += 7 * one_second;
    link.sent(++number, 0, now, false);  // waits for a connection that is slow to open
    link.heard(header(number, 0), own_life, now + 300 * one_millisecond);
    link.heard(header(number, number), own_life, now + 390 * one_millisecond);
    CHECK(link.frame_timeout() == min_timeout);
}

TEST_CASE("only a frame sent on an open connection resets the backoff, which doubles the size allowance as well") {
    auto link = PeerLink();
    link.sent(1, std::size_t{1} << 20U, 0);
    link.request_timed_out(one_second + min_timeout);
    CHECK_FALSE(link.stalled);
    link.request_timed_out(one_second + min_timeout + 1);
    CHECK(link.stalled);
    link.dialled();
    link.heard(header(1, 1), own_life, 2 * one_second);  // of the previous connection
    CHECK(link.frame_timeout() == 2 * min_timeout);
    link.sent(2, std::size_t{1} << 20U, 2 * one_second, false);
    CHECK_FALSE(link.overdue(2 * one_second + 2 * (one_second + min_timeout)));
    CHECK(link.overdue(2 * one_second + 2 * (one_second + min_timeout) + 1));
    link.heard(header(2, 2), own_life, 2 * one_second + 1'000);  // measures the time to connect
    CHECK(link.frame_timeout() == 2 * min_timeout);
    link.sent(3, 0, 3 * one_second);
    link.heard(header(3, 3), own_life, 3 * one_second + 1'000);
    CHECK(link.frame_timeout() == min_timeout);
}

TEST_CASE("acknowledgements for a former instance of this node do not count") {
    auto link = PeerLink();
    link.sent(1, 0, 0);
    link.heard(header(1, 40, their_life, own_life + 1), own_life, min_timeout + 1);
    CHECK(link.stalled);
}

TEST_CASE("a former instance of the peer is accepted again once the current one was silent for a second") {
    constexpr auto present = std::uint64_t{11};
    constexpr auto between = std::uint64_t{10};  // of the peer's three instances; its frames come late
    auto link = PeerLink();
    link.sent(1, 0, 0);
    link.heard(header(5, 1), own_life, 1'000);
    link.heard(header(1, 0, present, 0), own_life, 2'000);
    link.heard(header(3, 0, between, 0), own_life, 3'000);
    CHECK(link.heard_instance == between);
    link.heard(header(2, 0, present, 0), own_life, 3'000 + one_second);  // silent for exactly the limit
    CHECK(link.heard_instance == between);
    link.heard(header(3, 0, present, 0), own_life, 3'001 + one_second);
    CHECK(link.heard_instance == present);
    CHECK(link.heard_number == 3);
    link.dialled();
    link.sent(2, 0, 2 * one_second);
    link.heard(header(4, 2, present), own_life, 2 * one_second + 1'000);
    CHECK_FALSE(link.stalled);
    CHECK(link.timed_frame == 0);
}

TEST_CASE("while the current instance keeps sending, frames of the former one are ignored") {
    constexpr auto present = std::uint64_t{10};
    auto link = PeerLink();
    link.heard(header(5, 0), own_life, 0);
    auto number = std::uint64_t{0};
    for (auto now = Microseconds{1'000}; now < 10 * one_second; now += 500 * one_millisecond) {
        link.heard(header(++number, 0, present), own_life, now);
        link.heard(header(5 + number, 0), own_life, now + 499 * one_millisecond);
        CHECK(link.heard_instance == present);
    }
}

TEST_CASE("frames of instances before the former one are ignored as well") {
    auto link = PeerLink();
    link.sent(1, 0, 0);
    auto now = Microseconds{0};
    for (auto const later : {0U, 1U, 2U}) link.heard(header(1, 0, their_life + later, 0), own_life, ++now);
    link.dialled();
    link.heard(header(2, 0, their_life, 0), own_life, ++now);  // two restarts ago
    CHECK((link.heard_instance == their_life + 2 && !link.stalled));
    link.heard(header(2, 0, their_life, 0), own_life, now + 2 * one_second);  // the only one that sends: it is running
    CHECK(link.heard_instance == their_life);
}

// Connections between nodes after a connection attempt (a SYN) was lost. docs/design.md section 3.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "transport_helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

constexpr auto fleet_name = "orchard";
// The kernel repeats a lost connection attempt after a second; a redial by the transport is well below that.
constexpr auto patience = std::chrono::milliseconds(600);
constexpr Microseconds dial_age = one_second;  // longer than the limit of any first attempt

auto loopback(std::uint16_t port) -> sockaddr_in {
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

auto connect_to(sockaddr_in const& address) -> int {
    auto const handle = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    [[maybe_unused]] auto const begun = ::connect(handle, reinterpret_cast<sockaddr const*>(&address), sizeof address);
    return handle;
}

// A port that drops connection attempts, like a machine without power: its accept queue is full.
struct DarkPort {
    int listener = -1;
    std::vector<int> fillers;
    std::uint16_t port = 0;

    DarkPort() {
        listener = ::socket(AF_INET, SOCK_STREAM, 0);
        auto address = loopback(0);
        auto size = socklen_t{sizeof address};
        REQUIRE(::bind(listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
        REQUIRE(::listen(listener, 0) == 0);
        REQUIRE(::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        port = ntohs(address.sin_port);
        for (auto number = 0; number < 4; ++number) fillers.push_back(connect_to(address));
    }
    auto power_on() -> void {
        if (listener >= 0) ::close(listener);
        for (auto const handle : fillers) ::close(handle);
        listener = -1;
        fillers.clear();
    }
    ~DarkPort() { power_on(); }
};

auto free_port() -> std::uint16_t {
    auto probe = DarkPort();
    return probe.port;
}

auto frame_from(std::string const& address) -> std::string {
    return pack_frame({fleet_name, "node at " + address, address, 1, "{}"});
}

// A running node, and one whose port drops connection attempts until power_on().
struct LivingAndDark {
    DarkPort dark;
    std::string const here = address_of(free_port());
    std::string const there = address_of(dark.port);
    Heard heard_here;
    Heard heard_there;
    Transport living;
    Transport returned;

    LivingAndDark() { REQUIRE(living.start(here, fleet_name, heard_here.hear()).empty()); }
    LivingAndDark(LivingAndDark const&) = delete;
    ~LivingAndDark() {
        living.stop();
        returned.stop();
    }
    auto power_on() -> void {
        dark.power_on();
        REQUIRE(returned.start(there, fleet_name, heard_there.hear()).empty());
    }
    auto send(Microseconds now) -> void { living.send(there, frame_from(here), now); }
    // Checks that an attempt begun at `since` is abandoned after `limit` and not before; returns the time of the
    // redial.
    auto dials_after(Microseconds limit, Microseconds since) -> Microseconds {
        auto const dials = living.dials.load();
        send(since + limit);
        CHECK(living.dials == dials);
        send(since + limit + 1);
        CHECK(living.dials == dials + 1);
        return since + limit + 1;
    }
};

}  // namespace

TEST_CASE("a node that was unreachable when it was dialled is answered as soon as it is heard") {
    auto nodes = LivingAndDark();
    nodes.send(0);  // its connection attempt is lost
    REQUIRE_FALSE(nodes.heard_there.reaches(1, std::chrono::milliseconds(50)));
    nodes.power_on();
    nodes.returned.send(nodes.here, frame_from(nodes.there), 0);
    REQUIRE(nodes.heard_here.reaches(1, 10 * patience));
    nodes.send(dial_age);
    CHECK(nodes.heard_there.reaches(1, patience));
}

TEST_CASE("a lost connection attempt to a silent peer is repeated, after a longer time up to a limit") {
    auto nodes = LivingAndDark();
    auto now = one_second;
    nodes.send(now);
    for (auto const limit : {700, 1'400, 1'400, 1'400}) now = nodes.dials_after(limit * one_millisecond, now);
    nodes.power_on();
    nodes.send(now + 1'400 * one_millisecond + 1);
    CHECK(nodes.heard_there.reaches(1, 10 * patience));
}

TEST_CASE("attempts to a peer that is heard last longer each time, so that a slow link gets its connection") {
    auto nodes = LivingAndDark();
    auto ignored = Heard();
    auto peer = Transport();
    REQUIRE(peer.start(address_of(free_port()), fleet_name, ignored.hear()).empty());
    auto now = one_second;
    nodes.send(now);
    for (auto const limit : {200, 400, 800, 1'400, 1'400}) {
        peer.send(nodes.here, frame_from(nodes.there), now);
        REQUIRE(nodes.heard_here.reaches(nodes.living.dials, 10 * patience));
        now = nodes.dials_after(limit * one_millisecond, now);
    }
    peer.stop();
}

TEST_CASE("an established connection is kept when its other end is heard") {
    auto const here = address_of(free_port());
    auto const there = address_of(free_port());
    auto heard_here = Heard();
    auto heard_there = Heard();
    auto first = Transport();
    auto second = Transport();
    REQUIRE(first.start(here, fleet_name, heard_here.hear()).empty());
    REQUIRE(second.start(there, fleet_name, heard_there.hear()).empty());
    constexpr auto frames = std::size_t{50};
    for (auto number = std::size_t{1}; number <= frames; ++number) {
        auto const now = static_cast<Microseconds>(number) * one_second;
        first.send(there, frame_from(here), now);
        REQUIRE(heard_there.reaches(number, 10 * patience));
        second.send(here, frame_from(there), now);
        REQUIRE(heard_here.reaches(number, 10 * patience));
    }
    CHECK(first.dials == 1);
    CHECK(second.dials == 1);
    first.stop();
    second.stop();
}

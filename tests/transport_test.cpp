// Connections between nodes where a connection attempt was lost on its way. docs/design.md section 3.
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
// A lost connection attempt is sent again by the system after a second; what is redialled is well under it.
constexpr auto patience = std::chrono::milliseconds(600);
constexpr Microseconds dial_age = one_second;  // later than any patience with an attempt

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

// A port that drops connection attempts, as a machine without power does.
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

auto address_of(std::uint16_t port) -> std::string { return "127.0.0.1:" + std::to_string(port); }

auto frame_from(std::string const& address) -> std::string {
    return pack_frame({fleet_name, "node at " + address, address, 1, "{}"});
}

}  // namespace

TEST_CASE("a node that was dark when it was dialled is answered as soon as it is heard") {
    auto dark = DarkPort();
    auto const here = address_of(free_port());
    auto const there = address_of(dark.port);
    auto heard_here = Heard();
    auto heard_there = Heard();
    auto living = Transport();
    auto returned = Transport();
    REQUIRE(living.start(here, fleet_name, heard_here.hear()).empty());
    living.send(there, frame_from(here), 0);  // its connection attempt is lost
    REQUIRE_FALSE(heard_there.reaches(1, std::chrono::milliseconds(50)));
    dark.power_on();
    REQUIRE(returned.start(there, fleet_name, heard_there.hear()).empty());
    returned.send(here, frame_from(there), 0);
    REQUIRE(heard_here.reaches(1, 10 * patience));
    living.send(there, frame_from(here), dial_age);
    CHECK(heard_there.reaches(1, patience));
    living.stop();
    returned.stop();
}

TEST_CASE("a lost connection attempt to a peer that says nothing is made anew, and later each time") {
    auto dark = DarkPort();
    auto const here = address_of(free_port());
    auto const there = address_of(dark.port);
    auto heard_here = Heard();
    auto heard_there = Heard();
    auto living = Transport();
    auto returned = Transport();
    REQUIRE(living.start(here, fleet_name, heard_here.hear()).empty());
    auto now = one_second;
    living.send(there, frame_from(here), now);
    auto dials = living.dials.load();
    for (auto const limit : {700, 1'400, 1'400, 1'400}) {
        living.send(there, frame_from(here), now + limit * one_millisecond);
        CHECK(living.dials == dials);
        now += limit * one_millisecond + 1;
        living.send(there, frame_from(here), now);
        CHECK(living.dials == ++dials);
    }
    dark.power_on();
    REQUIRE(returned.start(there, fleet_name, heard_there.hear()).empty());
    living.send(there, frame_from(here), now + 1'400 * one_millisecond + 1);
    CHECK(heard_there.reaches(1, 10 * patience));
    living.stop();
    returned.stop();
}

TEST_CASE("attempts to a peer that is heard last longer each time, so that a slow link gets its connection") {
    auto dark = DarkPort();
    auto const here = address_of(free_port());
    auto const there = address_of(dark.port);
    auto heard_here = Heard();
    auto ignored = Heard();
    auto living = Transport();
    auto peer = Transport();
    REQUIRE(living.start(here, fleet_name, heard_here.hear()).empty());
    REQUIRE(peer.start(address_of(free_port()), fleet_name, ignored.hear()).empty());
    auto now = one_second;
    living.send(there, frame_from(here), now);
    auto dials = living.dials.load();
    for (auto const limit : {200, 400, 800, 1'400, 1'400}) {
        peer.send(here, frame_from(there), now);
        REQUIRE(heard_here.reaches(dials, 10 * patience));
        living.send(there, frame_from(here), now + limit * one_millisecond);
        CHECK(living.dials == dials);
        now += limit * one_millisecond + 1;
        living.send(there, frame_from(here), now);
        CHECK(living.dials == ++dials);
    }
    living.stop();
    peer.stop();
}

TEST_CASE("a connection that stands is kept when its other end is heard") {
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

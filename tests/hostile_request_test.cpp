// Requests at and beyond every limit: each is served, or gets an error, or its connection is closed, with no other
// effect. docs/requests.md.
#include <catch2/catch.hpp>

#include "session_wire.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

constexpr auto wide = std::int64_t{262'144};                 // configured head limit in bytes
constexpr auto library_most = std::size_t{65'533};           // maximum bytes of a field in the library's own message
constexpr auto unlimited = std::int64_t{1'000'000'000'000};  // bytes

auto wide_kind(std::int64_t header_bytes) -> Kind {
    auto kind = Kind();
    kind.header_bytes = header_bytes;
    return kind;
}

// Records all input, and answers each request.
auto keeping(std::string& read, int& requests) -> Script {
    return [&read, &requests](Peer& peer) -> awaitable<void> {
        while (co_await peer.until("bbbb")) {
            ++requests;
            read = peer.read;
            auto const from = read.find("Request-Name: ") + 14;
            auto const name = read.substr(from, read.find("\r\n", from) - from);
            peer.read.clear();
            co_await peer.say(answer_text(name, "text-of-" + name));
        }
    };
}

// A prefix header with this many prompt parts of 16 tokens each.
auto parts_list(std::size_t count) -> std::string {
    auto list = std::string();
    for (auto number = std::size_t{0}; number < count; ++number) {
        auto text = std::string(9, '\0');
        std::snprintf(text.data(), text.size(), "%08zx", number);
        list.append(list.empty() ? "" : ",").append(text.data(), 8).append(":16");
    }
    return list;
}

}  // namespace

// Guards against a crash of the node: a field within the configured limit was too long for the library's message type.
TEST_CASE("a field too long for the library's message type is served, and reaches the replica as it was sent") {
    for (auto const size :
         {library_most - 1, library_most, library_most + 1, std::size_t{69'600}, std::size_t{200'000}}) {
        INFO(size);
        auto read = std::string();
        auto requests = 0;
        auto session = SessionWire(keeping(read, requests), wide_kind(wide));
        auto const field = "X-Long: " + std::string(size, 'v') + "\r\n";
        session.say(post("id-1", 4, field));
        REQUIRE(session.hear("text-of-id-1"));
        CHECK(session.seen.starts_with("HTTP/1.1 200 "));
        CHECK(read.find("\r\n" + field) != std::string::npos);
        session.say(post("id-2"));
        CHECK(session.hear("text-of-id-2"));  // on the same connection
        CHECK(requests == 2);
    }
}

TEST_CASE("a field name too long for the library's message type is relayed as well") {
    auto read = std::string();
    auto requests = 0;
    auto session = SessionWire(keeping(read, requests), wide_kind(wide));
    auto const field = std::string(library_most + 100, 'n') + ": 1\r\n";
    session.say(post("id-1", 4, field));
    REQUIRE(session.hear("text-of-id-1"));
    CHECK(read.find("\r\n" + field) != std::string::npos);
}

TEST_CASE("a prompt of 5,800 parts in one list is served within its time") {
    auto read = std::string();
    auto requests = 0;
    auto session = SessionWire(keeping(read, requests), wide_kind(wide));
    session.wire.protocol.headers.prefix = "Parts";
    auto const list = parts_list(5'800);
    auto const began = clock_now();
    session.say(post("id-1", 4, "Parts: " + list + "\r\n"));
    REQUIRE(session.hear("text-of-id-1"));
    CHECK(clock_now() - began < one_second);
    CHECK(read.find(list) != std::string::npos);
}

TEST_CASE("a head beyond the limit gets 431, one field or many, and a limit beyond 32 bits is not truncated") {
    struct Case {
        std::int64_t limit;
        std::size_t size;
        char const* status;
    };
    for (auto const& item : std::vector<Case>{
             {1'024, 512, "200"},
             {1'024, 2'048, "431"},
             {wide, 300'000, "431"},
             {(std::int64_t{1} << 32) + 16, 2'048, "200"},
             {unlimited, 300'000, "200"}}) {
        for (auto const many : {false, true}) {
            INFO(item.limit << " " << item.size << " " << many);
            auto read = std::string();
            auto requests = 0;
            auto session = SessionWire(keeping(read, requests), wide_kind(item.limit));
            auto fields = std::string("X: ") + std::string(many ? 0 : item.size, 'x') + "\r\n";
            while (many && fields.size() < item.size) fields += "X-Some: thing\r\n";
            session.say(post("id-1", 4, fields));
            REQUIRE(session.hear("HTTP/1.1 "));
            CHECK(session.seen.substr(9, 3) == item.status);
            CHECK(requests == (item.status == std::string("200") ? 1 : 0));
        }
    }
}

TEST_CASE("trailers of a request are not merged into its head") {
    auto read = std::string();
    auto requests = 0;
    auto session = SessionWire(keeping(read, requests));
    session.say(
        "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Name: id-1\r\nTransfer-Encoding: "
        "chunked\r\n\r\n4\r\nbbbb\r\n0\r\nX-Late: 1\r\nRequest-Name: id-2\r\n\r\n");
    REQUIRE(session.hear("text-of-id-1"));
    CHECK(read.find("X-Late") == std::string::npos);
    CHECK(read.find("id-2") == std::string::npos);
}

TEST_CASE("an endless chunk header or endless trailers get an error before they fill the memory") {
    for (auto const* begun : {"4;", "0\r\nX: ", "4\r\nbbbb\r\n0;e=\""}) {
        INFO(begun);
        auto read = std::string();
        auto requests = 0;
        auto session = SessionWire(keeping(read, requests));
        auto const head = "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Name: id-1\r\nTransfer-Encoding: chunked\r\n\r\n";
        session.say(head + std::string(begun) + std::string(40'000, 'e'));
        REQUIRE(session.hear("HTTP/1.1 "));
        CHECK(session.seen.substr(9, 3) == "400");
        CHECK(requests == 0);
    }
}

TEST_CASE("many names in Connection fields do not take quadratic time") {
    auto read = std::string();
    auto requests = 0;
    auto session = SessionWire(keeping(read, requests), wide_kind(wide));
    auto fields = std::string();
    for (auto number = 0; fields.size() < 200'000; ++number)
        fields += "Connection: x" + std::to_string(number) + "\r\nx" + std::to_string(number) + ": 1\r\n";
    auto const began = clock_now();
    session.say(post("id-1", 4, fields));
    REQUIRE(session.hear("text-of-id-1"));
    CHECK(clock_now() - began < one_second);
    CHECK(read.find("\r\nx1: ") == std::string::npos);
}

TEST_CASE("timeouts beyond the range of a timer are long, not already expired") {
    auto read = std::string();
    auto requests = 0;
    auto kind = Kind();
    kind.timeout = kind.idle = std::numeric_limits<Microseconds>::max();
    auto session = SessionWire(keeping(read, requests), kind);
    session.run_for(20 * one_millisecond);
    for (auto const* name : {"id-1", "id-2"}) {
        session.say(post(name));
        auto const heard = session.hear("text-of-" + std::string(name));
        INFO(session.seen << " over: " << session.session_over);
        REQUIRE(heard);
    }
    CHECK(requests == 2);
}

TEST_CASE("a last event id that is not a number is ignored") {
    for (auto const* text : {"99999999999999999999999999", "-5", "x", ""}) {
        INFO(text);
        auto read = std::string();
        auto requests = 0;
        auto kind = Kind();
        kind.repeatable = kind.stream = true;
        auto session = SessionWire(keeping(read, requests), kind);
        session.wire.protocol.headers.last_event = "After";
        session.say(post("id-1", 4, "After: " + std::string(text) + "\r\n"));
        REQUIRE(session.hear("text-of-id-1"));
        CHECK(read.find("After: ") == std::string::npos);
    }
}

// Which fields of a client's head reach a replica, and under which names. docs/users-rules.md, UNASKED.
#include <catch2/catch.hpp>

#include "connection/message_parser.hpp"
#include "connection/relay_session.hpp"
#include "relay_form.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

auto parsed(std::string const& lines, boost::system::error_code& failure) -> HttpRequest {
    auto parser = RequestParser();
    parser.eager(true);
    parser.put(asio::buffer("GET /a?b HTTP/1.1\r\nHost: h\r\nRequest-Name: id-1\r\n" + lines + "\r\n"), failure);
    return parser.release();
}

auto head_of(std::string const& lines, bool with_tenant = true, Microseconds read_before = 0) -> std::string {
    boost::system::error_code failure;
    auto const request = parsed(lines, failure);
    REQUIRE_FALSE(failure);
    auto const protocol = relay_form();
    auto route = Route();
    auto tenant = ServiceTenant{"clerks", {}};
    auto judged = RelayVerdict();
    judged.route = &route;
    if (with_tenant) judged.tenant = &tenant;
    auto lifecycle = RequestLifecycle();
    lifecycle.inference.deadline = 10 * one_second;
    lifecycle.placement.replica = "life-1";
    return head_for_replica(protocol, request, judged, lifecycle, -1, 3 * one_second - read_before);
}

// The salt sent with a request with a shared prompt to a replica with these weights.
auto salt_line(std::string const& name, std::string const& wall, std::string const& weights) -> std::string {
    auto request = HttpRequest(http::verb::post, "/a", 11);
    request.set("Request-Name", name);
    auto const protocol = relay_form();
    auto route = Route();
    auto judged = RelayVerdict();
    judged.route = &route;
    auto lifecycle = RequestLifecycle();
    lifecycle.inference.deadline = 10 * one_second;
    lifecycle.inference.isolation_domain = wall;
    lifecycle.inference.body.prefix.push_back({"part", 100});
    lifecycle.placement.replica = "life-1";
    lifecycle.placement.weights = weights;
    auto const head = head_for_replica(protocol, request, judged, lifecycle, -1, 3 * one_second);
    auto const at = head.find("Salt: ");
    return at == std::string::npos ? std::string() : head.substr(at, head.find("\r\n", at) - at);
}

auto count(std::string const& head, std::string const& what) -> int {
    auto found = 0;
    for (auto at = head.find(what); at != std::string::npos; at = head.find(what, at + 1)) ++found;
    return found;
}

}  // namespace

TEST_CASE("end-to-end fields are relayed as the client sent them, also repeated, in odd case and with spaces") {
    auto const lines = std::string(
        "MODEL:  m-1 \r\ntokens: 14 , 8\r\nPrefix-Hash: 5c:800, 91:410\r\nprefix-hash: e4:250\r\n"
        "X-Twice: 1\r\nX-Twice: 2\r\nX-Empty:\r\nRequest-name: id-2\r\n");
    auto const head = head_of(lines);
    CHECK(head.starts_with("GET /a?b HTTP/1.1\r\n"));
    for (auto const* line :
         {"\r\nMODEL: m-1\r\n", "\r\ntokens: 14 , 8\r\n", "\r\nPrefix-Hash: 5c:800, 91:410\r\n",
          "\r\nprefix-hash: e4:250\r\n", "\r\nX-Twice: 1\r\nX-Twice: 2\r\n", "\r\nX-Empty: \r\n",
          "\r\nRequest-Name: id-1\r\n", "\r\nRequest-name: id-2\r\n"})
        CHECK(count(head, line) == 1);
}

TEST_CASE("fields that the router sets are never taken from the client, however often and in whatever case") {
    auto lines = std::string();
    for (auto const* name :
         {"Secret", "Group", "Left", "Salt", "After", "Haste", "Life", "Weights", "Fetch", "Store"}) {
        auto odd = std::string(name);
        for (auto& letter : odd) letter = static_cast<char>(letter ^ 0x20);  // the other case
        lines.append(name).append(": forged\r\n").append(odd).append(":forged \r\n");
    }
    auto const head = head_of(lines);
    CHECK(count(head, "forged") == 0);
    CHECK(count(head, "Group: clerks\r\n") == 1);
    CHECK(count(head, "Left: 3000\r\n") == 1);
    CHECK(count(head, "Life: life-1\r\n") == 1);
    CHECK(count(head, "Haste: ") == 1);
    for (auto const* name : {"Secret", "Salt", "After", "Weights", "Fetch", "Store"}) CHECK(count(head, name) == 0);
    CHECK(count(head_of(lines, false), "Group") == 0);  // no tenant, no name of one
}

TEST_CASE("hop-by-hop fields are not relayed, whatever lists them") {
    auto const head = head_of(
        "Connection: keep-alive, X-One\r\nconnection: X-Two ,x-three\r\nX-One: dropped\r\nX-TWO: dropped\r\n"
        "X-Three: dropped\r\nTE: trailers\r\nKeep-Alive: timeout=5\r\nUpgrade: x\r\nProxy-Connection: x\r\nX-Four: "
        "kept\r\n");
    CHECK(count(head, "dropped") == 0);
    for (auto const* name : {"onnection", "TE:", "Keep-Alive", "Upgrade", "Content-Length", "Transfer"})
        CHECK(count(head, name) == 0);
    CHECK(count(head, "X-Four: kept\r\n") == 1);
}

TEST_CASE("an ambiguous head is rejected") {
    for (auto const* line :
         {"Model : m-1\r\n", "Mo del: m-1\r\n", ": m-1\r\n", "Model\r\n",
          "Model: a\x01"
          "b\r\n"}) {
        boost::system::error_code failure;
        parsed(line, failure);
        CHECK(failure);
    }
}

TEST_CASE("a replica is sent the remaining time, rounded down, and at least 1 ms") {
    CHECK(count(head_of("", true, 1'500 * one_millisecond), "Left: 1500\r\n") == 1);
    CHECK(count(head_of("", true, 2'999'500), "Left: 1\r\n") == 1);  // half a millisecond
    CHECK(count(head_of("", true, 5 * one_second), "Left: 1\r\n") == 1);
}

TEST_CASE("the cache salt shares prompts only within one isolation domain, and under unknown weights with no request") {
    CHECK(salt_line("id-1", "", "2") == salt_line("id-2", "", "2"));
    CHECK(salt_line("id-1", "clerks", "2") == salt_line("id-2", "clerks", "2"));
    CHECK(salt_line("id-1", "clerks", "2") != salt_line("id-1", "", "2"));
    CHECK(salt_line("id-1", "clerks", "2") != salt_line("id-1", "clerks", "3"));
    for (auto const* wall : {"", "clerks"}) {
        CHECK_FALSE(salt_line("2", wall, "").empty());
        CHECK(salt_line("id-1", wall, "") != salt_line("id-2", wall, ""));
        CHECK(salt_line("2", wall, "") != salt_line("2", wall, "2"));
    }
}

// How long an idle connection to a replica is kept, according to the replica's headers. docs/requests.md section 2.
#include <catch2/catch.hpp>

#include "request_wire_helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

TEST_CASE("a connection is kept for less than its Keep-Alive timeout, and not at all after Connection: close") {
    struct Case {
        std::string said;
        std::size_t kept;
        Microseconds limit;
    };
    for (auto const& item : std::vector<Case>{
             {"", 1, 4 * one_second},
             {"Keep-Alive: timeout=10\r\n", 1, 9 * one_second},
             {"Keep-Alive: max=5, timeout=2\r\n", 1, one_second},
             {"Keep-Alive: timeout=1\r\n", 1, one_second / 2},
             {"Keep-Alive: timeout=0\r\n", 1, 0},
             {"Keep-Alive: timeout=soon\r\n", 1, 0},
             {"Keep-Alive: timeout=-5\r\n", 1, 0},
             {"Keep-Alive: timeout=100000000000000000\r\n", 1, 3'599 * one_second},
             {"Connection: close\r\n", 0, 0},
             {"connection: X, Close\r\nKeep-Alive: timeout=10\r\n", 0, 0}}) {
        INFO(item.said);
        auto wire = Wire(saying(answer_text("id-1", "text", "200 OK", "Stamp: s\r\n" + item.said), false, false));
        REQUIRE(wire.ask().end == TryEnd::answered);
        REQUIRE(wire.pooled() == item.kept);
        if (item.kept == 0) continue;
        auto& pool = wire.node->pool;
        auto const& connection = pool.idle["life-1"].front();
        CHECK(connection->idle_limit == item.limit);
        CHECK(pool.take("life-1", connection->idle_since + item.limit) == nullptr);
    }
}

// When each named version has to serve everywhere, and what is done to that end.
// docs/design.md section 11.4.
#include "rollout_helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

constexpr auto bound = 15 * one_second;
constexpr auto heard = 100 * one_millisecond;  // a step or two of the leader

}  // namespace

TEST_CASE("a load that the list shows before the report leaves no stale count of orders") {
    auto pool = Pool(1);
    auto& replica = pool.replicas["r10"];
    replica.load = 2'400 * one_millisecond;
    auto ends = std::vector<OrderEnd>();
    pool.bend = [&](auto const&, auto end) { return ends.push_back(end), end; };
    REQUIRE(pool.run_until([&] { return pool.all_hold(2); }, 5 * one_second));
    pool.run(3 * one_second);
    replica.load = 300 * one_millisecond;  // nothing runs there any more
    pool.target = 3;
    REQUIRE(pool.run_until([&] { return pool.listed["r10"].second == 3; }, 5 * one_second));
    pool.target = 4;
    REQUIRE(pool.run_until([&] { return pool.all_hold(4); }, 5 * one_second));
    CHECK(ends == std::vector(3, OrderEnd::taken));
}

TEST_CASE("replicas of the oldest version get nothing new near its bound however many are named after it") {
    auto pool = Pool(18);
    pool.rollout.times.bound = bound;
    for (auto& [name, replica] : pool.replicas) replica.load = 3 * one_second;  // streams run on
    pool.name_version(2);
    pool.run(2'500 * one_millisecond);
    pool.name_version(3);
    pool.run(1'100 * one_millisecond);
    pool.name_version(4);
    auto open = 0;
    for (auto const end = pool.now + 16 * one_second; pool.now < end;) {
        pool.step();
        open += pool.open_after(bound - weights_margin + heard);
    }
    CHECK(open == 0);
}

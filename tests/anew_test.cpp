// Recovery after every core disk is lost while edge nodes are alive. docs/design.md section 5.9.
#include "world_helpers.hpp"

using namespace dockrock;
using namespace dockrock::simulation;

namespace {
auto order_anew(World& world, std::size_t index) -> int {
    auto const status = std::make_shared<int>(0);
    auto const token = world.next_call++;
    world.call_results[token] = [status](CallDone const& done) { *status = done.status; };
    auto& node = *world.nodes[index];
    world.act(index, node.control.recover_fleet(world.local(node), token));
    world.run_until_true([&] { return *status != 0; }, 15 * one_second);
    return *status;
}
}  // namespace

TEST_CASE("every core disk lost: recovery on an operator's order, from the newest copy that edge nodes hold") {
    for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
        auto world = formed(seed);
        REQUIRE(put_and_wait(*world, 4, "first") == 200);
        world->run_until(world->now + one_second);
        world->isolate(6);  // this edge holds an older copy
        REQUIRE(put_and_wait(*world, 4, "second") == 200);
        world->run_until(world->now + one_second);
        for (auto index = std::size_t{0}; index < 4; ++index) world->kill(index, true);
        world->heal();
        for (auto index = std::size_t{0}; index < 4; ++index) world->start(index);
        world->run_until(world->now + 12 * one_second);
        INFO("seed " << seed << " formed by itself");
        REQUIRE_FALSE(world->leader(configuration_partition).has_value());
        CHECK(order_anew(*world, 6) == 200);
        CHECK(world->run_until_true([&] { return world->settled() && all_hold(*world, "second"); }, 12 * one_second));
        CHECK(put_and_wait(*world, 5, "third") == 200);
        CHECK(order_anew(*world, 6) == 409);  // there is a fleet again
        world->run_until(world->now + 3 * one_second);
        CHECK(all_hold(*world, "third"));
        CHECK(world->violations.empty());
    }
}

TEST_CASE("recovery is refused while a voter of the former fleet answers, and if there was no fleet") {
    for (auto seed = std::uint64_t{1}; seed <= 5; ++seed) {
        auto world = formed(seed);
        REQUIRE(put_and_wait(*world, 4, "first") == 200);
        world->run_until(world->now + one_second);
        CHECK(order_anew(*world, 4) == 409);
        for (auto index = std::size_t{0}; index < 3; ++index) world->kill(index, true);
        for (auto index = std::size_t{0}; index < 3; ++index) world->start(index);
        world->run_until(world->now + 5 * one_second);
        CHECK(order_anew(*world, 5) == 409);  // the fourth core node still answers
        world->kill(3, false);
        world->run_until(world->now + 5 * one_second);
        CHECK(order_anew(*world, 5) == 200);
        world->start(3);  // back with its old disk: it finds a newer fleet
        world->run_until(world->now + 5 * one_second);
        CHECK(all_hold(*world, "first"));
        CHECK(put_and_wait(*world, 5, "second") == 200);
        CHECK(world->violations.empty());
    }
    WorldOptions options;
    options.seed = 9;
    auto blank = World(options);
    blank.start(4);
    blank.run_until(one_second);
    CHECK(order_anew(blank, 4) == 409);
}

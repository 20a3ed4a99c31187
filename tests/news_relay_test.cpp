// Updates through relays: freshness and bounds if a relay is lost, partitioned from
// the leader, frozen or late to be noticed. docs/design.md section 8.1.
#include "world_helpers.hpp"

using namespace dockrock;
using namespace dockrock::simulation;

namespace {

constexpr auto edges = std::size_t{12};
constexpr auto first_edge = std::size_t{4};
constexpr auto apply_bound = 2 * one_second;

auto relay_of(World& world, std::size_t edge) -> std::size_t {
    auto const& name = world.nodes[edge]->control.load_choice.relay;
    for (auto index = std::size_t{0}; index < first_edge; ++index)
        if (world.nodes[index]->control.membership.self.identity == name) return index;
    return world.nodes.size();
}
// A relay that is not the leader, and serves an edge node.
auto relay_in_use(World& world) -> std::size_t {
    for (auto edge = first_edge; edge < world.nodes.size(); ++edge)
        if (auto const relay = relay_of(world, edge);
            relay < first_edge && relay != *world.leader(configuration_partition))
            return relay;
    return world.nodes.size();
}
auto edges_hold(World& world, std::string const& document) -> bool {
    return std::all_of(world.nodes.begin() + first_edge, world.nodes.end(), [&](auto const& node) {
        return node->control.views[configuration_partition].copy.document == document;
    });
}
auto oldest_proof(World& world) -> Microseconds {
    auto oldest = Microseconds{0};
    for (auto edge = first_edge; edge < world.nodes.size(); ++edge) {
        auto const& node = *world.nodes[edge];
        oldest = std::max(oldest, node.control.proof_age(configuration_partition, world.local(node)));
    }
    return oldest;
}
auto relayed_world(std::uint64_t seed) -> std::unique_ptr<World> {
    auto world = formed(seed, edges, 1);
    world->run_until(world->now + 2 * one_second);
    REQUIRE(relay_in_use(*world) < first_edge);
    return world;
}
// A change made right after a fault is in force at all edge nodes within the bound.
auto applied_after(World& world, std::string const& document) -> bool {
    auto const owner = *world.leader(configuration_partition);
    auto const number = world.put(owner, document, "");
    REQUIRE(world.run_until_true([&] { return world.changes[number].status == 200; }, 4 * one_second));
    return world.run_until_true([&] { return edges_hold(world, document); }, apply_bound);
}

}  // namespace

TEST_CASE("edge nodes ask their relay, and a change reaches them as soon as it reaches the relay") {
    auto world = relayed_world(3);
    std::map<std::string, int> asked;  // edges that asked each node last
    for (auto edge = first_edge; edge < world->nodes.size(); ++edge) {
        auto const& item = world->nodes[edge]->control.views[configuration_partition];
        CHECK(item.asked_relay);
        ++asked[item.asked_whom];
    }
    CHECK(asked.size() >= 2);
    auto const number = world->put(first_edge, "news", "");
    REQUIRE(world->run_until_true([&] { return world->changes[number].status == 200; }, 4 * one_second));
    CHECK(world->run_until_true([&] { return edges_hold(*world, "news"); }, one_second));
    world->run_until(world->now + 2 * one_second);
    CHECK(oldest_proof(*world) < one_second);
    CHECK(world->violations.empty());
}

TEST_CASE("a change is in force within its bound though a relay was killed just before") {
    for (auto seed = std::uint64_t{1}; seed <= 6; ++seed) {
        auto world = relayed_world(seed);
        world->kill(relay_in_use(*world), false);
        CHECK(applied_after(*world, "after the kill"));
        CHECK(world->violations.empty());
    }
}

TEST_CASE("a change is in force within its bound though a relay is partitioned from the leader") {
    for (auto seed = std::uint64_t{1}; seed <= 6; ++seed) {
        auto world = relayed_world(seed);
        auto const relay = relay_in_use(*world);
        for (auto core = std::size_t{0}; core < first_edge; ++core) {
            if (core == relay) continue;
            world->cuts.insert({core, relay});
            world->cuts.insert({relay, core});
        }
        CHECK(applied_after(*world, "after the cut"));
        world->run_until(world->now + 3 * one_second);
        CHECK(oldest_proof(*world) < 3 * one_second / 2);
        CHECK(world->violations.empty());
    }
}

TEST_CASE("a change is in force within its bound though a relay freezes, and later resumes") {
    for (auto seed = std::uint64_t{1}; seed <= 6; ++seed) {
        auto world = relayed_world(seed);
        world->freeze(relay_in_use(*world), 6 * one_second);
        CHECK(applied_after(*world, "while it is frozen"));
        world->run_until(world->now + 6 * one_second);
        CHECK(edges_hold(*world, "while it is frozen"));
        CHECK(applied_after(*world, "after the thaw"));
        CHECK(world->violations.empty());
    }
}

TEST_CASE("fault storms with updates through relays keep every invariant") {
    for (auto seed : {1, 2, 3, 5, 8, 13, 20, 55, 131, 435, 832, 926}) {
        WorldOptions options;
        options.seed = static_cast<std::uint64_t>(seed);
        options.edges = 6;
        options.load_relays_from = 1;
        auto const result = run_storm(options, 40 * one_second);
        INFO("seed " << seed << (result.violations.empty() ? "" : ": " + result.violations.front()));
        CHECK(result.violations.empty());
        CHECK(result.acknowledged > 0);
    }
}

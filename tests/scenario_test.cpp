// Named scenarios of the simulator, a few seeds each, and the planted faults that each of them catches.
// docs/design.md section 15; more seeds by dockrock-sweep --world cutoff, race, losses or many.
#include <catch2/catch.hpp>

#include "scenario.hpp"

using namespace dockrock;
using namespace dockrock::simulation;

namespace {

struct Shape {
    std::size_t cores;
    std::size_t losses;
    std::size_t areas;
};
constexpr auto shapes = std::to_array<Shape>({{4, 1, 4}, {5, 2, 5}, {8, 2, 4}});

auto run(
    ScenarioKind kind, std::uint64_t seed, Shape const& shape, std::function<void(WorldOptions&)> const& plant = {})
    -> ScenarioResult {
    auto options = ScenarioOptions();
    options.kind = kind;
    options.seed = seed;
    options.cores = shape.cores;
    options.losses = shape.losses;
    options.areas = shape.areas;
    options.plant = plant;
    return run_scenario(options);
}

auto holds(ScenarioKind kind, std::uint64_t first, std::uint64_t last) -> void {
    for (auto const& shape : shapes)
        for (auto seed = first; seed <= last; ++seed) {
            auto const result = run(kind, seed, shape);
            INFO(
                shape.cores << " cores, seed " << seed
                            << (result.violations.empty() ? "" : ": " + result.violations.front()));
            CHECK(result.violations.empty());
            CHECK(result.acknowledged > 20);
        }
}

auto caught(ScenarioKind kind, std::function<void(WorldOptions&)> const& plant) -> bool {
    for (auto seed = std::uint64_t{1}; seed <= 6; ++seed)
        if (!run(kind, seed, shapes[seed % shapes.size()], plant).violations.empty()) return true;
    return false;
}

}  // namespace

TEST_CASE("machines cut off for twenty seconds: nothing old, nothing confirmed, refused at once, of use on return") {
    holds(ScenarioKind::cutoff, 1, 3);
}

TEST_CASE("changes that race with answers lost, through takeovers and restarts: one winner, repeats answered alike") {
    holds(ScenarioKind::race, 4, 7);
}

TEST_CASE("ten losses in a row at the shortest interval, then disks and power: nothing acknowledged is lost") {
    holds(ScenarioKind::losses, 8, 9);
}

TEST_CASE("disks lost at the end, and all other machines without power, edges too: nothing acknowledged is lost") {
    for (auto const& shape : shapes) {
        auto options = ScenarioOptions();
        options.kind = ScenarioKind::losses;
        options.seed = 11;
        options.cores = shape.cores;
        options.losses = shape.losses;
        options.areas = shape.areas;
        options.edges_lose_power = true;
        auto const result = run_scenario(options);
        INFO(shape.cores << " cores" << (result.violations.empty() ? "" : ": " + result.violations.front()));
        CHECK(result.violations.empty());
        auto const edge_lost = std::count_if(result.trace.begin(), result.trace.end(), [](auto const& line) {
            return line.find("edges without power") != std::string::npos;
        });
        CHECK(edge_lost == 1);
        options.plant = [](auto& world) { world.planted_partner_not_given = true; };
        auto caught_planted = false;
        for (options.seed = 1; options.seed <= 6 && !caught_planted; ++options.seed)
            caught_planted = !run_scenario(options).violations.empty();
        CHECK(caught_planted);
    }
}

TEST_CASE("hundreds of changes with a member away: current in time, and never ahead with old state") {
    holds(ScenarioKind::many, 1, 2);
}

TEST_CASE("planted: each scenario catches a fault of its kind") {
    CHECK(caught(ScenarioKind::cutoff, [](auto& options) { options.planted_long_lease = true; }));
    CHECK(caught(ScenarioKind::race, [](auto& options) { options.planted_outcomes_lost = true; }));
    CHECK(caught(ScenarioKind::losses, [](auto& options) { options.planted_partner_not_given = true; }));
    CHECK(caught(ScenarioKind::losses, [](auto& options) { options.planted_losses_unseen = true; }));
    CHECK(caught(ScenarioKind::many, [](auto& options) { options.planted_copy_short = true; }));
}

TEST_CASE("a change refused for another that is under way is told so only once that one is acknowledged") {
    auto random = Random{1};
    auto const self = std::string("a");
    auto partition = Partition();
    auto context =
        Context{one_second, self, random, [] { return std::vector<Member>(); }, [](auto const&) { return true; }};
    partition.apply = [](Copy const&, Call const& call) { return ChangeResult{200, "", call.body}; };
    partition.learn(context, Record{1, "a", {"b"}, {"a", "b", "c"}});
    partition.copy.sequence = partition.synced = {1, 1};
    partition.committed = partition.copy;
    partition.saving.clear();
    for (auto const* voter : {"a", "b"}) partition.on(context, voter, LeaseGrant{0, 1, context.now, std::nullopt});
    partition.call(context, "x", 1, Call{0, "first", "put", "\"1.1\"", "one"});
    partition.call(context, "x", 2, Call{0, "second", "put", "\"1.1\"", "two"});
    CHECK(context.done.empty());
    partition.saved(context, context.saves.back().token, true);
    partition.on(context, "b", Appended{0, 1, {1, 2}});
    REQUIRE(context.done.size() == 2);
    CHECK(context.done[0].status == 200);
    CHECK(context.done[1].status == 412);
}

TEST_CASE("a leader that hears no answers stands in no one's way: voters grant it nothing, followers take over") {
    auto random = Random{1};
    auto const self = std::string("b");
    auto partition = Partition();
    auto context =
        Context{one_second, self, random, [] { return std::vector<Member>(); }, [](auto const&) { return true; }};
    auto const record = Record{1, "a", {"b"}, {"a", "b", "c"}};
    partition.learn(context, record);
    partition.saving.clear();
    partition.on(context, "a", LeaseRequest{0, record, 5, true});
    CHECK(partition.granted_until == 0);
    REQUIRE(context.sends.size() == 1);
    CHECK(std::get<LeaseGrant>(context.sends[0].message).withheld.value_or(false));
    context.now += 700 * one_millisecond;
    partition.on(context, "a", Heartbeat{0, record, {}, true});
    partition.tick(context);
    CHECK(partition.proposal.has_value());
}

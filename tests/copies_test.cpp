// Partitions with groups of three members: the loss of two core nodes at once, with their
// disks, must be tolerated. docs/design.md section 5.
#include "world_helpers.hpp"

using namespace dockrock;
using namespace dockrock::simulation;

namespace {

struct Shape {
    std::size_t cores;
    std::size_t areas;
};
constexpr auto shapes = std::to_array<Shape>({{5, 5}, {8, 4}});

auto two_lost(Shape const& shape, std::uint64_t seed, std::function<void(WorldOptions&)> const& plant = {})
    -> std::unique_ptr<World> {
    WorldOptions options;
    options.seed = seed;
    options.cores = shape.cores;
    options.areas = shape.areas;
    options.losses = 2;
    if (plant) plant(options);
    auto world = std::make_unique<World>(options);
    for (auto index = std::size_t{0}; index < world->nodes.size(); ++index) world->start(index);
    REQUIRE(world->run_until_true([&] { return world->settled(); }, 12 * one_second));
    return world;
}

auto index_of(World const& world, std::string const& identity) -> std::size_t {
    for (auto index = std::size_t{0}; index < world.options.cores; ++index)
        if (world.nodes[index]->disk.identity == identity) return index;
    FAIL("no core node " + identity);
    return 0;
}

// The leader of the configuration partition, then its followers in the record's order.
auto group_of(World& world) -> std::vector<std::size_t> {
    auto const holder = world.leader(configuration_partition);
    REQUIRE(holder);
    auto members = std::vector<std::size_t>{*holder};
    for (auto const& follower :
         world.nodes[*holder]->control.partitions[configuration_partition].votes.decided.followers)
        members.push_back(index_of(world, follower));
    return members;
}

auto lose_power(World& world, std::set<std::size_t> const& wiped) -> void {
    for (auto index = std::size_t{0}; index < world.nodes.size(); ++index) world.kill(index, wiped.contains(index));
    for (auto index = std::size_t{0}; index < world.nodes.size(); ++index) world.start(index);
}

auto storms_with(std::function<void(WorldOptions&)> const& plant) -> int {
    auto caught = 0;
    for (auto seed = std::uint64_t{1}; seed <= 6; ++seed) {
        WorldOptions options;
        options.seed = seed;
        options.cores = shapes[seed % 2].cores;
        options.areas = shapes[seed % 2].areas;
        options.losses = 2;
        plant(options);
        caught += run_storm(options, 20 * one_second).violations.empty() ? 0 : 1;
    }
    return caught;
}

}  // namespace

TEST_CASE("with two losses to tolerate, every group has three members in three areas") {
    for (auto const& shape : shapes)
        for (auto seed = std::uint64_t{1}; seed <= 5; ++seed) {
            auto const world = two_lost(shape, seed);
            for (auto partition = 0; partition < static_cast<int>(partition_count); ++partition) {
                auto const& record = world->nodes[*world->leader(partition)]
                                         ->control.partitions[static_cast<std::size_t>(partition)]
                                         .votes.decided;
                auto areas = std::set<std::string>{world->nodes[index_of(*world, record.leader)]->area};
                for (auto const& follower : record.followers)
                    areas.insert(world->nodes[index_of(*world, follower)]->area);
                CHECK(areas.size() == 3);
            }
        }
}

TEST_CASE("nothing is lost if two members' disks are wiped right after an acknowledgement and all nodes lose power") {
    for (auto const& shape : shapes)
        for (auto seed = std::uint64_t{1}; seed <= 4; ++seed)
            for (auto spared = std::size_t{0}; spared < 3; ++spared) {
                auto const world = two_lost(shape, seed);
                REQUIRE(put_and_wait(*world, shape.cores, "first") == 200);
                auto lost = std::set<std::size_t>();
                auto const members = group_of(*world);
                REQUIRE(members.size() == 3);
                for (auto place = std::size_t{0}; place < 3; ++place)
                    if (place != spared) lost.insert(members[place]);
                world->put(shape.cores, "kept", "", "", [&](int status) {
                    if (status == 200) world->at(world->now, [&] { lose_power(*world, lost); });
                });
                CHECK(world->run_until_true(
                    [&] { return world->settled() && all_hold(*world, "kept"); }, 14 * one_second));
                world->read(shape.cores);
                world->run_until(world->now + one_second);
                CHECK(world->reads_checked > 0);
                INFO((world->violations.empty() ? std::string() : world->violations.front()));
                CHECK(world->violations.empty());
            }
}

TEST_CASE("a leader lost with another member is replaced within three seconds, and acknowledged changes are kept") {
    for (auto const& shape : shapes)
        for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
            auto const world = two_lost(shape, seed);
            REQUIRE(put_and_wait(*world, shape.cores, "first") == 200);
            auto const members = group_of(*world);
            auto const other = seed % 3 == 0 ? members[2] : members[1];
            for (auto index : {members[0], other}) world->kill(index, seed % 2 == 0);
            CHECK(world->run_until_true(
                [&] { return world->leader(configuration_partition).has_value(); }, 3 * one_second));
            CHECK(put_and_wait(*world, shape.cores, "second") == 200);
            CHECK(world->leader(configuration_partition).has_value());
            for (auto index : {members[0], other}) world->start(index);
            CHECK(world->run_until_true([&] { return world->settled(); }, 12 * one_second));
            CHECK(world->run_until_true([&] { return all_hold(*world, "second"); }, 2 * one_second));
            CHECK(world->violations.empty());
        }
}

TEST_CASE("if a new leader and a member are lost right after its election, the remaining member holds all changes") {
    auto const lost_by = [](std::function<void(WorldOptions&)> const& plant) {
        auto lost = 0;
        for (auto seed = std::uint64_t{1}; seed <= 12; ++seed) {
            auto const world = two_lost(shapes[1], seed, plant);
            if (put_and_wait(*world, 8, "kept") != 200) continue;
            auto const first = *world->leader(configuration_partition);
            world->kill(first, false);
            while (!world->leader(configuration_partition)) world->run_until(world->now + one_millisecond);
            auto const members = group_of(*world);
            world->start(first);
            lose_power(*world, {members[0], members[1]});
            auto const whole =
                world->run_until_true([&] { return world->settled() && all_hold(*world, "kept"); }, 14 * one_second);
            lost += whole && world->violations.empty() ? 0 : 1;
        }
        return lost;
    };
    CHECK(lost_by({}) == 0);
    CHECK(lost_by([](auto& options) { options.planted_partner_not_given = true; }) > 0);
}

TEST_CASE("simulated storms with two losses at once break no invariant") {
    for (auto const& shape : shapes)
        for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
            WorldOptions options;
            options.seed = seed;
            options.cores = shape.cores;
            options.areas = shape.areas;
            options.losses = 2;
            auto const result = run_storm(options, 30 * one_second);
            INFO(
                shape.cores << " cores, seed " << seed
                            << (result.violations.empty() ? "" : ": " + result.violations.front()));
            CHECK(result.violations.empty());
            CHECK(result.acknowledged > 0);
        }
}

TEST_CASE("planted: acknowledging with one copy too few, or accepting before all members hold the copy, is detected") {
    CHECK(storms_with([](auto& options) { options.planted_copy_short = true; }) == 6);
    CHECK(storms_with([](auto& options) { options.planted_partner_not_given = true; }) >= 3);
}

TEST_CASE("groups grow without loss when the configured number of tolerated losses rises from one to two") {
    for (auto seed = std::uint64_t{1}; seed <= 5; ++seed) {
        WorldOptions options;
        options.seed = seed;
        options.cores = options.areas = 5;
        auto world = World(options);
        for (auto index = std::size_t{0}; index < world.nodes.size(); ++index) world.start(index);
        REQUIRE(world.run_until_true([&] { return world.settled(); }, 12 * one_second));
        REQUIRE(put_and_wait(world, 5, "kept") == 200);
        world.options.losses = 2;
        for (auto index = std::size_t{0}; index < 5; ++index) {
            world.kill(index, false);
            world.start(index);
            world.run_until(world.now + 3 * one_second);
        }
        CHECK(world.run_until_true([&] { return world.settled() && all_hold(world, "kept"); }, 12 * one_second));
        CHECK(world.violations.empty());
    }
}

TEST_CASE("of two proposers' copies the one with the higher ballot is kept, in either order of arrival") {
    auto random = Random{1};
    auto const self = std::string("c");
    Partition partition;
    auto context =
        Context{one_second, self, random, [] { return std::vector<Member>(); }, [](auto const&) { return true; }};
    auto const record = Record{1, "a", {"b", "c"}, {"a", "b", "c"}};
    partition.learn(context, record);
    partition.on(context, "b", CopyOffer{0, record, {5, "b"}, Copy{{1, 7}, "newer", {}}, ""});
    CHECK(partition.votes.sealed == 1);
    context.sends.clear();
    partition.on(context, "a", CopyOffer{0, record, {4, "a"}, Copy{{1, 6}, "older", {}}, ""});
    CHECK(partition.copy.document == "newer");
    REQUIRE(context.sends.size() == 1);
    CHECK(std::holds_alternative<Refusal>(context.sends[0].message));
    partition.on(
        context, "b", CopyOffer{0, Record{0, "a", {"b"}, {"a", "b", "c"}}, {9, "b"}, Copy{{0, 9}, "stale", {}}, ""});
    CHECK(partition.copy.document == "newer");
}

TEST_CASE("a proposer replaces a silent member of the new group by another node") {
    auto random = Random{1};
    auto const self = std::string("b");
    auto const cores = [] {
        auto list = std::vector<Member>();
        for (auto const* name : {"b", "c", "d", "e"})
            list.push_back(Member{name, name, "", std::string("area-") + name, true, true, false, 1, 0});
        return list;
    };
    Partition partition;
    partition.machines_lost = 2;
    auto context = Context{one_second, self, random, cores, [](auto const& name) { return name != "a"; }};
    partition.learn(context, Record{1, "a", {"b", "c"}, {"a", "b", "c", "d", "e"}});
    context.now += 5 * one_second;
    partition.saving.clear();  // synced
    partition.tick(context);
    REQUIRE(partition.proposal);
    auto const ballot = partition.proposal->ballot;
    for (auto const* voter : {"b", "c", "d"}) partition.on(context, voter, Promise{0, 2, ballot, {}, std::nullopt});
    REQUIRE(partition.proposal->stage == Partition::Proposal::Stage::copying);
    auto const silent = partition.proposal->value.followers.back();
    CHECK(partition.proposal->value.followers.front() == "c");  // a live member stays
    partition.on(context, "c", CopyTaken{0, 1, ballot});
    partition.saved(context, context.saves.back().token, true);
    context.sends.clear();
    context.now += 600 * one_millisecond;
    partition.saving.clear();
    partition.tick(context);
    REQUIRE(partition.proposal);
    CHECK(partition.proposal->stage == Partition::Proposal::Stage::copying);
    auto const other = partition.proposal->value.followers.back();
    CHECK(other != silent);
    partition.on(context, other, CopyTaken{0, 1, ballot});
    CHECK(partition.proposal->stage == Partition::Proposal::Stage::accepting);
    CHECK(partition.proposal->value.followers == std::vector<std::string>{"c", other});
}

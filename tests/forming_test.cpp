// First forming where the number of core nodes is not told. docs/design.md 5.5 and 5.7.
#include "world_helpers.hpp"

using namespace dockrock;
using namespace dockrock::simulation;

namespace {

struct Told {
    std::size_t machines_lost = 1;
    std::set<std::size_t> never_form;     // by index
    std::uint64_t incarnation = 0;        // of a core node with an empty disk, where not 0
    std::vector<std::string> more_seeds;  // that nobody answers
};

// `settled` counts on the options' number of cores; these worlds have as many voters.
auto untold(std::uint64_t seed, std::size_t cores, Told const& told) -> std::unique_ptr<World> {
    WorldOptions options;
    options.seed = seed;
    options.cores = cores;
    auto world = std::make_unique<World>(options);
    world->when_started = [world = world.get(), told](std::size_t index) {
        auto& control = world->nodes[index]->control;
        control.settings.core_count = 0;
        control.settings.machines_lost = told.machines_lost;
        control.settings.may_form = !told.never_form.contains(index);
        if (control.settings.core && !control.settings.may_form) control.membership.self.never_forms = true;
        for (auto& partition : control.partitions) {
            partition.core_count = 0;
            partition.machines_lost = told.machines_lost;
        }
        for (auto const& seed : told.more_seeds) control.membership.seeds.push_back(seed);
        if (told.incarnation != 0 && !control.knows_fleet()) control.membership.self.incarnation = told.incarnation;
    };
    return world;
}

auto start_all(World& world) -> void {
    for (auto index = std::size_t{0}; index < world.nodes.size(); ++index) world.start(index);
}

auto all_owned(World& world) -> bool {
    for (auto partition = 0; partition < static_cast<int>(partition_count); ++partition)
        if (!world.leader(partition)) return false;
    return true;
}

auto voters(World& world, std::size_t index, int partition = configuration_partition) -> std::vector<std::string> {
    return world.nodes[index]->control.best_record(partition).voters;
}

auto names(std::vector<std::string> const& list, std::string const& identity) -> bool {
    return std::find(list.begin(), list.end(), identity) != list.end();
}

}  // namespace

TEST_CASE("a fleet that is not told how many core nodes it has forms of all that are there") {
    for (auto const cores : {std::size_t{4}, std::size_t{5}, std::size_t{8}}) {
        for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
            auto told = Told{};
            told.machines_lost = cores == 8 ? 2 : 1;
            auto const world = untold(seed, cores, told);
            start_all(*world);
            INFO("cores " << cores << " seed " << seed);
            REQUIRE(world->run_until_true([&] { return all_owned(*world); }, 4 * one_second));
            for (auto index = std::size_t{0}; index < cores; ++index)
                CHECK(world->nodes[index]->control.best_record(configuration_partition).voters.size() == cores);
            for (auto partition = 0; partition < static_cast<int>(partition_count); ++partition)
                CHECK(world->nodes[0]->control.best_record(partition).followers.size() == told.machines_lost);
            REQUIRE(put_and_wait(*world, cores, "first") == 200);
            CHECK(world->violations.empty());
        }
    }
}

TEST_CASE("too few core nodes for the losses to be borne form nothing") {
    auto const world = untold(1, 4, Told{});
    for (auto const index : {0, 2, 4, 5, 6}) world->start(static_cast<std::size_t>(index));
    CHECK_FALSE(world->run_until_true([&] { return all_owned(*world); }, 20 * one_second));
    world->start(3);  // the third: two of them are a majority still
    CHECK(world->run_until_true([&] { return all_owned(*world); }, 5 * one_second));
    CHECK(voters(*world, 0).size() == 3);
}

TEST_CASE("a core node that comes while the others wait is among the first voters") {
    auto const world = untold(3, 5, Told{});
    for (auto index = std::size_t{0}; index < 4; ++index) world->start(index);
    world->run_until(world->now + 800 * one_millisecond);
    world->start(4);
    REQUIRE(world->run_until_true([&] { return all_owned(*world); }, 4 * one_second));
    CHECK(voters(*world, 0).size() == 5);
}

TEST_CASE("while a seed was not heard of, forming waits longer") {
    auto told = Told{};
    told.more_seeds = {"10.0.0.99:7000"};
    auto const world = untold(2, 4, told);
    start_all(*world);
    CHECK_FALSE(world->run_until_true([&] { return all_owned(*world); }, 4 * one_second));
    CHECK(world->run_until_true([&] { return all_owned(*world); }, 4 * one_second));
}

TEST_CASE("blank core nodes that may not form never do, and are no hindrance to one that may") {
    for (auto seed = std::uint64_t{1}; seed <= 5; ++seed) {
        auto told = Told{};
        told.never_form = {0, 1, 2, 3};
        auto const none = untold(seed, 4, told);
        start_all(*none);
        CHECK_FALSE(
            none->run_until_true([&] { return none->leader(configuration_partition).has_value(); }, 30 * one_second));
        told.never_form = {0, 1, 2};
        auto const one = untold(seed, 4, told);
        start_all(*one);
        CHECK(one->run_until_true([&] { return all_owned(*one); }, 5 * one_second));
    }
}

// With the number of its life below the old one's: the disk that counted it is lost.
TEST_CASE("a wiped core node votes in place of its old identity, and no voter is added") {
    for (auto const incarnation : {std::uint64_t{0}, std::uint64_t{1}}) {
        for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
            auto told = Told{};
            told.incarnation = incarnation;
            auto const world = untold(seed, 4, told);
            start_all(*world);
            REQUIRE(world->run_until_true([&] { return all_owned(*world); }, 4 * one_second));
            auto const index = seed % 4;
            world->kill(index, false);
            world->run_until(world->now + 200 * one_millisecond);
            world->start(index);  // its second life, on the same disk
            world->run_until(world->now + 4 * one_second);
            auto const old = world->nodes[index]->control.membership.self.identity;
            REQUIRE(names(voters(*world, 0), old));
            world->kill(index, true);
            world->run_until(world->now + 200 * one_millisecond);
            world->start(index);
            auto const fresh = world->nodes[index]->control.membership.self.identity;
            INFO("seed " << seed << " incarnation " << incarnation);
            CHECK(world->run_until_true(
                [&] {
                    for (auto partition = 0; partition < static_cast<int>(partition_count); ++partition) {
                        auto const list = voters(*world, (index + 1) % 4, partition);
                        if (!names(list, fresh) || names(list, old) || list.size() != 4) return false;
                    }
                    return all_owned(*world);
                },
                10 * one_second));
            CHECK(world->violations.empty());
        }
    }
}

TEST_CASE("groups follow the losses to be borne and the voters that were found, and bear the losses") {
    for (auto const cores : {std::size_t{5}, std::size_t{8}})
        for (auto seed = std::uint64_t{1}; seed <= 5; ++seed) {
            auto told = Told{};
            told.machines_lost = 2;
            auto const world = untold(seed, cores, told);
            world->options.losses = 2;
            start_all(*world);
            INFO("cores " << cores << " seed " << seed);
            REQUIRE(world->run_until_true([&] { return all_owned(*world); }, 4 * one_second));
            REQUIRE(put_and_wait(*world, cores, "kept") == 200);
            auto const holder = *world->leader(configuration_partition);
            auto const record = world->nodes[holder]->control.best_record(configuration_partition);
            REQUIRE(record.followers.size() == 2);
            for (auto index = std::size_t{0}; index < cores; ++index)
                if (index == holder || world->nodes[index]->disk.identity == record.followers.front())
                    world->kill(index, true);
            CHECK(world->run_until_true([&] { return all_owned(*world); }, 6 * one_second));
            CHECK(put_and_wait(*world, cores, "second") == 200);
            CHECK(world->violations.empty());
        }
}

TEST_CASE("a group is no larger than a majority of the voters") {
    Partition partition;
    partition.machines_lost = 2;
    partition.core_count = 0;
    CHECK(partition.group_size() == 3);  // nothing known yet
    partition.votes.decided.voters = {"a", "b", "c"};
    CHECK(partition.group_size() == 2);
    partition.votes.decided.voters = {"a", "b", "c", "d", "e"};
    CHECK(partition.group_size() == 3);
    partition.core_count = 1;
    CHECK(partition.group_size() == 1);
}

TEST_CASE("a core node added to a whole fleet stays a spare") {
    auto const world = untold(5, 5, Told{});
    for (auto const index : {0, 1, 2, 3, 5, 6, 7}) world->start(static_cast<std::size_t>(index));
    REQUIRE(world->run_until_true([&] { return all_owned(*world); }, 4 * one_second));
    world->start(4);
    world->run_until(world->now + 5 * one_second);
    CHECK(voters(*world, 4).size() == 4);
    world->kill(1, true);  // for good
    auto const spare = world->nodes[4]->control.membership.self.identity;
    CHECK(world->run_until_true([&] { return names(voters(*world, 0), spare) && all_owned(*world); }, 15 * one_second));
    CHECK(voters(*world, 0).size() == 4);
    CHECK(world->violations.empty());
}

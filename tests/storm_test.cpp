// The simulator's storms with a fixed set of seeds, and faults planted to show
// that the checks bite. The long sweep: docs/proofs.md.
#include <catch2/catch.hpp>

#include "world_helpers.hpp"

using namespace dockrock;
using namespace dockrock::simulation;

TEST_CASE("storms: every invariant holds under kills, lost disks, cuts, freezes, sick disks and races") {
    auto acknowledged = std::size_t{0};
    auto storms = std::size_t{0};
    auto disks_taken_up = std::uint64_t{0};
    for (auto seed : {1,  2,  3,  4,  5,   6,   7,   8,   9,   10,  11,  12,  13,   14,  15,
                      16, 20, 55, 97, 131, 264, 300, 310, 323, 435, 832, 926, 1142, 1159}) {
        WorldOptions options;
        options.seed = static_cast<std::uint64_t>(seed);
        auto const result = run_storm(options, 40 * one_second);
        INFO("seed " << seed << (result.violations.empty() ? "" : ": " + result.violations.front()));
        CHECK(result.violations.empty());
        acknowledged += result.acknowledged;
        disks_taken_up += result.disks_taken_up;
        ++storms;
    }
    CHECK(disks_taken_up > 10);          // by nodes that started while they did not answer
    CHECK(acknowledged >= 20 * storms);  // a storm may hit the one pair member left again and again
}

TEST_CASE("planted: a disk that lies about syncing is caught") {
    auto caught = 0;
    for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
        auto world = formed(seed);
        REQUIRE(put_and_wait(*world, 5, "kept") == 200);
        auto const before = std::vector<std::vector<SavedPartition>>{
            world->nodes[0]->disk.synced, world->nodes[1]->disk.synced, world->nodes[2]->disk.synced,
            world->nodes[3]->disk.synced};
        REQUIRE(put_and_wait(*world, 5, "lost") == 200);
        for (auto index = std::size_t{0}; index < 4; ++index) {
            world->nodes[index]->disk.synced = before[index];
            world->kill(index, false);
        }
        for (auto index = std::size_t{0}; index < 4; ++index) world->start(index);
        world->run_until_true([&] { return world->settled(); }, 12 * one_second);
        world->read(5);
        put_and_wait(*world, 5, "after");
        world->run_until(world->now + 3 * one_second);
        caught += world->violations.empty() ? 0 : 1;
    }
    CHECK(caught == 10);
}

TEST_CASE("planted: a lease longer than its grants is caught") {
    auto caught = 0;
    for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
        auto world = formed(seed);
        for (auto& node : world->nodes)
            for (auto& partition : node->control.partitions) partition.times.lease_duration = 20 * one_second;
        world->run_until(world->now + one_second);
        world->isolate(*world->leader(configuration_partition));
        world->run_until(world->now + 5 * one_second);
        caught += world->violations.empty() ? 0 : 1;
    }
    CHECK(caught == 10);
}

TEST_CASE("one lost core node, a leader too, is replaced within three seconds, acknowledged changes kept") {
    for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
        auto world = formed(seed);
        REQUIRE(put_and_wait(*world, 4, "first") == 200);
        auto const holder = *world->leader(configuration_partition);
        world->kill(holder, seed % 2 == 0);
        CHECK(
            world->run_until_true([&] { return world->leader(configuration_partition).has_value(); }, 3 * one_second));
        CHECK(put_and_wait(*world, 4, "second") == 200);
        world->start(holder);  // with its disk, or blank and under a new identity
        CHECK(world->run_until_true([&] { return world->settled(); }, 12 * one_second));
        CHECK(world->run_until_true([&] { return all_hold(*world, "second"); }, 2 * one_second));
        CHECK(world->violations.empty());
    }
}

TEST_CASE("the core split two and two: whoever reaches the leader stays fresh, the cut-off grant nothing") {
    for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
        auto world = formed(seed, 4);
        REQUIRE(put_and_wait(*world, 4, "first") == 200);
        auto const holder = *world->leader(configuration_partition);
        world->split({holder, (holder + 1) % 4, 4, 5});
        world->run_until(world->now + 8 * one_second);
        CHECK(world->leader(configuration_partition) == holder);
        for (auto index : {std::size_t{4}, std::size_t{5}})
            CHECK(
                world->nodes[index]->control.proof_age(configuration_partition, world->local(*world->nodes[index])) <
                1'500 * one_millisecond);
        for (auto index : {std::size_t{6}, std::size_t{7}})
            CHECK(
                world->nodes[index]->control.proof_age(configuration_partition, world->local(*world->nodes[index])) >
                4 * one_second);
        world->heal();
        CHECK(world->run_until_true([&] { return world->settled(); }, 12 * one_second));
        CHECK(put_and_wait(*world, 7, "second") == 200);
        CHECK(world->violations.empty());
    }
}

TEST_CASE("a frozen leader that wakes does no harm") {
    for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
        auto world = formed(seed);
        REQUIRE(put_and_wait(*world, 4, "first") == 200);
        world->freeze(*world->leader(configuration_partition), 6 * one_second);
        world->run_until(world->now + 2 * one_second);
        CHECK(put_and_wait(*world, 5, "second") == 200);
        world->run_until(world->now + 6 * one_second);
        CHECK(all_hold(*world, "second"));
        CHECK(world->violations.empty());
    }
}

TEST_CASE("all nodes lost at once, disks kept: service again within twelve seconds, nothing acknowledged lost") {
    for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
        auto world = formed(seed);
        REQUIRE(put_and_wait(*world, 4, "kept") == 200);
        for (auto index = std::size_t{0}; index < world->nodes.size(); ++index) world->kill(index, false);
        for (auto index = std::size_t{0}; index < world->nodes.size(); ++index) world->start(index);
        CHECK(world->run_until_true([&] { return world->settled() && all_hold(*world, "kept"); }, 12 * one_second));
        CHECK(world->violations.empty());
    }
}

TEST_CASE("racing operators with one condition: one wins, the other never comes in force") {
    for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
        auto world = formed(seed);
        REQUIRE(put_and_wait(*world, 4, "first") == 200);
        auto const condition = etag_of(world->highest_acknowledged);
        auto const left = world->put(4, "left", condition);
        auto const right = world->put(5, "right", condition);
        world->run_until(world->now + 3 * one_second);
        CHECK(world->changes[left].status + world->changes[right].status == 200 + 412);
        CHECK(all_hold(*world, world->changes[left].status == 200 ? "left" : "right"));
        CHECK(world->violations.empty());
    }
}

TEST_CASE("a change repeated under its identity finds its outcome and is made once") {
    auto world = formed(3);
    auto const first = world->put(4, "document", "", "my-change");
    world->run_until(world->now + 2 * one_second);
    auto const again = world->put(6, "document", "", "my-change");
    world->run_until(world->now + 2 * one_second);
    CHECK(world->changes[first].status == 200);
    CHECK(world->changes[again].status == 200);
    CHECK(world->changes[first].sequence == world->changes[again].sequence);
    auto const other = world->put(6, "another document", "", "my-change");
    world->run_until(world->now + 2 * one_second);
    CHECK(world->changes[other].status == 422);
}

TEST_CASE("no leader can be reached: 503 and nothing changed; a lost answer: 504, and its outcome is found later") {
    for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
        auto world = formed(seed);
        REQUIRE(put_and_wait(*world, 4, "first") == 200);
        for (auto index = std::size_t{0}; index < 4; ++index) world->kill(index, false);
        world->run_until(world->now + 4 * one_second);
        auto const alone = put_and_wait(*world, 4, "nowhere");
        CHECK((alone == 503 || alone == 504));
        for (auto index = std::size_t{0}; index < 4; ++index) world->start(index);
        REQUIRE(world->run_until_true([&] { return world->settled(); }, 12 * one_second));
        // A node that has heard of no leader since the loss refuses at once, and sends nothing.
        auto const& asked = world->nodes[5]->control;
        REQUIRE(world->run_until_true(
            [&] { return !asked.leader_unreachable(world->local(*world->nodes[5]), configuration_partition); },
            5 * one_second));
        auto const holder = *world->leader(configuration_partition);
        auto const lost = world->put(5, "lost answer", "", "lost-" + std::to_string(seed));
        for (auto index = std::size_t{0}; index < world->nodes.size(); ++index)
            world->cuts.insert({holder, index});  // one way: it hears, nobody hears it
        world->run_until_true([&] { return world->changes[lost].status != 0; }, 6 * one_second);
        CHECK(world->changes[lost].status != 503);  // it was sent: it may have been taken
        world->heal();
        world->run_until_true([&] { return world->settled(); }, 12 * one_second);
        auto const again = world->put(6, "lost answer", "", "lost-" + std::to_string(seed));
        world->run_until_true([&] { return world->changes[again].status != 0; }, 6 * one_second);
        CHECK(world->changes[again].status == 200);
        INFO((world->violations.empty() ? std::string() : world->violations.front()));
        CHECK(world->violations.empty());
    }
}

TEST_CASE("a new leader says that a change is not in force only once its own term is on both disks") {
    // Before that, the partner may still hold a copy in which the change lives.
    for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
        auto world = formed(seed);
        REQUIRE(put_and_wait(*world, 4, "first") == 200);
        world->kill(*world->leader(configuration_partition), false);
        while (!world->leader(configuration_partition)) world->run_until(world->now + one_millisecond);
        auto const fresh = *world->leader(configuration_partition);
        auto& node = *world->nodes[fresh];
        auto const& partition = node.control.partitions[configuration_partition];
        auto early = 0;
        auto answered = 0;
        for (auto count = 0; count < 200; ++count) {
            auto const token = std::uint64_t{1'000'000} + static_cast<std::uint64_t>(count);
            world->call_results[token] = [&](CallDone const& done) {
                ++answered;
                if (done.status == 404 && partition.committed &&
                    partition.committed->sequence.term != partition.votes.decided.term)
                    ++early;
            };
            auto const done = node.control.call(
                world->local(node), token, Call{configuration_partition, "never-made", "outcome", "", ""});
            for (auto const& result : done.results) world->call_results[result.token](result);
            world->run_until(world->now + one_millisecond);
        }
        CHECK(early == 0);
        world->run_until(world->now + 5 * one_second);
        CHECK(answered > 0);
    }
}

TEST_CASE("a blank majority does not form anew while an edge node knows the fleet") {
    for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
        auto world = formed(seed);
        REQUIRE(put_and_wait(*world, 4, "first") == 200);
        for (auto index = std::size_t{0}; index < 4; ++index) world->kill(index, true);
        for (auto index = std::size_t{0}; index < 4; ++index) world->start(index);
        world->run_until(world->now + 20 * one_second);
        CHECK_FALSE(world->leader(configuration_partition).has_value());
    }
}

TEST_CASE("seeds that moved: nodes find each other by what they remember") {
    auto world = formed(5);
    for (auto& node : world->nodes) node->control.membership.seeds = {"10.9.9.9:1"};
    world->isolate(4);
    world->run_until(world->now + 10 * one_second);
    world->heal();
    CHECK(world->run_until_true(
        [&] {
            return world->nodes[4]->control.proof_age(configuration_partition, world->local(*world->nodes[4])) <
                one_second;
        },
        8 * one_second));
}

// Repair: damage of any one copy is mended, and what that costs is bounded.
// docs/design.md sections 5.5 and 5.8.
#include "world_helpers.hpp"

using namespace dockrock;
using namespace dockrock::simulation;

namespace {
constexpr auto size_of_document = std::size_t{50'000};

auto with_document(std::uint64_t seed) -> std::unique_ptr<World> {
    auto world = formed(seed);
    REQUIRE(put_and_wait(*world, 4, std::string(size_of_document, 'd')) == 200);
    world->run_until(world->now + 5 * one_second);  // spares have it
    return world;
}

auto all_copies_good(World& world) -> bool {
    return std::all_of(world.nodes.begin(), world.nodes.end(), [](auto const& node) {
        return !node->core ||
            node->control.partitions[configuration_partition].copy.document.size() == size_of_document;
    });
}
}  // namespace

TEST_CASE("a spare copy that was lost or is old is found by the sweep, and sent once") {
    for (auto seed = std::uint64_t{1}; seed <= 5; ++seed) {
        auto world = with_document(seed);
        REQUIRE(all_copies_good(*world));
        auto const calm = world->copy_bytes;
        world->run_until(world->now + 10 * one_second);
        CHECK(world->copy_bytes == calm);  // a whole fleet sends no copies
        for (auto index = std::size_t{0}; index < 4; ++index) {
            auto& node = *world->nodes[index];
            auto& partition = node.control.partitions[configuration_partition];
            auto const& record = partition.votes.decided;
            auto const self = node.control.membership.self.identity;
            if (record.has_member(self)) continue;
            auto const before = world->copy_bytes;
            partition.copy = Copy{};
            partition.synced = {};
            CHECK(world->run_until_true([&] { return all_copies_good(*world); }, 5 * one_second));
            world->run_until(world->now + 5 * one_second);
            CHECK(world->copy_bytes - before <= 3 * size_of_document);  // once; more only where a message was lost
        }
        CHECK(world->violations.empty());
    }
}

TEST_CASE("the disk of any one core node lost: every copy is back, at the cost of a few copies") {
    for (auto seed = std::uint64_t{1}; seed <= 4; ++seed) {
        for (auto index = std::size_t{0}; index < 4; ++index) {
            auto world = with_document(seed);
            auto const before = world->copy_bytes;
            world->kill(index, true);
            world->run_until(world->now + one_second);
            world->start(index);
            REQUIRE(
                world->run_until_true([&] { return world->settled() && all_copies_good(*world); }, 15 * one_second));
            world->run_until(world->now + 5 * one_second);
            CHECK(world->copy_bytes - before <= 12 * size_of_document);
            CHECK(all_hold(*world, std::string(size_of_document, 'd')));
            CHECK(world->violations.empty());
        }
    }
}

TEST_CASE("a partner keeps the sealed copy that it took, whatever spare copies come late") {
    auto random = Random{1};
    auto const self = std::string("c");
    Partition partition;
    auto context =
        Context{one_second, self, random, [] { return std::vector<Member>(); }, [](auto const&) { return true; }};
    auto const record = Record{1, "a", {"b"}, {"a", "b", "c"}};
    partition.learn(context, record);
    partition.on(context, "a", SpareOffer{0, record, Copy{{1, 5}, "spare", {}}});
    CHECK(partition.copy.document == "spare");
    partition.on(context, "a", CopyOffer{0, record, {4, "a"}, Copy{{1, 7}, "sealed", {}}, ""});
    partition.on(context, "a", SpareOffer{0, record, Copy{{1, 6}, "late", {}}});
    CHECK(partition.copy.document == "sealed");
}

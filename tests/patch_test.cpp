// Partial changes of the configuration: JSON Patch, applied by the leader. docs/design.md section 7.2.
#include "helpers.hpp"
#include "sequence/changes.hpp"
#include "world_helpers.hpp"

using namespace dockrock;
using namespace dockrock::simulation;
using namespace dockrock::testing;

namespace {
auto patch_of(std::string const& path, std::string const& value) -> std::string {
    return R"([{"op":"replace","path":")" + path + R"(","value":)" + value + "}]";
}
auto try_patch(std::string const& patch) -> ChangeResult {
    Copy current;
    current.document = tree();
    return apply_configuration(current, Call{configuration_partition, "", "patch", "", patch});
}
}  // namespace

TEST_CASE("a patch changes one branch, and the resulting configuration is validated as a whole") {
    auto const result = try_patch(patch_of("/root/rank", "5"));
    REQUIRE(result.status == 200);
    auto const checked = check_configuration(result.document);
    CHECK(checked.configuration.root.rank == 5);
    CHECK(checked.tenants.size() == check_configuration(tree()).tenants.size());
}

TEST_CASE("invalid patches are refused with their path and change nothing") {
    auto const expect_refused = [](std::string const& patch, int status, std::string const& path) {
        auto const result = try_patch(patch);
        INFO(patch << " " << result.body);
        CHECK(result.status == status);
        CHECK(result.document.empty());
        CHECK(result.body.find("\"path\":\"" + path + "\"") != std::string::npos);
    };
    expect_refused("nonsense", 400, "");
    expect_refused("{}", 400, "");
    expect_refused("[5]", 400, "/0");
    expect_refused(R"([{"op":"fly","path":"/root"}])", 400, "/0");
    expect_refused(R"([{"op":"replace","value":1}])", 400, "/0");
    expect_refused(R"([{"op":"replace","path":5,"value":1}])", 400, "/0");
    expect_refused(R"([{"op":"copy","from":5,"path":"/a"}])", 400, "/0");
    expect_refused(R"([{"op":"test","path":"/root/rank","value":2},{"op":"remove","path":"/nowhere"}])", 400, "/1");
    expect_refused(
        R"([{"op":"test","path":"/root/rank","value":9},{"op":"replace","path":"/root/rank","value":3}])", 412, "/0");
    expect_refused(patch_of("/root/rank", "77"), 400, "/root/rank");  // the whole tree is checked
    expect_refused(patch_of("/root/wall", "\"none\""), 400, "/root/wall");
    auto bomb = std::string("[");
    for (auto count = 0; count < 40; ++count)
        bomb += R"({"op":"copy","from":"","path":"/x)" + std::to_string(count) + "\"},";
    bomb.back() = ']';
    CHECK(try_patch(bomb).status == 413);
    auto many = std::string("[");
    for (auto count = 0; count < 300; ++count) many += R"({"op":"test","path":"/root/rank","value":2},)";
    many.back() = ']';
    CHECK(try_patch(many).status == 413);
    Copy empty;
    CHECK(
        apply_configuration(empty, Call{configuration_partition, "", "patch", "", patch_of("/root/rank", "5")})
            .status == 400);
}

TEST_CASE("concurrent patches of different branches both apply; a patch on an outdated base is answered 412") {
    for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
        auto world = formed(seed);
        for (auto& node : world->nodes) node->control.partitions[configuration_partition].apply = apply_configuration;
        REQUIRE(put_and_wait(*world, 4, tree()) == 200);
        auto const condition = etag_of(world->highest_acknowledged);
        auto statuses = std::vector<int>();
        auto const patch = [&](std::size_t index, std::string const& identity, std::string const& match,
                               std::string const& text) {
            world->call(
                index, Call{configuration_partition, identity, "patch", match, text},
                [&](CallDone const& done) { statuses.push_back(done.status); });
        };
        patch(4, "one", "", patch_of("/root/rank", "5"));
        patch(5, "two", "", patch_of("/limits/buffer_length", "77"));
        world->run_until_true([&] { return statuses.size() == 2; }, 3 * one_second);
        CHECK(statuses == std::vector<int>{200, 200});
        patch(6, "three", condition, patch_of("/root/rank", "1"));
        world->run_until_true([&] { return statuses.size() == 3; }, 3 * one_second);
        CHECK(statuses.back() == 412);
        patch(6, "one", "", patch_of("/root/rank", "5"));  // sent again: applied once
        world->run_until_true([&] { return statuses.size() == 4; }, 3 * one_second);
        CHECK(statuses.back() == 200);
        patch(6, "one", "", patch_of("/root/rank", "6"));
        world->run_until_true([&] { return statuses.size() == 5; }, 3 * one_second);
        CHECK(statuses.back() == 422);
        world->run_until(world->now + 2 * one_second);
        for (auto const& node : world->nodes) {
            auto const held = check_configuration(node->control.views[configuration_partition].copy.document);
            CHECK(held.configuration.root.rank == 5);
            CHECK(held.configuration.limits.buffer_length == 77);
        }
        CHECK(world->violations.empty());
    }
}

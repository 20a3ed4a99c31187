#include <catch2/catch.hpp>

#include "control/resting_policy.hpp"

using namespace dockrock;

namespace {
auto edges(double rate) -> std::vector<EdgeTraffic> {
    std::vector<EdgeTraffic> nodes;
    for (auto number = 0; number < 9; ++number)
        nodes.push_back({"e" + std::to_string(number), "area-" + std::to_string(number % 4), rate});
    return nodes;
}
auto settle(
    RestingPolicy& resting, std::vector<EdgeTraffic> const& nodes, std::set<std::string> set, Microseconds from,
    Microseconds length) -> std::set<std::string> {
    for (auto now = from; now < from + length; now += 500 * one_millisecond) {
        auto seen = nodes;
        for (auto& node : seen)
            if (set.contains(node.identity)) node.rate = 0.0;  // clients are sent to other nodes
        if (auto const wanted = resting.step(seen, set, now)) set = *wanted;
    }
    return set;
}
}  // namespace

TEST_CASE("in light traffic nodes rest one at a time, never below one per area and one spare") {
    auto resting = RestingPolicy();
    auto const nodes = edges(0.5);
    CHECK(settle(resting, nodes, {}, one_second, 3 * one_second).empty());  // not before load was low for long enough
    auto const set = settle(resting, nodes, {}, 4 * one_second, 60 * one_second);
    CHECK(set.size() == 4);
    std::map<std::string, int> awake;
    for (auto const& node : nodes)
        if (!set.contains(node.identity)) ++awake[node.area];
    CHECK(awake.size() == 4);
}

TEST_CASE("a sudden rise wakes the needed nodes in one step, a lost node is replaced") {
    auto resting = RestingPolicy();
    auto const set = settle(resting, edges(0.5), {}, one_second, 60 * one_second);
    auto busy = edges(0.0);
    for (auto& node : busy)
        if (!set.contains(node.identity)) node.rate = 30.0;
    auto const woken = resting.step(busy, set, 70 * one_second);
    REQUIRE(woken);
    CHECK(woken->size() <= 1);  // 150 requests/s, headroom 2, 40 per node: eight and one spare
    auto fewer = edges(0.5);
    std::erase_if(fewer, [&](auto const& node) { return node.identity == "e0" || node.identity == "e4"; });
    for (auto& node : fewer)
        if (set.contains(node.identity)) node.rate = 0.0;
    auto const after = resting.step(fewer, set, 71 * one_second).value_or(set);
    auto count = std::size_t{0};
    for (auto const& node : fewer) count += after.contains(node.identity) ? 0 : 1;
    CHECK(count >= resting.least_awake(fewer));
}

TEST_CASE("a resting node that gets traffic counts as awake, and varying traffic does not make nodes flap") {
    auto resting = RestingPolicy();
    auto set = settle(resting, edges(0.5), {}, one_second, 60 * one_second);
    auto nodes = edges(0.5);
    auto changes = 0;
    for (auto now = 100 * one_second; now < 160 * one_second; now += 500 * one_millisecond) {
        auto const high = (now / (2 * one_second)) % 2 == 0;
        for (auto& node : nodes) node.rate = set.contains(node.identity) ? 0.0 : (high ? 25.0 : 0.5);
        if (auto const wanted = resting.step(nodes, set, now)) {
            set = *wanted;
            ++changes;
        }
    }
    CHECK(changes <= 4);
    nodes[0].rate = 1.0;
    set.insert("e0");
    auto const wanted = resting.step(nodes, set, 200 * one_second);
    REQUIRE(wanted);
    CHECK_FALSE(wanted->contains("e0"));
}

// Exchange of the times at which versions became targets. docs/design.md section 11.4.
#include <catch2/catch.hpp>

#include "control/version_history.hpp"

using namespace dockrock;

namespace {

constexpr auto named_at = 1'000 * one_second;
constexpr auto skew = 500 * one_second;  // between the clocks of two nodes

auto knower() -> VersionHistory {
    VersionHistory version_history;
    version_history.learn(R"({"m":2})", named_at);
    version_history.learn(R"({"m":3,"other":"text"})", named_at + 4 * one_second);
    return version_history;
}

}  // namespace

TEST_CASE("a node that gets an age counts from the target's time by its own clock, later only by the message delay") {
    auto const knows = knower();
    auto restarted = VersionHistory();
    auto const asked = named_at + 9 * one_second;
    restarted.learn(R"({"m":3})", asked + skew);
    CHECK(*restarted.by_model["m"].superseded_at(1) == asked + skew);
    auto const message = read_message(write_message(VersionAges{false, knows.ages(asked)}));
    REQUIRE(message);
    auto const way = 300 * one_millisecond;
    CHECK(restarted.take(std::get<VersionAges>(*message).named, asked + way + skew));
    CHECK(*restarted.by_model["m"].superseded_at(1) == named_at + way + skew);
    CHECK(*restarted.by_model["m"].superseded_at(2) == named_at + 4 * one_second + way + skew);
    // The same age again with a longer delay changes nothing; nor does the answer to the other node.
    CHECK_FALSE(restarted.take(knows.ages(asked), asked + 5 * one_second + skew));
    auto other = knows;
    CHECK_FALSE(other.take(restarted.ages(asked + 6 * one_second + skew), asked + 6 * one_second));
}

TEST_CASE("a long exchange between nodes never yields a moment before the target was set") {
    auto random = Random{7};
    auto nodes = std::vector<VersionHistory>(5);
    auto now = named_at;
    nodes[0].learn(R"({"m":2})", now);
    for (auto round = 0; round < 2'000; ++round) {
        auto const& teller = nodes[random.below(5)];
        auto const told = teller.ages(now);
        now += static_cast<Microseconds>(random.below(20'000));
        nodes[random.below(5)].take(told, now);
    }
    for (auto& node : nodes) {
        REQUIRE(node.by_model["m"].superseded_at(1));
        CHECK(*node.by_model["m"].superseded_at(1) >= named_at);
        CHECK(*node.by_model["m"].superseded_at(1) <= named_at + one_second);
    }
}

TEST_CASE("an impossible age is clamped, and first versions are never targets") {
    auto node = VersionHistory();
    node.take({{"m", {{2, -5}, {3, 1'000'000 * one_second}, {1, 5}, {0, 5}, {-4, 5}}}}, named_at);
    CHECK(node.by_model["m"].at.size() == 2);
    CHECK(node.by_model["m"].at[2] == named_at);
    CHECK(node.by_model["m"].at[3] == named_at - VersionHistory::longest_age);
    CHECK(*node.by_model["m"].superseded_at(1) == named_at - VersionHistory::longest_age);
    node.learn("[]", named_at);
    node.learn("{", named_at);
    node.learn(R"({"m":1,"n":"2"})", named_at);
    CHECK(node.ages(named_at).size() == 1);
}

TEST_CASE("other nodes are asked each second for a while after a new version, and not otherwise") {
    auto node = VersionHistory();
    CHECK_FALSE(node.ask_due(named_at));
    auto const asked_in = [&](Microseconds from, Microseconds length) {
        auto count = 0;
        for (auto now = from; now < from + length; now += 50 * one_millisecond) count += node.ask_due(now) ? 1 : 0;
        return count;
    };
    node.learn(R"({"m":2})", named_at);
    CHECK(node.ask_due(named_at));
    CHECK(asked_in(named_at, 60 * one_second) == 4);
    node.learn(R"({"m":2})", named_at + 60 * one_second);
    CHECK(asked_in(named_at + 60 * one_second, 10 * one_second) == 0);
    node.learn(R"({"m":3})", named_at + 70 * one_second);
    CHECK(asked_in(named_at + 70 * one_second, 60 * one_second) == 5);
}

TEST_CASE("a version reported before the document has it is new to the node, and others are asked") {
    auto node = VersionHistory();
    node.take({{"m", {{3, 100 * one_millisecond}}}}, named_at);
    node.learn(R"({"m":3})", named_at + one_millisecond);
    CHECK(node.ask_due(named_at + one_millisecond));
    node.take({{"m", {{2, one_second}, {3, one_second}}}}, named_at + 20 * one_second);
    CHECK_FALSE(node.ask_due(named_at + 20 * one_second));  // older versions are not new
}

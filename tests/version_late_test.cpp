// Older weights near the end of the time in which named ones serve everywhere.
// docs/platform.md section 8, docs/design.md section 11.
#include <catch2/catch.hpp>

#include "control/weights_guard.hpp"

using namespace dockrock;

namespace {

auto const known_at = 100 * one_second;

auto guard_of_twelve_seconds() -> WeightsGuard {
    auto guard = WeightsGuard();
    guard.bound = 12 * one_second;
    return guard;
}

}  // namespace

TEST_CASE("near the bound of named weights, replicas of older ones get nothing new") {
    auto guard = guard_of_twelve_seconds();
    CHECK_FALSE(guard.is_overdue("m", 1, known_at + 11 * one_second));  // nothing known since when
    guard.take_targets({{"m", 2}}, known_at);
    CHECK_FALSE(guard.is_overdue("m", 1, known_at + 9 * one_second));
    CHECK(guard.is_overdue("m", 1, known_at + 10 * one_second));
    CHECK(guard.is_overdue("m", 1, known_at + 60 * one_second));
    CHECK_FALSE(guard.is_overdue("m", 2, known_at + 60 * one_second));
    CHECK_FALSE(guard.is_overdue("other", 1, known_at + 60 * one_second));
}

TEST_CASE("a version named later gives older weights no more time") {
    auto guard = guard_of_twelve_seconds();
    guard.take_targets({{"m", 2}}, known_at);
    guard.take_targets({{"m", 3}}, known_at + 5 * one_second);
    CHECK_FALSE(guard.is_overdue("m", 1, known_at + 9 * one_second));
    CHECK(guard.is_overdue("m", 1, known_at + 10 * one_second));
    CHECK_FALSE(guard.is_overdue("m", 2, known_at + 14 * one_second));
    CHECK(guard.is_overdue("m", 2, known_at + 15 * one_second));
}

TEST_CASE("a replica that is withheld is told of once, and again after it got something in between") {
    auto guard = guard_of_twelve_seconds();
    CHECK_FALSE(guard.withhold("a", false));
    CHECK(guard.withhold("a", true));
    CHECK_FALSE(guard.withhold("a", true));
    CHECK(guard.withhold("b", true));
    guard.forget_others({{"a", {}}});
    CHECK(guard.withheld == std::set<std::string>{"a"});
    CHECK_FALSE(guard.withhold("a", false));
    CHECK(guard.withhold("a", true));
}

TEST_CASE("a node judges its replicas anew at the very moment when the next one's weights get late") {
    auto guard = guard_of_twelve_seconds();
    guard.take_targets({{"m", 2}}, known_at);
    guard.take_targets({{"m", 3}}, known_at + 2 * one_second);
    auto const overdue_at = known_at + guard.bound - weights_margin;
    auto const replicas = WeightsWords{{"a", {{{"m", 1}}}}, {"b", {{{"m", 2}}}}, {"c", {{{"m", 3}}}}};
    guard.plan_judging(replicas, known_at + 3 * one_second);
    CHECK(guard.judge_at == overdue_at);
    guard.plan_judging(replicas, overdue_at);
    CHECK(guard.judge_at == overdue_at + 2 * one_second);
    guard.plan_judging(replicas, overdue_at + 2 * one_second);
    CHECK(guard.judge_at == WeightsGuard::never);
    guard.bound = 0;
    guard.plan_judging(replicas, known_at);
    CHECK(guard.judge_at == WeightsGuard::never);
}

TEST_CASE("what was named is waited for after a start, for models with weights and for a while") {
    auto guard = guard_of_twelve_seconds();
    CHECK(guard.unjudged("m", 3, known_at));
    CHECK(guard.unjudged("m", 3, known_at + 2 * one_second));
    CHECK_FALSE(guard.unjudged("m", 3, known_at + WeightsGuard::patience));
    CHECK(guard.unjudged("n", 4, known_at));
    guard.heard[4] = true;
    CHECK_FALSE(guard.unjudged("n", 4, known_at));
}

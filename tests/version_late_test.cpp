// Replicas with older weights near the deadline by which target weights serve everywhere.
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

TEST_CASE("near the bound of target weights, replicas with older ones get no new requests") {
    auto guard = guard_of_twelve_seconds();
    CHECK_FALSE(guard.is_overdue("m", 1, known_at + 11 * one_second));  // no target known yet
    guard.learn_targets({{"m", 2}}, known_at);
    CHECK_FALSE(guard.is_overdue("m", 1, known_at + 9 * one_second));
    CHECK(guard.is_overdue("m", 1, known_at + 10 * one_second));
    CHECK(guard.is_overdue("m", 1, known_at + 60 * one_second));
    CHECK_FALSE(guard.is_overdue("m", 2, known_at + 60 * one_second));
    CHECK_FALSE(guard.is_overdue("other", 1, known_at + 60 * one_second));
}

TEST_CASE("a later target version does not extend the time of older weights") {
    auto guard = guard_of_twelve_seconds();
    guard.learn_targets({{"m", 2}}, known_at);
    guard.learn_targets({{"m", 3}}, known_at + 5 * one_second);
    CHECK_FALSE(guard.is_overdue("m", 1, known_at + 9 * one_second));
    CHECK(guard.is_overdue("m", 1, known_at + 10 * one_second));
    CHECK_FALSE(guard.is_overdue("m", 2, known_at + 14 * one_second));
    CHECK(guard.is_overdue("m", 2, known_at + 15 * one_second));
}

TEST_CASE("a withheld replica is reported once, and again after it was released in between") {
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

TEST_CASE("a node checks its replicas again at the moment when the next one becomes overdue") {
    auto guard = guard_of_twelve_seconds();
    guard.learn_targets({{"m", 2}}, known_at);
    guard.learn_targets({{"m", 3}}, known_at + 2 * one_second);
    auto const overdue_at = known_at + guard.bound - weights_margin;
    auto const replicas = WeightsStates{{"a", {{{"m", 1}}}}, {"b", {{{"m", 2}}}}, {"c", {{{"m", 3}}}}};
    guard.schedule_check(replicas, known_at + 3 * one_second);
    CHECK(guard.next_check_at == overdue_at);
    guard.schedule_check(replicas, overdue_at);
    CHECK(guard.next_check_at == overdue_at + 2 * one_second);
    guard.schedule_check(replicas, overdue_at + 2 * one_second);
    CHECK(guard.next_check_at == WeightsGuard::never);
    guard.bound = 0;
    guard.schedule_check(replicas, known_at);
    CHECK(guard.next_check_at == WeightsGuard::never);
}

TEST_CASE("after a start, a node waits a limited time for the target versions of models with weights") {
    auto guard = guard_of_twelve_seconds();
    CHECK(guard.target_pending("m", 3, known_at));
    CHECK(guard.target_pending("m", 3, known_at + 2 * one_second));
    CHECK_FALSE(guard.target_pending("m", 3, known_at + WeightsGuard::startup_wait));
    CHECK(guard.target_pending("n", 4, known_at));
    guard.proven[4] = true;
    CHECK_FALSE(guard.target_pending("n", 4, known_at));
}

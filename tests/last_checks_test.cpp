#include <catch2/catch.hpp>

#include "process/clock.hpp"
#include "process/node.hpp"

using namespace dockrock;

// Design 8.3: the final checks must accept every proof age that the scheduler accepts. Otherwise a request cycles
// between the two, and nothing else gets processor time.
TEST_CASE("the final checks use the same proof limit as the scheduler", "[course]") {
    auto form = RelayForm();
    auto node = std::make_unique<Node>();
    node->form = &form;
    node->settings.bounds.revoke = 5 * one_second;
    node->take_limits();
    auto fresh = std::make_shared<Snapshot>();
    fresh->rules = std::make_shared<Rules>();
    fresh->list.replicas.push_back({"replica", "127.0.0.1:1", "model", "area", 4, 1'000});
    node->snapshot = fresh;
    node->table.granting.burden.take_list(fresh->list);
    node->table.granting.burden.take_weights("replica", "", false);
    auto const now = clock_now();
    node->proven_at = now - 3 * one_second;  // older than the product's own limit
    auto course = Course();
    course.ticket.number = 1;
    course.ticket.body.model = "model";
    course.ticket.arrived_at = now;
    course.ticket.deadline = now + 10 * one_second;
    auto woken = false;
    node->table.enter(
        course.ticket, std::nullopt, [&] { woken = true; }, now, node->proof_age(now));
    REQUIRE(woken);
    auto const entry = node->table.leave(1);
    REQUIRE(entry.placement);
    auto const facts = node->facts_for(entry.placement->replica);
    CHECK(facts.proof_limit == node->table.granting.proof_limit);
    CHECK(facts.listed);
    CHECK(course.placed(*entry.placement, facts).step == Step::send);
}

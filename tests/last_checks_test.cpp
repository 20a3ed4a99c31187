#include <catch2/catch.hpp>

#include "process/clock.hpp"
#include "process/node.hpp"

using namespace dockrock;

// Design 8.3: the checks before sending accept every request that scheduling may grant under a proof.
// Otherwise a request loops between the two and takes all processor time.
TEST_CASE("the checks before sending use the same proof limit as scheduling", "[course]") {
    auto protocol = WireProtocol();
    auto node = std::make_unique<Node>();
    node->protocol = &protocol;
    node->settings.bounds.revoke = 5 * one_second;
    node->take_limits();
    auto fresh = std::make_shared<Snapshot>();
    fresh->rules = std::make_shared<Rules>();
    fresh->list.replicas.push_back({"replica", "127.0.0.1:1", "model", "area", 4, 1'000});
    node->snapshot = fresh;
    node->table.scheduler.load_table.take_list(fresh->list);
    node->table.scheduler.load_table.take_weights("replica", "", false);
    auto const now = clock_now();
    node->proven_at = now - 3 * one_second;  // older than the default limit
    auto lifecycle = RequestLifecycle();
    lifecycle.inference.number = 1;
    lifecycle.inference.body.model = "model";
    lifecycle.inference.arrived_at = now;
    lifecycle.inference.deadline = now + 10 * one_second;
    auto woken = false;
    node->table.enqueue(
        lifecycle.inference, std::nullopt, [&] { woken = true; }, now, node->proof_age(now));
    REQUIRE(woken);
    auto const entry = node->table.leave(1);
    REQUIRE(entry.placement);
    auto const facts = node->lifecycle_facts(entry.placement->replica);
    CHECK(facts.proof_limit == node->table.scheduler.proof_limit);
    CHECK(facts.listed);
    CHECK(lifecycle.placed(*entry.placement, facts).step == Step::send);
}

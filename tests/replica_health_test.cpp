// Replicas that fail are left out for a while. docs/design.md section 9.11.
#include "scheduling/replica_health.hpp"

#include "helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

TEST_CASE("a replica that fails a fourth of its tries is left out, longer each time, and forgiven once it is well") {
    auto health = ReplicaHealth();
    CHECK_FALSE(health.judge({2, 2}, 0));   // too few to tell
    CHECK_FALSE(health.judge({13, 3}, 0));  // under a fourth
    CHECK(health.judge({12, 3}, 0));
    CHECK_FALSE(health.usable(3 * one_second));
    CHECK(health.usable(4 * one_second));
    CHECK(health.judge({5, 5}, 4 * one_second));
    CHECK_FALSE(health.usable(11 * one_second));
    CHECK(health.usable(12 * one_second));
    health.judge({5, 0}, 12 * one_second);
    CHECK(health.judge({5, 5}, 13 * one_second));
    CHECK(health.usable(17 * one_second));
}

TEST_CASE("outcomes of all nodes are told and leave a failing replica out everywhere; where all fail, all are used") {
    auto teller = make_granting(2);
    teller.load_table.self = "teller";
    for (auto count = 0; count < 3; ++count) teller.load_table.ended("r0", true, 10);
    auto hearer = make_granting(2);
    auto options = hearer.options;
    options.eject_failing = true;
    hearer.set_options(options);
    hearer.load_table.take_digest("teller", 1, teller.load_table.make_digest(20), 20);
    CHECK(hearer.load_table.check(hearer.load_table.replicas.at("r0"), make_inference(1), 30) == Filter::failing);
    for (auto number = std::uint64_t{1}; number <= 4; ++number) {
        enqueue(hearer, make_inference(number), 30);
        CHECK(schedule(hearer, 30).placements.at(0).replica == "r1");
    }
    for (auto count = 0; count < 3; ++count) teller.load_table.ended("r1", true, 40);
    hearer.load_table.take_digest("teller", 2, teller.load_table.make_digest(50), 50);
    enqueue(hearer, make_inference(9), 60);
    CHECK(schedule(hearer, 60).placements.size() == 1);
    // Outcomes past their window are told no more.
    CHECK(teller.load_table.make_digest(10 * one_second) == "{}");
}

// Ejection of failing replicas. docs/design.md section 9.11.
#include "scheduling/replica_health.hpp"

#include "helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

TEST_CASE("a replica that fails a fourth of its tries is ejected, longer each time, until it has recovered") {
    auto health = ReplicaHealth();
    CHECK_FALSE(health.update({2, 2}, 0));   // too few failures
    CHECK_FALSE(health.update({13, 3}, 0));  // under a fourth
    CHECK(health.update({12, 3}, 0));
    CHECK_FALSE(health.usable(3 * one_second));
    CHECK(health.usable(4 * one_second));
    CHECK(health.update({5, 5}, 4 * one_second));
    CHECK_FALSE(health.usable(11 * one_second));
    CHECK(health.usable(12 * one_second));
    health.update({5, 0}, 12 * one_second);
    CHECK(health.update({5, 5}, 13 * one_second));
    CHECK(health.usable(17 * one_second));
}

TEST_CASE("nodes share outcomes and all eject a failing replica; if all replicas fail, all are used") {
    auto sender = make_scheduler(2);
    sender.load_table.self = "teller";
    for (auto count = 0; count < 3; ++count) sender.load_table.ended("r0", true, 10);
    auto receiver = make_scheduler(2);
    auto options = receiver.options;
    options.eject_failing = true;
    receiver.set_options(options);
    receiver.load_table.take_digest("teller", 1, sender.load_table.make_digest(20), 20);
    CHECK(receiver.load_table.check(receiver.load_table.replicas.at("r0"), make_inference(1), 30) == Filter::failing);
    for (auto number = std::uint64_t{1}; number <= 4; ++number) {
        enqueue(receiver, make_inference(number), 30);
        CHECK(schedule(receiver, 30).placements.at(0).replica == "r1");
    }
    for (auto count = 0; count < 3; ++count) sender.load_table.ended("r1", true, 40);
    receiver.load_table.take_digest("teller", 2, sender.load_table.make_digest(50), 50);
    enqueue(receiver, make_inference(9), 60);
    CHECK(schedule(receiver, 60).placements.size() == 1);
    // Outcomes older than the window are no longer reported.
    CHECK(sender.load_table.make_digest(10 * one_second) == "{}");
}

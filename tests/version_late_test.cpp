// Older weights near the end of the time in which named ones serve everywhere.
// docs/platform.md section 8, docs/design.md section 11.
#include <catch2/catch.hpp>

#include "process/node.hpp"

using namespace dockrock;

TEST_CASE("near the bound of named weights, replicas of older ones get nothing new") {
    auto const node = std::make_unique<Node>();
    node->settings.bounds.weights = 12 * one_second;
    Snapshot fresh;
    fresh.target_versions["m"] = 2;
    auto const known_at = 100 * one_second;
    CHECK_FALSE(node->version_late(fresh, "m", 1, known_at + 11 * one_second));  // nothing known since when
    node->targets_known["m"] = {2, known_at};
    CHECK_FALSE(node->version_late(fresh, "m", 1, known_at + 9 * one_second));
    CHECK(node->version_late(fresh, "m", 1, known_at + 10 * one_second));
    CHECK(node->version_late(fresh, "m", 1, known_at + 60 * one_second));
    CHECK_FALSE(node->version_late(fresh, "m", 2, known_at + 60 * one_second));
    CHECK_FALSE(node->version_late(fresh, "other", 1, known_at + 60 * one_second));
}

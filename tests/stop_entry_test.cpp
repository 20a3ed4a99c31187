// How long a stopping node accepts requests. docs/design.md section 13.
#include <catch2/catch.hpp>

#include "process/settings.hpp"

using namespace dockrock;

TEST_CASE("a stopping node accepts requests only for a limited time, so that none exceeds its stop limit") {
    auto const began = 100 * one_second;
    CHECK(stop_admission_end(began, began + 7 * one_second) == began + longest_stop_admission);
    CHECK(stop_admission_end(began, began + 20 * one_second) == began + longest_stop_admission);
    CHECK(stop_admission_end(began, began + 2 * one_second) == began + one_second);
    CHECK(stop_admission_end(began, began) == began);
}

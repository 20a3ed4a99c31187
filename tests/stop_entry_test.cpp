// Until when a stopping node admits requests. docs/design.md section 13.
#include <catch2/catch.hpp>

#include "process/settings.hpp"

using namespace dockrock;

TEST_CASE("a stopping node takes requests for a while only, so that none outlasts its stop limit") {
    auto const began = 100 * one_second;
    CHECK(stop_entry_end(began, began + 7 * one_second) == began + longest_stop_entry);
    CHECK(stop_entry_end(began, began + 20 * one_second) == began + longest_stop_entry);
    CHECK(stop_entry_end(began, began + 2 * one_second) == began + one_second);
    CHECK(stop_entry_end(began, began) == began);
}

// Runs the unit tests with the checks of invariants on: a violation fails its test, whatever the test looks at.
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "invariant_guard.hpp"

auto main(int argument_count, char** arguments) -> int {
    dockrock::testing::watch_invariants();
    auto const failed = Catch::Session().run(argument_count, arguments);
    auto const elsewhere = dockrock::testing::violations_elsewhere();
    if (elsewhere > 0) std::cerr << elsewhere << " violations of invariants on other threads than the tests'\n";
    return failed != 0 ? failed : elsewhere > 0 ? 1 : 0;
}

#pragma once
// A violated invariant fails the test in which it happens, unless the test declares it as expected.
#include <initializer_list>
#include <vector>

#include "base/invariants.hpp"

namespace dockrock::testing {

// While an instance exists, the given invariants may be violated; each must be at least once.
struct ExpectedViolations {
    std::vector<std::pair<Invariant, std::uint64_t>> before;
    ExpectedViolations(std::initializer_list<Invariant> expected);
    ExpectedViolations(ExpectedViolations const&) = delete;
    ~ExpectedViolations();
};

// Starts to report violations. Those on the calling thread fail the running test at once, through Catch.
auto watch_invariants() -> void;
// The number of violations on other threads; the first ones are printed with their test.
auto violations_elsewhere() -> std::size_t;

}  // namespace dockrock::testing

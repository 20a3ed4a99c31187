#pragma once
// In all tests a violated invariant fails the test that meets it, unless the test plants it and says so.
#include <initializer_list>
#include <vector>

#include "base/invariants.hpp"

namespace dockrock::testing {

// While it lives these may be violated, and each must be.
struct ExpectedViolations {
    std::vector<std::pair<Invariant, std::uint64_t>> before;
    ExpectedViolations(std::initializer_list<Invariant> expected);
    ExpectedViolations(ExpectedViolations const&) = delete;
    ~ExpectedViolations();
};

// From here on violations are judged; by the thread that calls this, where Catch can be told at once.
auto watch_invariants() -> void;
// Of those that other threads met; each is printed with its test.
auto violations_elsewhere() -> std::size_t;

}  // namespace dockrock::testing

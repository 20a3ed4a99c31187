#include "invariant_guard.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <iostream>
#include <mutex>
#include <thread>

namespace dockrock::testing {

namespace {

std::array<std::atomic<int>, invariant_count> expecting{};
std::atomic<std::size_t> elsewhere{0};
std::thread::id judging;
std::mutex printing;

auto expecting_of(Invariant which) -> std::atomic<int>& { return expecting[static_cast<std::size_t>(which)]; }

auto met(Invariant which, InvariantFacts facts) -> void {
    if (expecting_of(which) > 0) return;
    auto const told = "invariant violated: " + invariants::describe(which, facts);
    if (std::this_thread::get_id() == judging) {
        FAIL_CHECK(told);
        return;
    }
    auto const guard = std::lock_guard(printing);
    if (++elsewhere < 10) std::cerr << Catch::getResultCapture().getCurrentTestName() << ": " << told << std::endl;
}

}  // namespace

ExpectedViolations::ExpectedViolations(std::initializer_list<Invariant> expected) {
    for (auto const which : expected) {
        before.emplace_back(which, invariants::count(which));
        ++expecting_of(which);
    }
}

ExpectedViolations::~ExpectedViolations() {
    for (auto const& [which, count] : before) {
        --expecting_of(which);
        INFO("expected: " << name_of(which));
        CHECK(invariants::count(which) > count);
    }
}

auto watch_invariants() -> void {
    judging = std::this_thread::get_id();
    invariants::set_sink(met);
}

auto violations_elsewhere() -> std::size_t { return elsewhere; }

}  // namespace dockrock::testing

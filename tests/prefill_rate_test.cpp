// Estimating the prefill rate from streams. docs/design.md section 9.10.
#include "scheduling/prefill_rate.hpp"

#include <catch2/catch.hpp>

using namespace dockrock;

namespace {

constexpr auto first_step = 90 * one_millisecond;

// Adds samples of a replica that prefills `speed` tokens a second, with random unreported waiting times.
auto feed(PrefillRate& rate, double speed, int samples, std::uint64_t& noise) -> void {
    for (auto count = 0; count < samples; ++count) {
        noise = noise * 6'364'136'223'846'793'005ULL + 1'442'695'040'888'963'407ULL;
        auto const tokens = static_cast<std::int64_t>(500 + (noise >> 33U) % 15'000);
        auto const waited = static_cast<Microseconds>((noise >> 20U) % (20 * one_millisecond));
        auto const reading = static_cast<Microseconds>(static_cast<double>(tokens) / speed * 1e6);
        rate.add(tokens, first_step + reading + waited);
    }
}

}  // namespace

TEST_CASE("there is no estimate of the prefill rate without enough samples of different lengths") {
    auto rate = PrefillRate();
    CHECK_FALSE(rate.observed());
    for (auto count = 0; count < 100; ++count) rate.add(1'000, 200 * one_millisecond);
    CHECK_FALSE(rate.observed());  // prompts of equal length give no slope
    rate.add(-5, 100);
    rate.add(5, 0);
    CHECK_FALSE(rate.observed());
}

TEST_CASE("the prefill rate converges within twenty samples, and again after the speed changes") {
    auto noise = std::uint64_t{7};
    for (auto const speed : {20'000.0, 56'000.0, 157'000.0}) {
        auto rate = PrefillRate();
        feed(rate, speed, 20, noise);
        REQUIRE(rate.observed());
        CHECK(*rate.observed() == Approx(speed).epsilon(0.2));
        feed(rate, speed / 3.0, 150, noise);
        REQUIRE(rate.observed());
        CHECK(*rate.observed() == Approx(speed / 3.0).epsilon(0.2));
    }
}

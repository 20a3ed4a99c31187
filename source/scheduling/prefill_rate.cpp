#include "scheduling/prefill_rate.hpp"

namespace dockrock {

auto PrefillRate::add(std::int64_t tokens, Microseconds took) -> void {
    if (tokens < 0 || took <= 0) return;
    auto const seconds = static_cast<double>(took) / static_cast<double>(one_second);
    auto const amount = static_cast<double>(tokens);
    weight = weight * decay + 1.0;
    sum_tokens = sum_tokens * decay + amount;
    sum_seconds = sum_seconds * decay + seconds;
    sum_squares = sum_squares * decay + amount * amount;
    sum_products = sum_products * decay + amount * seconds;
    estimate();
}

auto PrefillRate::estimate() -> void {
    rate = 0.0;
    if (weight < min_samples) return;
    auto const mean = sum_tokens / weight;
    auto const variance = sum_squares / weight - mean * mean;
    if (variance < min_spread * min_spread) return;
    auto const covariance = sum_products / weight - mean * (sum_seconds / weight);
    if (covariance <= 0.0) return;
    auto const slope = variance / covariance;
    if (slope >= min_rate && slope <= max_rate) rate = slope;
}

auto PrefillRate::observed() const -> std::optional<double> { return rate > 0.0 ? std::optional(rate) : std::nullopt; }

}  // namespace dockrock

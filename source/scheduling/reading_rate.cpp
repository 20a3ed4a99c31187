#include "scheduling/reading_rate.hpp"

namespace dockrock {

auto ReadingRate::add(std::int64_t tokens, Microseconds took) -> void {
    if (tokens < 0 || took <= 0) return;
    auto const seconds = static_cast<double>(took) / static_cast<double>(one_second);
    auto const amount = static_cast<double>(tokens);
    weight = weight * forgetting + 1.0;
    sum_tokens = sum_tokens * forgetting + amount;
    sum_seconds = sum_seconds * forgetting + seconds;
    sum_squares = sum_squares * forgetting + amount * amount;
    sum_products = sum_products * forgetting + amount * seconds;
    estimate();
}

auto ReadingRate::estimate() -> void {
    rate = 0.0;
    if (weight < least_samples) return;
    auto const mean = sum_tokens / weight;
    auto const variance = sum_squares / weight - mean * mean;
    if (variance < least_spread * least_spread) return;
    auto const covariance = sum_products / weight - mean * (sum_seconds / weight);
    if (covariance <= 0.0) return;
    auto const slope = variance / covariance;
    if (slope >= least_rate && slope <= most_rate) rate = slope;
}

auto ReadingRate::observed() const -> std::optional<double> { return rate > 0.0 ? std::optional(rate) : std::nullopt; }

}  // namespace dockrock

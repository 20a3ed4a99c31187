#pragma once
// How fast the replicas of a service read prompts, estimated from what streams show: a straight line
// through times to the first token by tokens read, older samples counting less. docs/design.md section 9.10.
#include <cstdint>
#include <optional>

#include "base/basics.hpp"

namespace dockrock {

struct ReadingRate {
    static constexpr double forgetting = 0.98;  // weight of a sample after the next one: about 50 count
    static constexpr double least_samples = 12.0;
    static constexpr double least_rate = 1e3;  // tokens a second; outside these a line says nothing
    static constexpr double most_rate = 1e7;
    static constexpr double least_spread = 500.0;  // tokens, standard deviation: alike prompts give no slope

    // `tokens` were read before the first token came, `took` after the request was sent.
    auto add(std::int64_t tokens, Microseconds took) -> void;
    // Tokens a second; nothing where the samples are few, alike or give no sensible line.
    auto observed() const -> std::optional<double>;

   private:
    auto estimate() -> void;
    double weight = 0.0;
    double sum_tokens = 0.0;
    double sum_seconds = 0.0;
    double sum_squares = 0.0;
    double sum_products = 0.0;
    double rate = 0.0;  // 0: not observed
};

}  // namespace dockrock

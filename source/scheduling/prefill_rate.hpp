#pragma once
// Estimate of a service's prefill rate from its streams: a linear regression of the time to the first token over
// the tokens prefilled, with exponentially decaying weights. docs/design.md section 9.10.
#include <cstdint>
#include <optional>

#include "base/basics.hpp"

namespace dockrock {

struct PrefillRate {
    static constexpr double decay = 0.98;  // decay of the weights with each sample: about 50 samples count
    static constexpr double min_samples = 12.0;
    static constexpr double min_rate = 1e3;  // tokens a second; a slope outside of these is not used
    static constexpr double max_rate = 1e7;
    static constexpr double min_spread = 500.0;  // standard deviation, tokens: similar prompts give no reliable slope

    // Adds a sample: `tokens` were prefilled and the first token came `took` after the request was sent.
    auto add(std::int64_t tokens, Microseconds took) -> void;
    // Tokens a second; nullopt if the samples are too few, too similar or give no plausible slope.
    auto observed() const -> std::optional<double>;

   private:
    auto estimate() -> void;
    double weight = 0.0;
    double sum_tokens = 0.0;
    double sum_seconds = 0.0;
    double sum_squares = 0.0;
    double sum_products = 0.0;
    double rate = 0.0;  // 0: no estimate
};

}  // namespace dockrock

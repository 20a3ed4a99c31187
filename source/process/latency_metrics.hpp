#pragma once
// Latency histograms in Prometheus format: cumulative buckets in seconds.
// docs/operators.md.
#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <string>

#include "ticket/inference_request.hpp"

namespace dockrock {

struct Histogram {
    static constexpr auto bounds = std::to_array<Microseconds>(
        {1'000, 2'500, 5'000, 10'000, 25'000, 50'000, 100'000, 250'000, 500'000, 1'000'000, 2'500'000, 5'000'000,
         10'000'000});
    std::array<std::atomic<std::uint64_t>, bounds.size() + 1> counts{};
    std::atomic<std::uint64_t> sum{0};

    auto add(Microseconds value) -> void;
    auto write(std::string& text, std::string const& name, std::string const& labels) const -> void;
};

struct LatencyMetrics {
    Histogram claim;     // from requesting a claim to its answer
    Histogram sync;      // one disk operation, with its syncs
    Histogram in_force;  // from the request for a change to its acknowledgement, at the node that received it
    struct Labelled {    // by kind and rank
        std::mutex lock;
        std::map<std::pair<std::string, int>, std::unique_ptr<Histogram>> by_label;
        auto of(InferenceRequest const& inference) -> Histogram&;
        auto write(std::string& text, std::string const& name) -> void;
    };
    Labelled first_pieces, whole_answers, waits;

    auto waiting(InferenceRequest const& inference) -> Histogram& { return waits.of(inference); }
    auto write(std::string& text) -> void;
};

// Invariant violations of this process: written to the log, as metrics, and for `status`.
auto log_violations() -> void;
auto write_violations(std::string& text) -> void;
auto violations_object() -> json::object;

}  // namespace dockrock

#pragma once
// Histograms of what callers and operators wait for, in the custom of
// Prometheus: cumulative buckets in seconds. docs/operators.md.
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
    Histogram claim;     // from asking for a claim to its answer
    Histogram sync;      // one write and sync of the disk
    Histogram in_force;  // from asking to an acknowledged change, at the node that was asked
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

// Violated invariants of this process: to the log, as metrics, and for `status`.
auto log_violations() -> void;
auto write_violations(std::string& text) -> void;
auto violations_object() -> json::object;

}  // namespace dockrock

#include "process/latency_metrics.hpp"

#include <cstdio>

namespace dockrock {

namespace {
constexpr auto most_labels = std::size_t{128};

auto seconds_text(Microseconds value) -> std::string {
    auto text = std::array<char, 32>{};
    std::snprintf(text.data(), text.size(), "%.6g", static_cast<double>(value) / 1'000'000.0);
    return text.data();
}
}  // namespace

auto Histogram::add(Microseconds value) -> void {
    auto place = std::size_t{0};
    while (place < bounds.size() && value > bounds[place]) ++place;
    ++counts[place];
    sum += static_cast<std::uint64_t>(std::max<Microseconds>(0, value));
}

auto Histogram::write(std::string& text, std::string const& name, std::string const& labels) const -> void {
    auto const whole = "dockrock_" + name;
    auto const comma = labels.empty() ? "" : ",";
    auto const braces = labels.empty() ? std::string() : "{" + labels + "}";
    auto total = std::uint64_t{0};
    for (auto place = std::size_t{0}; place < counts.size(); ++place) {
        total += counts[place];
        auto const bound = place < bounds.size() ? seconds_text(bounds[place]) : std::string("+Inf");
        text += whole + "_bucket{" + labels + comma + "le=\"" + bound + "\"} " + std::to_string(total) + "\n";
    }
    text += whole + "_sum" + braces + " " + seconds_text(static_cast<Microseconds>(sum.load())) + "\n";
    text += whole + "_count" + braces + " " + std::to_string(total) + "\n";
}

auto LatencyMetrics::Labelled::of(InferenceRequest const& inference) -> Histogram& {
    auto const guard = std::lock_guard(lock);
    auto const full = by_label.size() >= most_labels;
    auto const label = full ? std::pair(std::string("other"), 0) : std::pair(inference.body.kind, inference.rank);
    auto& found = by_label[label];
    if (!found) found = std::make_unique<Histogram>();
    return *found;
}

auto LatencyMetrics::Labelled::write(std::string& text, std::string const& name) -> void {
    auto const guard = std::lock_guard(lock);
    if (!by_label.empty()) text += "# TYPE dockrock_" + name + " histogram\n";
    for (auto const& [label, histogram] : by_label)
        histogram->write(text, name, "kind=\"" + label.first + "\",rank=\"" + std::to_string(label.second) + "\"");
}

auto LatencyMetrics::write(std::string& text) -> void {
    for (auto const& [name, histogram] :
         {std::pair("claim_seconds", &claim), std::pair("sync_seconds", &sync),
          std::pair("change_seconds", &in_force)}) {
        text += std::string("# TYPE dockrock_") + name + " histogram\n";
        histogram->write(text, name, "");
    }
    first_pieces.write(text, "first_piece_seconds");
    whole_answers.write(text, "answer_seconds");
    waits.write(text, "waiting_seconds");
    write_violations(text);
}

}  // namespace dockrock

#include "process/update_metrics.hpp"

#include "process/log.hpp"

namespace dockrock {

namespace {
constexpr Microseconds refusal_log_interval = 200 * one_millisecond;
}  // namespace

auto UpdateMetrics::take(UpdateCounts const& counts, std::vector<UpdateNote> const& notes) -> void {
    asked = counts.asked;
    unanswered = counts.unanswered;
    late = counts.late;
    unknown = counts.unknown;
    latest = counts.latest;
    for (auto const& note : notes) {
        auto const level = note.partition == configuration_partition ? Level::information : Level::debug;
        write_log(
            level, note.late ? "news-late" : "news-unanswered",
            fields(
                "partition", std::string(partition_names[static_cast<std::size_t>(note.partition)]), "whom", note.whom,
                "age_microseconds", note.age));
    }
}

auto UpdateMetrics::refused(int status, Sequence const& sequence, Microseconds proof_age, Microseconds now) -> void {
    ++refusals;
    if (proof_age > oldest_refusal) oldest_refusal = proof_age;
    auto logged = refusal_logged.load();
    if (now - logged < refusal_log_interval || !refusal_logged.compare_exchange_strong(logged, now)) return;
    write_log(
        Level::information, "refused-by-rules",
        fields("status", status, "sequence", etag_of(sequence), "proof_age_microseconds", proof_age));
}

auto UpdateMetrics::write(std::string& text) const -> void {
    auto const line = [&](std::string const& name, auto value) {
        text += "dockrock_" + name + " " + std::to_string(value) + "\n";
    };
    line("news_asked_total", asked.load());
    line("news_unanswered_total", unanswered.load());
    line("news_late_total", late.load());
    line("news_unknown_total", unknown.load());
    line("news_latest_microseconds", latest.load());
    line("refused_by_rules_total", refusals.load());
    line("refused_by_rules_oldest_proof_microseconds", oldest_refusal.load());
}

}  // namespace dockrock

// Applies settings to the node: limits derived from the fleet's bounds, and reloads
// while it runs. docs/design.md sections 8.3, 10.4 and 13.
#include "process/clock.hpp"
#include "process/log.hpp"
#include "process/node.hpp"

namespace dockrock {

namespace {
constexpr Microseconds look_interval = 2 * one_second;

auto time_of(std::string const& file) -> std::filesystem::file_time_type {
    std::error_code failure;
    auto const time = std::filesystem::last_write_time(file, failure);
    return failure ? std::filesystem::file_time_type() : time;
}
}  // namespace

// Called before the worker threads run and the first frame is read.
auto Node::take_limits() -> void {
    auto const shares = node_shares(limits, process_use());
    message_memory.set_limit(shares.message_memory);
    most_client_connections = shares.client_connections;
    auto const& bounds = settings.bounds;
    auto& scheduler = table.scheduler;
    scheduler.budget.each_request = bounds.retry_ratio;
    scheduler.budget.available = scheduler.budget.capacity = most_extra_tries(bounds);
    if (protocol != nullptr) {  // the product's own wire protocol keeps its tighter limits
        auto const limits = proof_limits_of(bounds);
        scheduler.proof_limit = control.times.proof_limit = limits.entry;
        scheduler.proof_shed_limit = control.times.shed_limit = limits.shed;
        limit_calls(control.times);
    }
    if (!settings_file.empty()) settings_time = time_of(settings_file);
    settings_polled_at = clock_now();
}

// Reloads when the settings file changes, as a change may come without a signal.
auto Node::poll_settings_file(Microseconds now) -> void {
    if (settings_file.empty() || now - settings_polled_at < look_interval) return;
    settings_polled_at = now;
    auto const time = time_of(settings_file);
    if (time == settings_time) return;
    settings_time = time;
    in_control([this] { reload(); });
}

// Runs in control_work. Applies the log level and the seeds; other settings take effect
// at the next start. Settings with problems change nothing.
auto Node::reload() -> void {
    if (!reread) return;
    auto fresh = NodeSettings();
    auto const problems = reread(fresh);
    for (auto const& problem : problems)
        write_log(Level::warning, "settings-not-taken", fields("path", problem.path, "problem", problem.what));
    if (!problems.empty()) return;
    set_log_level(level_of(fresh.log_level));
    write_log(Level::information, "settings-taken", fields("seeds", write_json(fresh.seeds)));
    control.membership.seeds = std::move(fresh.seeds);
}

}  // namespace dockrock

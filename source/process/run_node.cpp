#include "process/run_node.hpp"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "process/fatal_signals.hpp"
#include "process/footprint.hpp"
#include "process/log.hpp"

namespace dockrock {

namespace {

enum class ExitStatus : int { well = 0, not_started = 1, wrong_settings = 2, no_room = 3 };

// The terminate handler: writes the reason of an uncaught exception to standard error, whatever the log settings.
auto report_uncaught() -> void {
    try {
        if (auto const uncaught = std::current_exception()) std::rethrow_exception(uncaught);
        std::cerr << "dockrock ends: terminated without an exception\n";
    } catch (std::exception const& failure) {
        std::cerr << "dockrock ends: uncaught exception: " << failure.what() << "\n";
    } catch (...) { std::cerr << "dockrock ends: uncaught exception of an unknown type\n"; }
    std::cerr.flush();
    std::abort();
}

// Reports the reason of a failed start, with the machine's limits and the resources in use.
auto report_start_failure(std::string const& what, MachineLimits const& limits) -> void {
    auto const use = process_use();
    write_log(
        Level::failure, "start-failed", {{"what", what}, {"limits", write_limits(limits)}, {"in_use", write_use(use)}});
    std::cerr << "start failed: " << what << "; limits " << json::serialize(write_limits(limits)) << ", in use "
              << json::serialize(write_use(use)) << "\n";
}

// Durable state is synced by now, and the log flushed. Destructors are skipped, as they could wait for threads of
// libraries; the system releases the rest.
[[noreturn]] auto end_process(ExitStatus status) -> void {
    std::cout.flush();
    std::cerr.flush();
    std::_Exit(static_cast<int>(status));
}

}  // namespace

auto run_node(NodeProgram& program) -> int {
    limit_footprint();
    std::set_terminate(report_uncaught);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
    auto const node = std::make_unique<Node>();
    node->await_signals();
    NodeSettings settings;
    auto const problems = program.read(settings);
    for (auto const& problem : problems) std::cerr << problem.path << ": " << problem.what << "\n";
    if (!problems.empty()) end_process(ExitStatus::wrong_settings);
    if (program.check_only) {
        std::cout << "the settings are good\n";
        end_process(ExitStatus::well);
    }
    auto const& name = settings.node_name.empty() ? settings.http_address : settings.node_name;
    start_log(settings.log_file, name, level_of(settings.log_level));
    log_violations();
    auto const limits = machine_limits_of(settings);
    report_fatal_signals(limits);
    write_log(Level::information, "machine-limits", write_limits(limits));
    if (auto const missing = missing_for_start(limits); !missing.empty()) {
        report_start_failure(missing, limits);
        end_process(ExitStatus::no_room);
    }
    node->settings = settings;
    node->limits = limits;
    node->settings_file = program.settings_file;
    node->reread = program.read;
    node->protocol = program.protocol;
    auto const status = leaf::try_handle_all(
        [&]() -> leaf::result<ExitStatus> {
            if (auto started = node->start(); !started) {
                node->stop_disk();
                return started.error();
            }
            set_process_phase(ProcessPhase::running);
            node->run();
            return ExitStatus::well;
        },
        [](StartCancelled) {
            write_log(Level::information, "stopped", fields("effect", "told to end before it had started"));
            return ExitStatus::well;
        },
        [&](StartFailure const& failure) {
            report_start_failure(failure.what, limits);
            return ExitStatus::not_started;
        },
        [&](std::exception const& failure) {
            report_start_failure(failure.what(), limits);
            return ExitStatus::not_started;
        },
        [&] {
            report_start_failure("for a reason that is not known", limits);
            return ExitStatus::not_started;
        });
    end_process(status);
}

}  // namespace dockrock

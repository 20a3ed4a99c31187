#include "process/run_node.hpp"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "process/log.hpp"

namespace dockrock {

namespace {

// An exception that nobody catches ends the process; its reason goes to standard error, whatever the log is set to.
auto tell_uncaught() -> void {
    try {
        if (auto const uncaught = std::current_exception()) std::rethrow_exception(uncaught);
        std::cerr << "dockrock ends: terminated without an exception\n";
    } catch (std::exception const& failure) {
        std::cerr << "dockrock ends: uncaught exception: " << failure.what() << "\n";
    } catch (...) { std::cerr << "dockrock ends: uncaught exception of an unknown type\n"; }
    std::cerr.flush();
    std::abort();
}

// What has to last is synced by now, and the log flushed. The rest is left to the system: to take it down here could
// wait for a library's threads.
[[noreturn]] auto end_process(int status) -> void {
    std::cout.flush();
    std::cerr.flush();
    std::_Exit(status);
}

}  // namespace

auto run_node(NodeProgram& program) -> int {
    std::set_terminate(tell_uncaught);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN);  // until the node listens for it; it never ends one
    NodeSettings settings;
    auto const problems = program.read(settings);
    for (auto const& problem : problems) std::cerr << problem.path << ": " << problem.what << "\n";
    if (!problems.empty()) return 2;
    if (program.check_only) {
        std::cout << "the settings are good\n";
        return 0;
    }
    auto const& name = settings.node_name.empty() ? settings.http_address : settings.node_name;
    start_log(settings.log_file, name, level_of(settings.log_level));
    log_violations();
    auto const node = std::make_unique<Node>();
    node->settings = settings;
    node->settings_file = program.settings_file;
    node->reread = program.read;
    node->form = program.form;
    auto const status = leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            auto started = node->start();
            if (!started) {
                node->stop_disk();
                return started.error();
            }
            return node->run();
        },
        [](StartFailure const& failure) {
            write_log(Level::failure, "start-failed", {{"what", failure.what}});
            std::cerr << failure.what << "\n";
            return 1;
        },
        [] {
            std::cerr << "start failed\n";
            return 1;
        });
    end_process(status);
}

}  // namespace dockrock

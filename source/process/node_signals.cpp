// Signal handling, active from the start of the process. docs/design.md section 13.
#include "process/log.hpp"
#include "process/node.hpp"
#include "process/spawn.hpp"

namespace dockrock {

auto Node::await_signals() -> void {
    for (auto signal : {SIGTERM, SIGINT}) stop_signals.add(signal);
    reload_signals.add(SIGHUP);
    await_stop();
    await_reload();
}

// A stop signal during the start takes effect once the node runs, or cancels the wait for an address.
auto Node::await_stop() -> void {
    stop_signals.async_wait([this](auto failure, int signal) {
        if (failure) return;
        if (!running) stop_asked = true;
        else if (!stopping) begin_stop();
        else if (signal == SIGINT) std::_Exit(1);  // a second interrupt at a terminal ends the process at once
        else write_log(Level::information, "stopping-already", fields("open_tickets", open_inferences.load()));
        await_stop();
    });
}

auto Node::begin_stop() -> void {
    stopping = true;
    spawn_essential(context.get_executor(), stop_gracefully());
}

// Ignored during the start, which reads the settings anyway.
auto Node::await_reload() -> void {
    reload_signals.async_wait([this](auto failure, int) {
        if (failure) return;
        if (running) in_control([this] { reload(); });
        await_reload();
    });
}

}  // namespace dockrock

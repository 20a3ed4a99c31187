#pragma once
// A signal that ends the process at its own fault (an invalid access, an abort) leaves one line on standard error:
// which signal, what the process was doing, the memory that it may use and uses. docs/operators.md.
#include "process/machine_limits.hpp"

namespace dockrock {

// What the process is doing, as that line tells it.
enum class ProcessPhase : int { starting, running, stopping };
auto set_process_phase(ProcessPhase phase) -> void;

auto report_fatal_signals(MachineLimits const& limits) -> void;

}  // namespace dockrock

#pragma once
// On a fatal signal (an invalid memory access, an abort) the process writes one line to standard error: the signal,
// the phase of the process, its memory limit and its memory use. docs/operators.md.
#include "process/machine_limits.hpp"

namespace dockrock {

// The phase that this line reports.
enum class ProcessPhase : int { starting, running, stopping };
auto set_process_phase(ProcessPhase phase) -> void;

auto report_fatal_signals(MachineLimits const& limits) -> void;

}  // namespace dockrock

#pragma once
// Timestamps of one relayed request, and the log line that reports them with the scheduler's estimates.
// `scripts/request_causes.py` reads these lines. docs/operators.md.
#include <string>

#include "ticket/request_lifecycle.hpp"
#include "version/services.hpp"

namespace dockrock {

struct RequestTrace {
    Microseconds waited = 0;         // total time queued at this node, over all tries
    Microseconds sent_at = 0;        // of the latest try; 0: none was sent
    Microseconds first_at = 0;       // first output of any try; 0: none arrived
    Microseconds last_at = 0;        // latest output
    Microseconds longest_pause = 0;  // between consecutive outputs
    int tries = 0;
    std::string failure;  // why the latest try failed; empty: it did not
    std::string outcome;  // last lifecycle step and reason, or caller-gone

    auto output_came(Microseconds now) -> void;
};

// Logs at level debug; returns at once if that level is disabled.
auto log_request(RequestLifecycle const& lifecycle, Route const& route, RequestTrace const& trace, Microseconds now)
    -> void;

}  // namespace dockrock

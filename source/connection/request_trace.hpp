#pragma once
// The moments of one relayed request, and the log line that tells them with what the scheduler expected.
// `scripts/request_causes.py` reads these lines. docs/operators.md.
#include <string>

#include "ticket/request_lifecycle.hpp"
#include "version/services.hpp"

namespace dockrock {

struct RequestTrace {
    Microseconds waited = 0;         // at this node, for a place at a replica, all tries together
    Microseconds sent_at = 0;        // of the newest try; 0: none was sent
    Microseconds first_at = 0;       // the first output of any try; 0: none came
    Microseconds last_at = 0;        // the newest output
    Microseconds longest_pause = 0;  // between outputs
    int tries = 0;
    std::string failure;  // why the newest try failed; empty: it did not
    std::string outcome;  // what the client was told

    auto output_came(Microseconds now) -> void;
};

// At level debug; costs nothing above it.
auto log_request(RequestLifecycle const& lifecycle, Route const& route, RequestTrace const& trace, Microseconds now)
    -> void;

}  // namespace dockrock

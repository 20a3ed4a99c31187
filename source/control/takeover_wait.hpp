#pragma once
// How long a new leader of a partition must wait before it may send weights orders, since
// the former leader may have sent some until the takeover. docs/design.md section 11.
#include "base/basics.hpp"

namespace dockrock {

struct TakeoverWait {
    bool held = false;
    std::uint64_t term = 0;
    Microseconds since = 0;  // when this process first got the lease, with no other holder since

    // Takes the present state of the lease; true once orders may be sent.
    auto step(std::uint64_t record_term, bool leader, bool leased, Microseconds wait, Microseconds now) -> bool {
        if (!leader) {
            held = false;
            return false;
        }
        // The holder of a skipped term is unknown and may have been another node.
        if (held && record_term > term + 1) held = false;
        if (!held && !leased) return false;
        if (!held) since = now;
        held = true;
        term = record_term;
        auto const nobody_before = term <= 1;
        return leased && (nobody_before || now - since >= wait);
    }
};

}  // namespace dockrock

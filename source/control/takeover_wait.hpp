#pragma once
// How long the holder of a partition has to wait before it may order, since the
// former one may have ordered until it took over. docs/design.md section 11.
#include "base/basics.hpp"

namespace dockrock {

struct TakeoverWait {
    bool held = false;
    std::uint64_t term = 0;
    Microseconds since = 0;  // first leased, in this life, with no other holder in between

    // With what this node knows now; true once it may order.
    auto step(std::uint64_t record_term, bool leader, bool leased, Microseconds wait, Microseconds now) -> bool {
        if (!leader) {
            held = false;
            return false;
        }
        // Of an term that was skipped, the holder is not known.
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

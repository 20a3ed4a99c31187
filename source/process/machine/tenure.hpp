#pragma once
// How long the holder of a part has to wait before it may order, since the
// former one may have ordered until it took over. docs/design.md section 11.
#include "process/machine/words.hpp"

namespace dockrock {

struct Tenure {
    bool held = false;
    std::uint64_t epoch = 0;
    Microseconds since = 0;  // first licensed, in this life, with no other holder in between

    // With what this node knows now; true once it may order.
    auto step(std::uint64_t record_epoch, bool primary, bool licensed, Microseconds wait, Microseconds now) -> bool {
        if (!primary) {
            held = false;
            return false;
        }
        // Of an epoch that was skipped, the holder is not known.
        if (held && record_epoch > epoch + 1) held = false;
        if (!held && !licensed) return false;
        if (!held) since = now;
        held = true;
        epoch = record_epoch;
        auto const nobody_before = epoch <= 1;
        return licensed && (nobody_before || now - since >= wait);
    }
};

}  // namespace dockrock

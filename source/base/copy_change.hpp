#pragma once
// The difference between two copies of a partition. Replicas send it and log it
// to disk instead of whole copies. docs/design.md 5.4.
#include "base/records.hpp"
#include "base/text_difference.hpp"

namespace dockrock {

struct CopyChange {
    Sequence base;             // of the copy that it applies to
    Sequence sequence;         // of the resulting copy
    std::uint64_t digest = 0;  // of the resulting document
    TextEdits edits;
    std::uint64_t outcomes_dropped = 0;   // removed from the front, oldest first
    std::vector<Outcome> outcomes_added;  // appended at the back
};

// The change that turns `base` into `made`; empty where the whole copy would be no larger.
auto change_between(Copy const& base, Copy const& made) -> std::optional<CopyChange>;
// Applies the change in place. Returns false and leaves `held` unmodified where the base sequence, an edit or the
// digest of the result does not match.
auto apply_change(Copy& held, CopyChange const& change) -> bool;

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(dockrock::CopyChange, base, sequence, digest, edits, outcomes_dropped, outcomes_added);

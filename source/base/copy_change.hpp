#pragma once
// How one copy of a partition follows from another: what the group sends and
// the disk logs for a change, instead of whole copies. docs/design.md 5.4.
#include "base/records.hpp"
#include "base/text_difference.hpp"

namespace dockrock {

struct CopyChange {
    Sequence base;
    Sequence sequence;         // of the copy that it makes
    std::uint64_t digest = 0;  // of the document that it makes
    TextEdits edits;
    std::uint64_t outcomes_dropped = 0;  // the oldest
    std::vector<Outcome> outcomes_added;
};

// Nothing where the whole copy is not larger.
auto change_between(Copy const& base, Copy const& made) -> std::optional<CopyChange>;
// False, and `held` stays as it is, where the change does not fit it.
auto apply_change(Copy& held, CopyChange const& change) -> bool;

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(dockrock::CopyChange, base, sequence, digest, edits, outcomes_dropped, outcomes_added);

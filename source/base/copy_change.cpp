#include "base/copy_change.hpp"

namespace dockrock {

namespace {

constexpr auto outcome_size = std::size_t{100};  // approximate size of one as JSON

// The number of outcomes that `base` ends with and `made` begins with.
auto outcomes_shared(Copy const& base, Copy const& made) -> std::size_t {
    if (base.outcomes.empty()) return 0;
    auto const& newest = base.outcomes.back();
    auto const found = std::find_if(made.outcomes.rbegin(), made.outcomes.rend(), [&](auto const& outcome) {
        return outcome.sequence == newest.sequence && outcome.identity == newest.identity;
    });
    auto const shared = static_cast<std::size_t>(made.outcomes.rend() - found);
    if (shared > base.outcomes.size()) return 0;
    auto const begin = base.outcomes.end() - static_cast<std::ptrdiff_t>(shared);
    return std::equal(begin, base.outcomes.end(), made.outcomes.begin()) ? shared : 0;
}

}  // namespace

auto change_between(Copy const& base, Copy const& made) -> std::optional<CopyChange> {
    auto change = CopyChange{base.sequence, made.sequence, text_digest(made.document), {}, 0, {}};
    change.edits = edits_between(base.document, made.document);
    auto const whole = made.document.size() + made.outcomes.size() * outcome_size;
    if (!change.edits.empty() && size_of(change.edits) >= whole) return std::nullopt;
    auto const shared = outcomes_shared(base, made);
    change.outcomes_dropped = base.outcomes.size() - shared;
    change.outcomes_added.assign(made.outcomes.begin() + static_cast<std::ptrdiff_t>(shared), made.outcomes.end());
    return change;
}

auto apply_change(Copy& held, CopyChange const& change) -> bool {
    if (held.sequence != change.base || change.outcomes_dropped > held.outcomes.size()) return false;
    auto document = apply_edits(held.document, change.edits);
    if (!document || text_digest(*document) != change.digest) return false;
    held.document = std::move(*document);
    held.sequence = change.sequence;
    held.outcomes.erase(
        held.outcomes.begin(), held.outcomes.begin() + static_cast<std::ptrdiff_t>(change.outcomes_dropped));
    held.outcomes.insert(held.outcomes.end(), change.outcomes_added.begin(), change.outcomes_added.end());
    return true;
}

}  // namespace dockrock

#include "control/partition_watch.hpp"

#include <algorithm>

namespace dockrock {

auto PartitionWatch::check(
    Partition const& partition, PartitionView const& view, std::string const& self, Microseconds now) -> bool {
    auto const leased = partition.has_lease(self, now);
    auto const& decided = partition.votes.decided;
    auto const known = std::max(decided.term, view.record.term);
    auto const& leader = decided.term == known ? decided.leader : view.record.leader;
    if (known > 0 && leader != self) other_holder_at = now;
    auto const terms = invariants::check(invariants::TermFacts{highest_term, known, leased, decided.term});
    highest_term = known;
    return content_unchanged(partition, view, leased && partition.committed) && terms;
}

auto PartitionWatch::content_unchanged(Partition const& partition, PartitionView const& view, bool leased) -> bool {
    auto const& text = view.copy.document;
    auto const moved = view.copy.sequence != in_force;
    if (moved || text.data() != document) {
        auto const fresh = digest_of(text);
        auto const facts = invariants::InForceFacts{in_force, view.copy.sequence, digest, fresh};
        auto const first = document == nullptr;
        in_force = view.copy.sequence;
        digest = fresh;
        document = text.data();
        if (!first && !invariants::check(facts)) return false;
    }
    if (!leased || compared_term == partition.votes.decided.term) return true;
    compared_term = partition.votes.decided.term;
    if (partition.committed->sequence != in_force) return true;
    auto const committed_digest = digest_of(partition.committed->document);
    return invariants::check(
        invariants::InForceFacts{in_force, partition.committed->sequence, digest, committed_digest});
}

}  // namespace dockrock

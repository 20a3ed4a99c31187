#include "consensus/saved_partition.hpp"

#include <algorithm>

namespace dockrock {

namespace {

auto partition_of(std::vector<SavedPartition>& held, int partition) -> SavedPartition& {
    auto const found =
        std::find_if(held.begin(), held.end(), [&](auto const& item) { return item.partition == partition; });
    if (found != held.end()) return *found;
    auto& fresh = held.emplace_back();
    fresh.partition = partition;
    return fresh;
}

// Where no copy was saved before, a change applies to an empty copy.
auto take_copy(SavedPartition& into, SavedPartition const& saved) -> bool {
    if (saved.copy) into.copy = saved.copy;
    if (!saved.change) return true;
    if (into.copy) return apply_change(*into.copy, *saved.change);
    Copy first;
    if (!apply_change(first, *saved.change)) return false;
    into.copy = std::move(first);
    return true;
}

}  // namespace

auto merge_saved(SavedPartition& into, SavedPartition const& saved) -> bool {
    if (!take_copy(into, saved)) return false;
    into.votes = saved.votes;
    if (saved.claims_whole) into.claims = saved.claims;
    else into.claims += saved.claims;
    return true;
}

auto take_saved(std::vector<SavedPartition>& held, SavedPartition const& saved) -> bool {
    return merge_saved(partition_of(held, saved.partition), saved);
}

}  // namespace dockrock

#pragma once
// Cost of placing a request on a replica: the work before its first token, in prompt tokens. It is the paper's
// "least busy by queue length relative to capacity", with the queue length measured in prefill work, which is what
// limits replicas. docs/design.md section 9.7.
#include <algorithm>
#include <cstdint>

namespace dockrock {

// The state of one replica for one request. All but the last two are tokens.
struct PlacementView {
    std::int64_t outstanding = 0;  // prompts placed there by any node, not prefilled yet
    std::int64_t prompt = 0;       // of this request
    std::int64_t cached = 0;       // prefix of the prompt that the replica has cached
    std::int64_t movable = 0;      // longest prefix that a peer or a store could transfer there
    std::int64_t best_cached = 0;  // longest prefix that any replica has cached
    std::int64_t shared = 0;       // prefix that other requests may share
    std::int64_t queued = 0;       // requests that would wait there for a free place
    bool home = false;             // the replica that a prefix cached nowhere is placed on first
};

struct PlacementRates {
    double move_share = 0.1;  // time to transfer a token over time to prefill one
    double copy_cost = 8.0;   // cost of each token of a further copy: it takes cache memory from other prefixes
};

// Tokens of the prompt that the replica would have to prefill itself.
constexpr auto tokens_to_read(PlacementView const& view) -> std::int64_t {
    return std::max<std::int64_t>(0, view.prompt - std::max(view.cached, view.movable));
}

// Tokens of shared prefix of which this placement makes a redundant copy: those that another replica has cached,
// and, except at the home replica, those that no replica has cached.
constexpr auto tokens_copied(PlacementView const& view) -> std::int64_t {
    auto const known = std::max<std::int64_t>(0, view.best_cached - view.cached);
    auto const unknown = std::max<std::int64_t>(0, view.shared - std::max(view.best_cached, view.cached));
    return std::min(known, view.shared) + (view.home ? 0 : unknown);
}

constexpr auto work_before_first_token(PlacementView const& view, PlacementRates const& rates) -> double {
    auto const moved = std::max<std::int64_t>(0, view.movable - view.cached);
    return static_cast<double>(view.outstanding + view.queued * view.prompt + tokens_to_read(view)) +
        static_cast<double>(moved) * rates.move_share + static_cast<double>(tokens_copied(view)) * rates.copy_cost;
}

}  // namespace dockrock

#pragma once
// What a request would wait for at one replica before its first token, in tokens of prompt. The paper's
// "least busy by queue length relative to capacity", with the queue counted in the work that replicas are
// short of. docs/design.md section 9.7.
#include <algorithm>
#include <cstdint>

namespace dockrock {

// One replica as one request sees it. All but the last two are tokens.
struct PlacementView {
    std::int64_t outstanding = 0;  // placed there by anyone and not read yet
    std::int64_t prompt = 0;       // of this request
    std::int64_t cached = 0;       // leading run of the prompt that the replica keeps
    std::int64_t movable = 0;      // longest leading run that a peer or a store could move there
    std::int64_t best_cached = 0;  // longest leading run that any replica keeps
    std::int64_t shared = 0;       // leading run that other requests may ask for again
    std::int64_t queued = 0;       // requests that would wait there for a place to run
    bool home = false;             // where the shared run is read first
};

struct PlacementRates {
    double move_share = 0.1;  // time to move a token over time to read one
    double copy_cost = 8.0;   // work that a token of a further copy counts for: it takes memory from others
};

// Tokens of the prompt that the replica would have to read itself.
constexpr auto tokens_to_read(PlacementView const& view) -> std::int64_t {
    return std::max<std::int64_t>(0, view.prompt - std::max(view.cached, view.movable));
}

// Tokens of shared prefix that this placement would keep in one more place than needed: of what others keep
// already, and, where nobody keeps the rest, all but the home.
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

#include "process/machine/rollout_pace.hpp"

#include <algorithm>

namespace dockrock {

namespace {

auto mixed(Microseconds known, Microseconds sample) -> Microseconds { return (3 * known + sample) / 4; }

}  // namespace

// The last one should leave use when the soft end comes, the others evenly
// before it, and no faster than loads go. A third of the replicas may be out of
// use; more where a third can't get through in time.
auto RolloutPace::may_take(PaceView const& view, Microseconds now) const -> bool {
    if (view.untouched == 0) return false;
    if (view.hard_left <= 0) return true;
    auto const untouched = static_cast<Microseconds>(view.untouched);
    auto const most = std::max<std::size_t>(1, view.replicas / 3);
    auto const as_loads_go = load / static_cast<Microseconds>(std::max<std::size_t>(1, view.at_once));
    auto const every = std::min(std::max(view.soft_left / untouched, as_loads_go), view.hard_left / untouched);
    if (now - taken_at < every) return false;
    return view.out_of_use < most || untouched * cycle / static_cast<Microseconds>(most) > view.hard_left;
}

auto RolloutPace::places(std::size_t unordered, std::size_t at_once, Microseconds hard_left) const -> std::size_t {
    auto const each = std::max(hard_left, load);
    auto const needed = (load * static_cast<Microseconds>(unordered) + each - 1) / each;
    return std::max(at_once, static_cast<std::size_t>(needed));
}

auto RolloutPace::loaded(Microseconds took) -> void { load = mixed(load, took); }

auto RolloutPace::served_again(Microseconds took) -> void { cycle = mixed(cycle, took); }

}  // namespace dockrock

#pragma once
// How fast the replicas of one service leave use for new weights: evenly over
// the time there is, few at a time, more only where the bound asks for it.
// docs/design.md section 11.1.
#include "process/machine/words.hpp"

namespace dockrock {

struct PaceView {
    std::size_t replicas = 0;    // listed and not leaving
    std::size_t out_of_use = 0;  // draining or under order
    std::size_t untouched = 0;   // still to leave use
    std::size_t at_once = 3;     // loads
    Microseconds soft_left = 0;  // until the last one should leave use
    Microseconds hard_left = 0;  // until it must
};

struct RolloutPace {
    Microseconds load = 1'500 * one_millisecond;  // from an order to the report of its end, nothing running; measured
    Microseconds cycle = 3 * one_second;          // out of use; measured
    Microseconds taken_at = -3'600 * one_second;  // the last one left use

    // Whether one more may leave use now.
    auto may_take(PaceView const& view, Microseconds now) const -> bool;
    // How many may be under order, where that many wait for it.
    auto places(std::size_t unordered, std::size_t at_once, Microseconds hard_left) const -> std::size_t;
    auto loaded(Microseconds took) -> void;
    auto served_again(Microseconds took) -> void;
};

}  // namespace dockrock

#pragma once
// A relay of load: core nodes add up what their nodes tell, tell each other
// their sums, and answer each node with the sum of all. docs/design.md 9.8.
#include <deque>
#include <set>

#include "membership/membership.hpp"
#include "control/load.hpp"

namespace dockrock {

struct LoadTimes {
    Microseconds interval = 100 * one_millisecond;  // between sums, and between words to other relays
    Microseconds old = one_second;                  // as in SchedulingOptions: a word this old stands for more
    Microseconds lost = 10 * one_second;            // and one this old for nothing
    Microseconds names_interval = one_second / 2;
    Microseconds frozen_gap = one_second / 2;      // between a relay's ticks: it was frozen,
    Microseconds deaf = 200 * one_millisecond;     // and what waited for it is old
    Microseconds silence = 600 * one_millisecond;  // a relay that answers nothing for so long is left,
    Microseconds avoid = 5 * one_second;           // and not taken again before
};

struct LoadRelay {
    LoadTimes times;
    std::uint64_t number = 0;  // of the newest sum; begins anywhere, so that no two lives share one
    struct Child {
        std::uint64_t number = 0;
        std::uint64_t summed = 0;  // the number that the newest sum has of it, and when it came
        Microseconds summed_at = 0;
        Microseconds at = 0;
        Loads loads;
        auto rate() const -> std::int64_t;
    };
    std::map<std::string, Child> children;  // by identity
    struct Share {
        std::uint64_t number = 0;
        Microseconds at = 0;
        std::int64_t nodes = 0;
        Loads loads;
        std::map<std::string, std::int64_t> rates;  // of its nodes, told now and then
    };
    std::map<std::string, Share> shares;  // by the relay's identity
    struct Sum {
        std::uint64_t number = 0;
        std::int64_t nodes = 0;
        Loads loads;
    };
    std::deque<Sum> sums;  // newest last
    Microseconds summed_at = 0;
    std::map<std::uint64_t, std::string> differences;  // from older sums to the newest
    std::string whole;                                 // the newest one
    Microseconds shared_at = 0;
    Microseconds named_at = 0;
    Microseconds ticked_at = 0;
    Microseconds deaf_until = 0;

    auto take(std::string const& node, LoadReport const& told, Microseconds now) -> std::optional<LoadSum>;
    auto take(std::string const& relay, LoadShare const& told, Microseconds now) -> void;
    // What other relays are to be told now; nothing where nobody tells anything here.
    auto tick(Microseconds now) -> std::optional<LoadShare>;
    auto rate_of(std::string const& node, Microseconds now) const -> double;  // placed in the last second

   private:
    auto deaf(Microseconds now) const -> bool;
    auto forget(Microseconds now) -> void;
    auto own_sum(Microseconds now) const -> Loads;
    auto sum_up(Microseconds now) -> void;
};

// Which relay a node tells: the first in an order of its own, those of its area
// before others, except ones that were silent.
struct LoadRelayChoice {
    LoadTimes times;
    std::string relay;  // identity
    Microseconds since = 0;
    Microseconds told_at = 0;
    Microseconds heard_at = 0;
    std::map<std::string, Microseconds> avoided;  // until
    bool relayed = false;                         // load goes through relays now

    auto choose(Member const& self, std::vector<Member> const& cores, Microseconds now) -> Member const*;
    auto heard(std::string const& from, Microseconds now) -> void;
};

}  // namespace dockrock

#pragma once
// Load relays: core nodes sum the load reported by their nodes, exchange their sums,
// and answer each node with the total. docs/design.md 9.8.
#include <deque>
#include <set>

#include "membership/membership.hpp"
#include "control/load.hpp"

namespace dockrock {

struct LoadTimes {
    Microseconds interval = 100 * one_millisecond;  // between sums, and between reports to other relays
    Microseconds old = one_second;                  // as in SchedulingOptions: older reports count for more load
    Microseconds lost = 10 * one_second;            // and reports older than this are dropped
    Microseconds names_interval = one_second / 2;
    Microseconds frozen_gap = one_second / 2;          // a longer time between ticks means the process was frozen;
    Microseconds ignore_time = 200 * one_millisecond;  // it then drops its data and ignores queued reports
    Microseconds silence = 600 * one_millisecond;      // a relay that does not answer for so long is replaced,
    Microseconds avoid = 5 * one_second;               // and not chosen again for so long
};

struct LoadRelay {
    LoadTimes times;
    std::uint64_t number = 0;  // of the newest sum; starts at random, so that no two processes share numbers
    struct Child {             // a node that reports to this relay
        std::uint64_t number = 0;
        std::uint64_t summed = 0;  // number and arrival of its report in the newest sum
        Microseconds summed_at = 0;
        Microseconds at = 0;
        Loads loads;
        auto rate() const -> std::int64_t;
    };
    std::map<std::string, Child> children;  // by identity
    struct Share {                          // the sum of another relay
        std::uint64_t number = 0;
        Microseconds at = 0;
        std::int64_t nodes = 0;
        Loads loads;
        std::map<std::string, std::int64_t> rates;  // of its nodes, sent less often
    };
    std::map<std::string, Share> shares;  // by the relay's identity
    struct Sum {
        std::uint64_t number = 0;
        std::int64_t nodes = 0;
        Loads loads;
    };
    std::deque<Sum> sums;  // newest last
    Microseconds summed_at = 0;
    // By number of an older sum: its encoded difference to the newest.
    std::map<std::uint64_t, std::string> differences;
    std::string whole;  // the newest sum, encoded
    Microseconds shared_at = 0;
    Microseconds named_at = 0;
    Microseconds ticked_at = 0;
    Microseconds ignore_until = 0;

    // Takes the report of a node; returns the newest sum as answer, nothing if the report is invalid or outdated.
    auto take(std::string const& node, LoadReport const& report, Microseconds now) -> std::optional<LoadSum>;
    // Takes the sum of another relay.
    auto take(std::string const& relay, LoadShare const& told, Microseconds now) -> void;
    // The sum to send to other relays, if it is due; nothing while no node reports here.
    auto tick(Microseconds now) -> std::optional<LoadShare>;
    auto rate_of(std::string const& node, Microseconds now) const -> double;  // requests placed in the last second

   private:
    auto ignoring(Microseconds now) const -> bool;
    auto drop_stale(Microseconds now) -> void;
    auto own_sum(Microseconds now) const -> Loads;
    auto sum_up(Microseconds now) -> void;
};

// Which relay a node reports to, by rendezvous hashing: relays of its own area
// first, those that were silent last.
struct LoadRelayChoice {
    LoadTimes times;
    std::string relay;  // identity
    Microseconds since = 0;
    Microseconds reported_at = 0;
    Microseconds answered_at = 0;
    std::map<std::string, Microseconds> avoided;  // by relay: until when it is not used
    bool relayed = false;                         // load reports go through relays now

    // Null if there is no core node.
    auto choose(Member const& self, std::vector<Member> const& cores, Microseconds now) -> Member const*;
    auto record_answer(std::string const& from, Microseconds now) -> void;
};

}  // namespace dockrock

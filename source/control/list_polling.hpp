#pragma once
// When a node reads the platform's list where each call has its price and all
// nodes together have a limit. docs/design.md section 8.4.
#include "base/basics.hpp"

namespace dockrock {

struct ListView {
    bool leader = false;  // leased leader of the configuration's partition
    bool resting = false;
    Microseconds list_at = 0;  // when the list held was asked for
    std::size_t members = 1;   // nodes held alive
};

// A list that was read whole, as the product's own text.
struct ListReading {
    std::string text;
    std::size_t pages = 0;
};

struct ListPolling {
    Microseconds interval = 900 * one_millisecond;
    Microseconds fallback = 2 * one_second;       // a list older than this is read by the node itself
    Microseconds spread = 300 * one_millisecond;  // over at most this time, where the calls allow
    Microseconds page_limit = 500 * one_millisecond;
    std::int64_t calls_each_second = 50;
    std::size_t pages = 1;  // of the last reading
    Microseconds began_at = -3'600 * one_second;
    Microseconds not_before = -3'600 * one_second;
    std::optional<Microseconds> turn;  // this node's own, drawn once its list is old
    Microseconds backoff = 0;

    auto bound(Microseconds drain, std::int64_t calls) -> void;
    auto due(ListView const& view, Microseconds now, Random& random) -> bool;
    auto began(Microseconds now) -> void;
    auto good(std::size_t read_pages) -> void;
    auto failed(ListView const& view, Microseconds now, Random& random) -> void;
    // Between two calls of one node.
    auto call_gap() const -> Microseconds { return one_second * 5 / (4 * calls_each_second); }
    auto spread_over(std::size_t members) const -> Microseconds;
};

}  // namespace dockrock

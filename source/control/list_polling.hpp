#pragma once
// When a node reads the replica list from a platform whose calls are costly and
// rate-limited for all nodes together. docs/design.md section 8.4.
#include "base/basics.hpp"

namespace dockrock {

struct ListView {
    bool leader = false;  // leased leader of the configuration's partition
    bool resting = false;
    Microseconds list_at = 0;  // when the present list was requested
    std::size_t members = 1;   // nodes considered alive
};

// A list that was read completely, in the router's own format.
struct ListReading {
    std::string text;
    std::size_t pages = 0;
};

struct ListPolling {
    Microseconds interval = 900 * one_millisecond;
    Microseconds fallback = 2 * one_second;       // a node whose list is older reads it itself
    Microseconds spread = 300 * one_millisecond;  // window of such reads, if the rate limit allows
    Microseconds page_limit = 500 * one_millisecond;
    std::int64_t calls_each_second = 50;
    std::size_t pages = 1;  // of the last read
    Microseconds began_at = -3'600 * one_second;
    Microseconds not_before = -3'600 * one_second;
    std::optional<Microseconds> read_at;  // time of this node's read, drawn at random once its list is old
    Microseconds backoff = 0;

    auto configure(Microseconds drain, std::int64_t calls) -> void;
    auto due(ListView const& view, Microseconds now, Random& random) -> bool;
    auto record_start(Microseconds now) -> void;
    auto record_success(std::size_t read_pages) -> void;
    auto record_failure(ListView const& view, Microseconds now, Random& random) -> void;
    // Minimum time between two calls of one node.
    auto call_gap() const -> Microseconds { return one_second * 5 / (4 * calls_each_second); }
    auto spread_window(std::size_t members) const -> Microseconds;
};

}  // namespace dockrock

#pragma once
// Changes of the prompts that replicas and stores keep: each source is read by
// one core node and passed on to all nodes through relays. docs/design.md 9.9.
#include <deque>

#include "membership/membership.hpp"

namespace dockrock {

struct CacheFeedTimes {
    Microseconds between_cores = 200 * one_millisecond;  // between a core node's questions to another
    Microseconds busy = 250 * one_millisecond;           // between a node's questions to its relay,
    Microseconds idle = one_second;                      // where it has had no requests for a while
    Microseconds busy_for = 2 * one_second;
};

// One part of a prompt that its source keeps from now on, or no longer.
struct CacheChange {
    std::uint64_t part = 0;   // hash of the wall and the part
    std::size_t weights = 0;  // index into the batch's names of weights
    bool cached = false;
    auto operator==(CacheChange const&) const -> bool = default;
};
inline constexpr auto weights_in_batch = std::size_t{26};

auto write_changes(std::vector<CacheChange> const& changes) -> std::string;
auto read_changes(std::string_view text) -> std::optional<std::vector<CacheChange>>;

// Which core node reads a source: one of the source's zone where there is one.
// Two that disagree for a while both read it; batches may overlap.
auto reader_of(std::string_view source, std::string_view area, std::vector<Member> const& cores) -> Member const*;

struct CacheFeed {
    // What this node knows of a source's events: everything before `next`.
    struct Cursor {
        std::string life;
        std::uint64_t next = 0;
    };
    enum class Verdict { known, follows, gap };
    struct Entry {
        std::uint64_t position = 0;
        bool own = false;  // read by this node itself
        CacheBatch batch;
    };
    // How far this node has read another node's log.
    struct Reading {
        std::uint64_t feed = 0;
        std::uint64_t position = 0;
        Microseconds asked_at = 0;
    };
    struct Taken {
        CacheBatch batch;
        bool gap = false;  // events before it never came here
    };

    std::uint64_t id = 0;  // of this life's log
    std::uint64_t next_position = 1;
    std::deque<Entry> log;
    std::size_t log_bytes = 0;
    std::map<std::string, Cursor> cursors;    // by source
    std::map<std::string, Reading> readings;  // by the identity of the node whose log it is

    auto judge(CacheBatch const& batch) -> Verdict;
    auto add(CacheBatch batch, bool own) -> void;
    auto answer(FeedAsk const& ask) const -> FeedAnswer;
    auto ask(std::string const& relay, bool own, Microseconds now) -> FeedAsk;
    auto take(std::string const& relay, FeedAnswer answer) -> std::vector<Taken>;
    auto forget_except(std::set<std::string> const& sources) -> void;
};

}  // namespace dockrock

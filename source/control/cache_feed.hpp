#pragma once
// Changes of the prompt caches of replicas and cache stores: one core node reads each source
// and forwards its events to all nodes through relays. docs/design.md 9.9.
#include <deque>

#include "membership/membership.hpp"

namespace dockrock {

struct CacheFeedTimes {
    Microseconds between_cores = 200 * one_millisecond;  // polling interval between core nodes
    Microseconds busy = 250 * one_millisecond;           // polling interval of a node at its relay,
    Microseconds idle = one_second;                      // and the same if it had no requests for a while
    Microseconds busy_for = 2 * one_second;              // time since the last load report that counts as busy
};

// A part of a prompt that was added to, or evicted from, the cache of a source.
struct CacheChange {
    std::uint64_t part = 0;   // hash of the isolation domain and the part
    std::size_t weights = 0;  // index into the batch's list of weights
    bool cached = false;
    auto operator==(CacheChange const&) const -> bool = default;
};
inline constexpr auto weights_in_batch = std::size_t{26};

auto write_changes(std::vector<CacheChange> const& changes) -> std::string;
auto read_changes(std::string_view text) -> std::optional<std::vector<CacheChange>>;

// The core node that reads a source, by rendezvous hashing; one in the source's zone if there is any.
// While views of the membership differ, two nodes may read it, so batches may overlap.
auto reader_of(std::string_view source, std::string_view area, std::vector<Member> const& cores) -> Member const*;

// A log of cache change batches that other nodes poll, and the position of this node in the logs of others.
struct CacheFeed {
    // How far this node knows the events of a source: all before `next`.
    struct Cursor {
        std::string life;  // instance of the source; events are numbered within it
        std::uint64_t next = 0;
    };
    // Of a batch: already known, the next one, or one with missing events before it (also after a source's restart).
    enum class BatchPosition { known, follows, gap };
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
        bool gap = false;  // events before it are missing, or the source restarted
    };

    std::uint64_t id = 0;  // of this process's log, random
    std::uint64_t next_position = 1;
    std::deque<Entry> log;
    std::size_t log_bytes = 0;
    std::map<std::string, Cursor> cursors;    // by source
    std::map<std::string, Reading> readings;  // by the identity of the node that has the log

    // Compares a batch with the cursor of its source and advances the cursor.
    auto advance_cursor(CacheBatch const& batch) -> BatchPosition;
    // Appends to the log; the oldest batches are removed beyond its size limit.
    auto add(CacheBatch batch, bool own) -> void;
    auto answer(FeedAsk const& ask) const -> FeedAnswer;
    // The request for a node's next batches; `own`: only those that the node read itself.
    auto ask(std::string const& relay, bool own, Microseconds now) -> FeedAsk;
    // The batches of an answer that were not known.
    auto take(std::string const& relay, FeedAnswer answer) -> std::vector<Taken>;
    auto forget_except(std::set<std::string> const& sources) -> void;
};

}  // namespace dockrock

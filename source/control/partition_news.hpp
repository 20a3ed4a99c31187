#pragma once
// A partition as news: what a node holds of it, and differences between its
// documents. docs/design.md section 8.
#include <deque>

#include "base/messages.hpp"

namespace dockrock {

// What became of a question: nothing in time, or an answer after another question had been asked.
struct NewsNote {
    int partition = 0;
    std::string whom;
    Microseconds age = 0;  // since it was asked
    bool late = false;
};

// The same, counted since the start.
struct NewsCounts {
    std::uint64_t asked = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t late = 0;
    std::uint64_t unknown = 0;  // answers to no question that is remembered
    Microseconds latest = 0;    // the greatest age of a late answer
};

// A question that was asked anew.
struct PastAsk {
    std::uint64_t token = 0;
    std::string whom;
    Microseconds asked_at = 0;
};

// What a node holds of a partition as news (design 8).
struct PartitionNews {
    Record record;
    Copy copy;                                          // elsewhere than at the leader without outcomes
    std::deque<std::pair<Sequence, std::string>> past;  // documents held before, for differences
    std::optional<std::pair<Sequence, NewsCopy>> told;  // the last difference, and what it builds on
    bool whole_wanted = false;                          // a difference did not fit
    Microseconds proven_at = -3'600 * one_second;
    std::string live;  // the replica list, or the word of the partition's leader; told apart by its digest
    std::uint64_t live_digest = 0;
    Microseconds live_at = -3'600 * one_second;
    std::uint64_t ask_token = 0;
    bool asked_relay = false;       // by the question under way
    Microseconds direct_until = 0;  // the owner is asked, not the relay
    Microseconds asked_at = 0;
    std::string asked_whom;
    std::deque<PastAsk> past_asks;  // the last few questions that were not answered in time
    std::uint64_t told_term = 0;    // as leader: the term that all members were told of
    int unanswered = 0;
};

auto digest_of(std::string_view text) -> std::uint64_t;
// The question under way is asked anew; it stays remembered for a while.
auto pass_by(PartitionNews& item) -> void;
// Whole, or as the difference from what the asker holds, whichever is smaller.
auto copy_for(PartitionNews const& item, NewsAsk const& ask) -> NewsCopy;
// The same; the difference that many ask for is made once.
auto copy_told(PartitionNews& item, NewsAsk const& ask) -> NewsCopy;
// The document it makes; nothing where it does not fit what is held.
auto apply_news(PartitionNews const& item, NewsCopy const& news) -> std::optional<std::string>;
auto remember(PartitionNews& item) -> void;

}  // namespace dockrock

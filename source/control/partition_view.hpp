#pragma once
// A partition as news: what a node holds of it, and differences between its
// documents. docs/design.md section 8.
#include <deque>

#include "base/messages.hpp"

namespace dockrock {

struct UpdateTimes {
    Microseconds hold_limit = 300 * one_millisecond;
    Microseconds ask_limit = 500 * one_millisecond;
    // The other parts decide nothing by their age: a change is told at once either way.
    Microseconds service_hold_limit = 700 * one_millisecond;
    Microseconds service_ask_limit = 900 * one_millisecond;
    Microseconds direct = 2 * one_second;  // how long a relay is passed by that was silent or behind
    Microseconds resting_interval = one_second;
    Microseconds proof_limit = 1'500 * one_millisecond;  // older: no new entry is granted (scheduler.hpp)
    Microseconds shed_limit = 4 * one_second;            // older: tickets are shed at once
    Microseconds list_interval = 300 * one_millisecond;
    Microseconds list_fallback = 1'200 * one_millisecond;
    Microseconds call_limit = 4 * one_second;
    Microseconds call_unsent_limit = 2'500 * one_millisecond;
    Microseconds call_refused_limit = 800 * one_millisecond;  // of a node out of contact
    Microseconds call_resend = 700 * one_millisecond;
    Microseconds call_each_mebibyte = 500 * one_millisecond;  // of a body, on top of each of the three
    Microseconds claim_limit = 4 * one_second;
    Microseconds claim_resend = 150 * one_millisecond;
};

// For operators that turn to another node after a second of silence.
inline auto limit_calls(UpdateTimes& times) -> void {
    times.call_limit = times.call_unsent_limit = 850 * one_millisecond;
    times.call_resend = 250 * one_millisecond;
}

// What became of a question: nothing in time, or an answer after another question had been asked.
struct UpdateNote {
    int partition = 0;
    std::string whom;
    Microseconds age = 0;  // since it was asked
    bool late = false;
};

// The same, counted since the start.
struct UpdateCounts {
    std::uint64_t asked = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t late = 0;
    std::uint64_t unknown = 0;  // answers to no question that is remembered
    Microseconds latest = 0;    // the greatest age of a late answer
};

// A question that is no longer waited for: asked anew, or answered.
struct PastRequest {
    std::uint64_t token = 0;
    std::string whom;
    Microseconds asked_at = 0;
    bool answered = false;
};

// What a node holds of a partition as news (design 8).
struct PartitionView {
    Record record;
    Copy copy;                                                // elsewhere than at the leader without outcomes
    std::deque<std::pair<Sequence, std::string>> past;        // documents held before, for differences
    std::optional<std::pair<Sequence, DocumentUpdate>> told;  // the last difference, and what it builds on
    bool whole_wanted = false;                                // a difference did not fit
    Microseconds proven_at = -3'600 * one_second;
    std::string live;  // the replica list, or the word of the partition's leader; told apart by its digest
    std::uint64_t live_digest = 0;
    Microseconds live_at = -3'600 * one_second;
    std::uint64_t ask_token = 0;
    bool asked_relay = false;       // by the question under way
    Microseconds direct_until = 0;  // the owner is asked, not the relay
    Microseconds asked_at = 0;
    std::string asked_whom;
    std::deque<PastRequest> past_requests;  // the last few questions that are no longer waited for
    std::uint64_t announced_term = 0;       // as leader: the term that all members were told of
    int unanswered = 0;
};

auto digest_of(std::string_view text) -> std::uint64_t;
// The question under way is no longer waited for; it stays remembered for a while.
auto retire_request(PartitionView& item, bool answered) -> void;
// Of all that are remembered; null: no such question.
auto find_past_request(PartitionView& item, std::uint64_t token) -> PastRequest*;
// Whole, or as the difference from what the asker holds, whichever is smaller.
auto copy_for(PartitionView const& item, UpdateRequest const& ask) -> DocumentUpdate;
// The same; the difference that many ask for is made once.
auto shared_update(PartitionView& item, UpdateRequest const& ask) -> DocumentUpdate;
// The document it makes; nothing where it does not fit what is held.
auto apply_update(PartitionView const& item, DocumentUpdate const& update) -> std::optional<std::string>;
auto remember(PartitionView& item) -> void;

}  // namespace dockrock

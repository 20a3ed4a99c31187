#pragma once
// A node's view of a partition: its document, how fresh it is, and differences between
// its versions. docs/design.md section 8.
#include <deque>

#include "base/messages.hpp"

namespace dockrock {

// Timeouts and intervals of updates, operator calls and claims.
struct UpdateTimes {
    Microseconds hold_limit = 300 * one_millisecond;
    Microseconds ask_limit = 500 * one_millisecond;
    // Nothing is decided by the age of service partitions, and changes are sent at once, so these can be longer.
    Microseconds service_hold_limit = 700 * one_millisecond;
    Microseconds service_ask_limit = 900 * one_millisecond;
    Microseconds direct = 2 * one_second;  // how long a relay that was silent or behind is bypassed
    Microseconds resting_interval = one_second;
    Microseconds proof_limit = 1'500 * one_millisecond;  // older: no requests are placed (scheduler.hpp)
    Microseconds shed_limit = 4 * one_second;            // older: requests are shed at once
    Microseconds list_interval = 300 * one_millisecond;
    Microseconds list_fallback = 1'200 * one_millisecond;
    Microseconds call_limit = 4 * one_second;
    Microseconds call_unsent_limit = 2'500 * one_millisecond;
    Microseconds call_refused_limit = 800 * one_millisecond;  // if no leader can be reached
    Microseconds call_resend = 700 * one_millisecond;
    Microseconds call_each_mebibyte = 500 * one_millisecond;  // added to each call time above, per MiB of body
    Microseconds claim_limit = 4 * one_second;
    Microseconds claim_resend = 150 * one_millisecond;
};

// Shortens call timeouts for operator clients that try another node after a second without an answer.
inline auto limit_calls(UpdateTimes& times) -> void {
    times.call_limit = times.call_unsent_limit = 850 * one_millisecond;
    times.call_resend = 250 * one_millisecond;
}

// A log entry for an update request that was not answered in time, or was answered after the next one was sent.
struct UpdateNote {
    int partition = 0;
    std::string whom;
    Microseconds age = 0;  // time since the request
    bool late = false;
};

// Counters of update requests since the start.
struct UpdateCounts {
    std::uint64_t asked = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t late = 0;
    std::uint64_t unknown = 0;  // answers that match no recent request
    Microseconds latest = 0;    // the greatest age of a late answer
};

// A request that is no longer outstanding: superseded or answered.
struct PastRequest {
    std::uint64_t token = 0;
    std::string whom;
    Microseconds asked_at = 0;
    bool answered = false;
};

// What a node knows of a partition (design 8).
struct PartitionView {
    Record record;
    Copy copy;                                                           // without outcomes, except at the leader
    std::deque<std::pair<Sequence, std::string>> past;                   // earlier documents, as bases for differences
    std::optional<std::pair<Sequence, DocumentUpdate>> last_difference;  // the last difference sent, with its base
    bool whole_wanted = false;                                           // a difference could not be applied
    Microseconds proven_at = -3'600 * one_second;
    std::string live;  // the replica list, or the weights states published by the partition's leader
    std::uint64_t live_digest = 0;
    Microseconds live_at = -3'600 * one_second;
    std::uint64_t ask_token = 0;
    bool asked_relay = false;       // the outstanding request went to a relay
    Microseconds direct_until = 0;  // until then the leader is asked, not the relay
    Microseconds asked_at = 0;
    std::string asked_whom;
    std::deque<PastRequest> past_requests;  // the last few requests that are no longer outstanding
    std::uint64_t announced_term = 0;       // as leader: the term that was announced to all members
    int unanswered = 0;
};

// The digest by which documents and live texts are compared and checked.
auto digest_of(std::string_view text) -> std::uint64_t;
// Moves the outstanding request to the past ones, so that a late answer is still recognized.
auto retire_request(PartitionView& item, bool answered) -> void;
// Finds a past request by its token; null if there is none.
auto find_past_request(PartitionView& item, std::uint64_t token) -> PastRequest*;
// The update for a request: the whole document, or the difference from the requester's version if that is smaller.
auto make_update(PartitionView const& item, UpdateRequest const& ask) -> DocumentUpdate;
// Like make_update, but a difference that many nodes request is computed once.
auto shared_update(PartitionView& item, UpdateRequest const& ask) -> DocumentUpdate;
// The resulting document; nothing if the difference or its digest does not match the document held.
auto apply_update(PartitionView const& item, DocumentUpdate const& update) -> std::optional<std::string>;
// Keeps the present document as a base for differences, before it is replaced.
auto keep_as_base(PartitionView& item) -> void;

}  // namespace dockrock

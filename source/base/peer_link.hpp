#pragma once
// Tracks which frames a peer has received, by the acknowledgements in its own frames, to detect a
// stalled connection. A pure state machine without I/O. docs/design.md section 3.
#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "base/basics.hpp"

namespace dockrock {

// Precedes each frame: the sender's process instance, the frame's number within it,
// and the instance and number of the last frame received from the other side.
struct LinkHeader {
    std::uint64_t instance = 0;
    std::uint64_t number = 0;
    std::uint64_t heard_instance = 0;
    std::uint64_t heard_number = 0;
};

auto put_link_header(LinkHeader const& header, std::string_view frame) -> std::string;
// Removes the header from the front of `bytes`; empty where its checksum is wrong.
auto take_link_header(std::string_view& bytes) -> std::optional<LinkHeader>;

struct LinkTimes {
    Microseconds min_timeout = 400 * one_millisecond;    // minimum timeout of an unacknowledged frame
    Microseconds max_timeout = 1'600 * one_millisecond;  // maximum timeout, on slow links and after backoff
    Microseconds timeout_per_mebibyte = one_second;      // added per MiB in flight up to that frame
    int max_doublings = 2;                       // of both, while no frame sent on an open connection is acknowledged
    Microseconds instance_silence = one_second;  // of the current instance, before a former one is accepted
};

// The smoothed round-trip time and its deviation, as in RFC 6298.
struct RoundTrip {
    Microseconds smoothed = 0;
    Microseconds deviation = 0;
    bool measured = false;

    auto add(Microseconds sample) -> void;
    // Twice the round-trip time, or more where it varies.
    auto timeout() const -> Microseconds { return smoothed + std::max(smoothed, 4 * deviation); }
};

struct PeerLink {
    LinkTimes times;
    std::uint64_t last_number = 0;
    Microseconds last_at = 0;
    std::uint64_t timed_frame = 0;  // the unacknowledged frame that is timed; 0: all frames are acknowledged
    Microseconds timed_since = 0;
    std::size_t timed_bytes = 0;          // in flight up to and with that frame
    std::size_t behind_bytes = 0;         // sent after it
    bool timed_connected = false;         // it was sent on an open connection
    bool last_connected = false;          // the last frame was
    Microseconds unacknowledged_for = 0;  // its age when the peer last failed to acknowledge it or timed out
    RoundTrip round_trip;
    std::uint64_t heard_instance = 0;                 // the peer's current process instance
    std::array<std::uint64_t, 4> former_instances{};  // earlier instances, to recognize their late frames
    std::size_t next_former = 0;
    Microseconds heard_at = 0;  // last frame of the current instance
    std::uint64_t heard_number = 0;
    int reconnects = 0;  // reconnects since the last acknowledgement of a frame sent on an open connection
    bool stalled = false;
    bool other_instance = false;  // it is stalled because the peer restarted after the connection was opened

    // A frame was sent. `connected`: the connection was open at that time.
    auto sent(std::uint64_t number, std::size_t bytes, Microseconds now, bool connected = true) -> void;
    // A frame with this header came from the peer.
    auto heard(LinkHeader const& header, std::uint64_t own_life, Microseconds now) -> void;
    // The peer did not answer a request in time.
    auto request_timed_out(Microseconds now) -> void;
    // A new connection is being dialled: forgets the frames in flight on the one before.
    auto dialled() -> void;
    // The timeout of the timed frame, without the allowance for its size.
    auto frame_timeout() const -> Microseconds;
    auto overdue(Microseconds now) const -> bool;

   private:
    auto is_former(std::uint64_t instance) const -> bool;
    auto check_timeout(Microseconds now) -> void;
    auto sample_round_trip() -> void;
    auto acknowledge(std::uint64_t number) -> void;
    auto take_instance(std::uint64_t instance) -> void;
};

}  // namespace dockrock

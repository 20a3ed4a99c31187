#pragma once
// What of the frames to a peer has arrived there, as its own frames say. A pure
// machine: it tells when a connection hangs. docs/design.md section 3.
#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "base/basics.hpp"

namespace dockrock {

// Goes before each frame: who sends in this life, the frame's number there, and
// the last frame that was heard from its receiver.
struct LinkHeader {
    std::uint64_t instance = 0;
    std::uint64_t number = 0;
    std::uint64_t heard_instance = 0;
    std::uint64_t heard_number = 0;
};

auto put_link_header(LinkHeader const& note, std::string_view frame) -> std::string;
// Takes it off again; nothing where its checksum does not fit.
auto take_link_header(std::string_view& bytes) -> std::optional<LinkHeader>;

struct LinkTimes {
    Microseconds patience = 400 * one_millisecond;         // at least, with a frame that is not known to have arrived
    Microseconds most_patience = 1'600 * one_millisecond;  // on slow links and after doublings
    Microseconds each_mebibyte = one_second;               // more, for what is on its way with it
    int most_doublings = 2;                                // of both, while nothing arrives by a connection that stood
    Microseconds instance_silence = one_second;            // of the present life, after which a former one is heard
};

// The smoothed round trip and its deviation, as RFC 6298 computes them.
struct RoundTrip {
    Microseconds smoothed = 0;
    Microseconds deviation = 0;
    bool measured = false;

    auto add(Microseconds sample) -> void;
    // Twice the round trip, or more where it varies.
    auto timeout() const -> Microseconds { return smoothed + std::max(smoothed, 4 * deviation); }
};

struct PeerLink {
    LinkTimes times;
    std::uint64_t last_number = 0;
    Microseconds last_at = 0;
    std::uint64_t waiting = 0;  // the frame that is watched; 0: all that was sent has arrived
    Microseconds waiting_since = 0;
    std::size_t waiting_bytes = 0;  // up to that frame, and behind it
    std::size_t behind_bytes = 0;
    bool waiting_stood = false;  // it was sent while the connection stood
    bool last_stood = false;
    Microseconds missed_for = 0;  // its greatest age when the peer was heard without it, or doubted
    RoundTrip round_trip;
    std::uint64_t heard_instance = 0;
    std::array<std::uint64_t, 4> former_instances{};  // the last ones, so that their late words are known as such
    std::size_t next_former = 0;
    Microseconds heard_at = 0;  // the present life
    std::uint64_t heard_number = 0;
    int renewals = 0;  // since a frame is known to have arrived that was sent while its connection stood
    bool hangs = false;
    bool other_instance = false;  // it hangs as its peer was started anew since it was dialled

    // `stood`: the connection was established when the frame was sent.
    auto sent(std::uint64_t number, std::size_t bytes, Microseconds now, bool stood = true) -> void;
    auto heard(LinkHeader const& note, std::uint64_t own_life, Microseconds now) -> void;
    // A question to it was not answered in time.
    auto doubted(Microseconds now) -> void;
    auto dialled() -> void;
    auto patience() const -> Microseconds;
    auto overdue(Microseconds now) const -> bool;

   private:
    auto is_former(std::uint64_t instance) const -> bool;
    auto missed(Microseconds now) -> void;
    auto measure() -> void;
    auto arrived(std::uint64_t number) -> void;
    auto take_instance(std::uint64_t instance) -> void;
};

}  // namespace dockrock

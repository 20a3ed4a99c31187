#pragma once
// What of the frames to a peer has arrived there, as its own frames say. A pure
// machine: it tells when a connection hangs. docs/design.md section 3.
#include <optional>
#include <string>
#include <string_view>

#include "base/basics.hpp"

namespace dockrock {

// Goes before each frame: who sends in this life, the frame's number there, and
// the last frame that was heard from its receiver.
struct LinkNote {
    std::uint64_t life = 0;
    std::uint64_t number = 0;
    std::uint64_t heard_life = 0;
    std::uint64_t heard_number = 0;
};

auto put_note(LinkNote const& note, std::string_view frame) -> std::string;
// Takes it off again; nothing where its checksum does not fit.
auto take_note(std::string_view& bytes) -> std::optional<LinkNote>;

struct LinkTimes {
    Microseconds patience = 400 * one_millisecond;  // with a frame that is not known to have arrived
    Microseconds each_mebibyte = one_second;        // more, for what is on its way with it
    int most_doublings = 2;                         // of the patience, while nothing arrives by any connection
};

struct PeerLink {
    LinkTimes times;
    std::uint64_t last_number = 0;
    Microseconds last_at = 0;
    std::uint64_t waiting = 0;  // the frame that is watched; 0: all that was sent has arrived
    Microseconds waiting_since = 0;
    std::size_t waiting_bytes = 0;  // up to that frame, and behind it
    std::size_t behind_bytes = 0;
    std::uint64_t heard_life = 0;
    std::uint64_t former_life = 0;
    std::uint64_t heard_number = 0;
    int renewals = 0;  // since anything is known to have arrived
    bool hangs = false;
    bool another_life = false;  // it hangs as its peer was started anew since it was dialled

    auto sent(std::uint64_t number, std::size_t bytes, Microseconds now) -> void;
    auto heard(LinkNote const& note, std::uint64_t own_life, Microseconds now) -> void;
    // A question to it was not answered in time.
    auto doubted(Microseconds now) -> void;
    auto dialled() -> void;
    auto overdue(Microseconds now) const -> bool;

   private:
    auto arrived(std::uint64_t number) -> void;
    auto take_life(std::uint64_t life) -> void;
};

}  // namespace dockrock

#include "base/peer_link.hpp"

#include <algorithm>

#include "base/frame.hpp"

namespace dockrock {

namespace {
constexpr auto note_numbers = std::size_t{5};  // with the checksum
constexpr auto note_size = note_numbers * sizeof(std::uint64_t);
constexpr auto mebibyte = Microseconds{1} << 20U;
}  // namespace

auto put_note(LinkNote const& note, std::string_view frame) -> std::string {
    std::string bytes;
    bytes.reserve(note_size + frame.size());
    for (auto const number : {note.life, note.number, note.heard_life, note.heard_number}) put_number(bytes, number);
    put_number(bytes, checksum_of(bytes));
    return bytes.append(frame);
}

auto take_note(std::string_view& bytes) -> std::optional<LinkNote> {
    if (bytes.size() < note_size) return std::nullopt;
    auto head = bytes.substr(0, note_size);
    auto const checksum = checksum_of(head.substr(0, note_size - sizeof(std::uint64_t)));
    auto note = LinkNote();
    for (auto* number : {&note.life, &note.number, &note.heard_life, &note.heard_number})
        *number = take_number(head).value_or(0);
    if (take_number(head) != checksum) return std::nullopt;
    bytes.remove_prefix(note_size);
    return note;
}

auto PeerLink::sent(std::uint64_t number, std::size_t bytes, Microseconds now) -> void {
    last_number = number;
    last_at = now;
    if (waiting != 0) {
        behind_bytes += bytes;
        return;
    }
    waiting = number;
    waiting_since = now;
    waiting_bytes = bytes;
    behind_bytes = 0;
}

auto PeerLink::overdue(Microseconds now) const -> bool {
    if (waiting == 0) return false;
    auto const doublings = std::min(renewals, times.most_doublings);
    auto const allowance = static_cast<Microseconds>(waiting_bytes) * times.each_mebibyte / mebibyte;
    return now - waiting_since > (times.patience << doublings) + allowance;
}

// Up to the frame that was sent last when the watched one was known to be there, the next is watched.
auto PeerLink::arrived(std::uint64_t number) -> void {
    renewals = 0;
    hangs = another_life = false;
    waiting = number < last_number ? last_number : 0;
    waiting_since = last_at;
    waiting_bytes = behind_bytes;
    behind_bytes = 0;
}

// What is left of a former life may still come after the first words of the next.
auto PeerLink::take_life(std::uint64_t life) -> void {
    if (life == heard_life) return;
    hangs = another_life = heard_life != 0 && last_number != 0;
    former_life = heard_life;
    heard_life = life;
    heard_number = 0;
}

auto PeerLink::heard(LinkNote const& note, std::uint64_t own_life, Microseconds now) -> void {
    if (former_life != 0 && note.life == former_life) return;
    take_life(note.life);
    heard_number = std::max(heard_number, note.number);
    auto const least = waiting != 0 ? waiting : last_number;
    if (note.heard_life == own_life && least != 0 && note.heard_number >= least) return arrived(note.heard_number);
    if (overdue(now)) hangs = true;
}

auto PeerLink::doubted(Microseconds now) -> void {
    if (overdue(now)) hangs = true;
}

auto PeerLink::dialled() -> void {
    if (hangs) ++renewals;
    hangs = another_life = false;
    waiting = 0;
    waiting_bytes = behind_bytes = 0;
}

}  // namespace dockrock

#include "base/peer_link.hpp"

#include <algorithm>
#include <cstdlib>

#include "base/frame.hpp"

namespace dockrock {

namespace {
constexpr auto note_numbers = std::size_t{5};  // with the checksum
constexpr auto note_size = note_numbers * sizeof(std::uint64_t);
constexpr auto mebibyte = Microseconds{1} << 20U;
}  // namespace

auto put_link_header(LinkHeader const& note, std::string_view frame) -> std::string {
    std::string bytes;
    bytes.reserve(note_size + frame.size());
    for (auto const number : {note.instance, note.number, note.heard_instance, note.heard_number})
        put_number(bytes, number);
    put_number(bytes, checksum_of(bytes));
    return bytes.append(frame);
}

auto take_link_header(std::string_view& bytes) -> std::optional<LinkHeader> {
    if (bytes.size() < note_size) return std::nullopt;
    auto head = bytes.substr(0, note_size);
    auto const checksum = checksum_of(head.substr(0, note_size - sizeof(std::uint64_t)));
    auto note = LinkHeader();
    for (auto* number : {&note.instance, &note.number, &note.heard_instance, &note.heard_number})
        *number = take_number(head).value_or(0);
    if (take_number(head) != checksum) return std::nullopt;
    bytes.remove_prefix(note_size);
    return note;
}

auto RoundTrip::add(Microseconds sample) -> void {
    if (!measured) {
        smoothed = sample;
        deviation = sample / 2;
        measured = true;
        return;
    }
    deviation += (std::abs(smoothed - sample) - deviation) / 4;
    smoothed += (sample - smoothed) / 8;
}

auto PeerLink::sent(std::uint64_t number, std::size_t bytes, Microseconds now, bool stood) -> void {
    last_number = number;
    last_at = now;
    last_stood = stood;
    if (waiting != 0) {
        behind_bytes += bytes;
        return;
    }
    waiting = number;
    waiting_since = now;
    waiting_stood = stood;
    waiting_bytes = bytes;
    behind_bytes = 0;
    missed_for = 0;
}

auto PeerLink::patience() const -> Microseconds {
    auto const measured = std::max(times.patience, round_trip.timeout());
    return std::min(measured << std::min(renewals, times.most_doublings), times.most_patience);
}

auto PeerLink::overdue(Microseconds now) const -> bool {
    if (waiting == 0) return false;
    auto const allowance = static_cast<Microseconds>(waiting_bytes) * times.each_mebibyte / mebibyte;
    return now - waiting_since > patience() + (allowance << std::min(renewals, times.most_doublings));
}

// Up to the frame that was sent last when the watched one was known to be there, the next is watched.
auto PeerLink::arrived(std::uint64_t number) -> void {
    if (waiting != 0) measure();
    hangs = other_instance = false;
    waiting = number < last_number ? last_number : 0;
    waiting_since = last_at;
    waiting_stood = last_stood;
    waiting_bytes = behind_bytes;
    behind_bytes = 0;
    missed_for = 0;
}

// What a peer that is well may lack of ours when it is heard is the round trip, whenever it chooses to speak. A
// frame that waited for its connection tells nothing of the way; nor does one that came after it was given up, as
// the cut that held it is not the way either: the doubled patience of the next connection measures a slow link.
auto PeerLink::measure() -> void {
    if (!waiting_stood || missed_for > patience()) return;
    round_trip.add(missed_for);
    renewals = 0;
}

auto PeerLink::is_former(std::uint64_t instance) const -> bool {
    return instance != 0 &&
        std::find(former_instances.begin(), former_instances.end(), instance) != former_instances.end();
}

// What is left of a former life may still come after the first words of the next.
auto PeerLink::take_instance(std::uint64_t instance) -> void {
    if (instance == heard_instance) return;
    hangs = other_instance = heard_instance != 0 && last_number != 0;
    former_instances[next_former++ % former_instances.size()] = heard_instance;
    heard_instance = instance;
    heard_number = 0;
}

auto PeerLink::missed(Microseconds now) -> void {
    if (waiting != 0) missed_for = std::max(missed_for, now - waiting_since);
    if (overdue(now)) hangs = true;
}

// Of the lives between restarts in one cut the words may come in any order: a former life that goes on where the
// present one is silent is the one that runs.
auto PeerLink::heard(LinkHeader const& note, std::uint64_t own_life, Microseconds now) -> void {
    auto const silent = now - heard_at > times.instance_silence;
    if (note.instance != heard_instance && is_former(note.instance) && !silent) return;
    take_instance(note.instance);
    heard_at = now;
    heard_number = std::max(heard_number, note.number);
    auto const least = waiting != 0 ? waiting : last_number;
    if (note.heard_instance == own_life && least != 0 && note.heard_number >= least) return arrived(note.heard_number);
    missed(now);
}

auto PeerLink::doubted(Microseconds now) -> void { missed(now); }

auto PeerLink::dialled() -> void {
    if (hangs) ++renewals;
    hangs = other_instance = false;
    waiting = 0;
    waiting_bytes = behind_bytes = 0;
    missed_for = 0;
}

}  // namespace dockrock

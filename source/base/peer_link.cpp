#include "base/peer_link.hpp"

#include <algorithm>
#include <cstdlib>

#include "base/frame.hpp"

namespace dockrock {

namespace {
constexpr auto header_numbers = std::size_t{5};  // including the checksum
constexpr auto header_size = header_numbers * sizeof(std::uint64_t);
constexpr auto mebibyte = Microseconds{1} << 20U;
}  // namespace

auto put_link_header(LinkHeader const& header, std::string_view frame) -> std::string {
    std::string bytes;
    bytes.reserve(header_size + frame.size());
    for (auto const number : {header.instance, header.number, header.heard_instance, header.heard_number})
        put_number(bytes, number);
    put_number(bytes, checksum_of(bytes));
    return bytes.append(frame);
}

auto take_link_header(std::string_view& bytes) -> std::optional<LinkHeader> {
    if (bytes.size() < header_size) return std::nullopt;
    auto head = bytes.substr(0, header_size);
    auto const checksum = checksum_of(head.substr(0, header_size - sizeof(std::uint64_t)));
    auto header = LinkHeader();
    for (auto* number : {&header.instance, &header.number, &header.heard_instance, &header.heard_number})
        *number = take_number(head).value_or(0);
    if (take_number(head) != checksum) return std::nullopt;
    bytes.remove_prefix(header_size);
    return header;
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

auto PeerLink::sent(std::uint64_t number, std::size_t bytes, Microseconds now, bool connected) -> void {
    last_number = number;
    last_at = now;
    last_connected = connected;
    if (timed_frame != 0) {
        behind_bytes += bytes;
        return;
    }
    timed_frame = number;
    timed_since = now;
    timed_connected = connected;
    timed_bytes = bytes;
    behind_bytes = 0;
    unacknowledged_for = 0;
}

auto PeerLink::frame_timeout() const -> Microseconds {
    auto const measured = std::max(times.min_timeout, round_trip.timeout());
    return std::min(measured << std::min(reconnects, times.max_doublings), times.max_timeout);
}

auto PeerLink::overdue(Microseconds now) const -> bool {
    if (timed_frame == 0) return false;
    auto const allowance = static_cast<Microseconds>(timed_bytes) * times.timeout_per_mebibyte / mebibyte;
    return now - timed_since > frame_timeout() + (allowance << std::min(reconnects, times.max_doublings));
}

// Acknowledges frames up to `number`. If later ones are outstanding, the last sent frame is timed next.
auto PeerLink::acknowledge(std::uint64_t number) -> void {
    if (timed_frame != 0) sample_round_trip();
    stalled = other_instance = false;
    timed_frame = number < last_number ? last_number : 0;
    timed_since = last_at;
    timed_connected = last_connected;
    timed_bytes = behind_bytes;
    behind_bytes = 0;
    unacknowledged_for = 0;
}

// Samples the round-trip time: the greatest age at which the frame was still missing in a frame from the peer. That
// does not depend on how often a healthy peer sends. Frames sent before the connection was open are no samples, nor
// are those acknowledged after their timeout, which would measure an outage: a slow link is measured on the next
// connection, with its doubled timeout.
auto PeerLink::sample_round_trip() -> void {
    if (!timed_connected || unacknowledged_for > frame_timeout()) return;
    round_trip.add(unacknowledged_for);
    reconnects = 0;
}

auto PeerLink::is_former(std::uint64_t instance) const -> bool {
    return instance != 0 &&
        std::find(former_instances.begin(), former_instances.end(), instance) != former_instances.end();
}

// Switches to another instance of the peer. Frames of a former instance may still come after the first of the next.
auto PeerLink::take_instance(std::uint64_t instance) -> void {
    if (instance == heard_instance) return;
    stalled = other_instance = heard_instance != 0 && last_number != 0;
    former_instances[next_former++ % former_instances.size()] = heard_instance;
    heard_instance = instance;
    heard_number = 0;
}

auto PeerLink::check_timeout(Microseconds now) -> void {
    if (timed_frame != 0) unacknowledged_for = std::max(unacknowledged_for, now - timed_since);
    if (overdue(now)) stalled = true;
}

// If the peer restarts several times during one outage, frames of its instances may come in any order. A former
// instance that keeps sending while the current one is silent is the running one.
auto PeerLink::heard(LinkHeader const& header, std::uint64_t own_life, Microseconds now) -> void {
    auto const silent = now - heard_at > times.instance_silence;
    if (header.instance != heard_instance && is_former(header.instance) && !silent) return;
    take_instance(header.instance);
    heard_at = now;
    heard_number = std::max(heard_number, header.number);
    auto const least = timed_frame != 0 ? timed_frame : last_number;
    if (header.heard_instance == own_life && least != 0 && header.heard_number >= least)
        return acknowledge(header.heard_number);
    check_timeout(now);
}

auto PeerLink::request_timed_out(Microseconds now) -> void { check_timeout(now); }

auto PeerLink::dialled() -> void {
    if (stalled) ++reconnects;
    stalled = other_instance = false;
    timed_frame = 0;
    timed_bytes = behind_bytes = 0;
    unacknowledged_for = 0;
}

}  // namespace dockrock

#include "process/transport.hpp"

#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <random>

#include "process/clock.hpp"
#include "process/log.hpp"

namespace dockrock {

namespace {

constexpr Microseconds dial_timeout = 200 * one_millisecond;
constexpr Microseconds attempt_limit = 700 * one_millisecond;  // a lost connection attempt is repeated after this
constexpr Microseconds longest_attempt = 1'400 * one_millisecond;
constexpr auto most_attempt_doublings = 3;
constexpr Microseconds unused_limit = 120 * one_second;
constexpr auto close_timeout = std::chrono::milliseconds(100);  // at the end, as part of the time to stop

// Doubles the time for each abandoned attempt, so that connections slower than the first limit can be established.
auto attempt_timeout(Microseconds first, int given_up) -> Microseconds {
    return std::min<Microseconds>(first << std::min(given_up, most_attempt_doublings), longest_attempt);
}

// Runs on a thread of the library until the socket is closed.
auto count_connections(nng_pipe, nng_pipe_ev event, void* counted) -> void {
    auto& connections = *static_cast<Transport::Peer::Connections*>(counted);
    connections.count += event == NNG_PIPE_EV_ADD_POST ? 1 : -1;
    if (event == NNG_PIPE_EV_REM_POST) ++*connections.lost;
}

}  // namespace

auto Transport::listen(std::string const& address) -> std::optional<ListenFailure> {
    auto failure = nng_socket_id(listener) > 0 ? 0 : nng_pull0_open(&listener);
    if (failure == 0) {
        nng_socket_set_size(listener, NNG_OPT_RECVMAXSZ, frame_limit);
        nng_socket_set_int(listener, NNG_OPT_RECVBUF, 256);
        failure = nng_listen(listener, ("tcp://" + address).c_str(), nullptr, 0);
    }
    if (failure == 0) return std::nullopt;
    return ListenFailure{
        "cannot listen on " + address + ": " + nng_strerror(failure),
        failure == NNG_EADDRINUSE || failure == NNG_EADDRINVAL};
}

auto Transport::begin_reading(std::string const& fleet_name, Heard heard) -> std::string {
    fleet = fleet_name;
    auto device = std::random_device();
    instance = ((static_cast<std::uint64_t>(device()) << 32U) ^ device()) | 1U;
    if (auto const failure = nng_aio_alloc(&receipt, nullptr, nullptr); failure != 0) return nng_strerror(failure);
    closer.start();
    reader = std::thread([this, heard = std::move(heard)] { read_frames(heard); });
    return "";
}

auto Transport::start(std::string const& address, std::string const& fleet_name, Heard heard) -> std::string {
    if (auto const failure = listen(address)) return failure->what;
    return begin_reading(fleet_name, std::move(heard));
}

auto Transport::read_frames(Heard const& heard) -> void {
    while (!stopping) {
        nng_recv_aio(listener, receipt);
        nng_aio_wait(receipt);
        if (nng_aio_result(receipt) != 0) continue;
        auto* const message = nng_aio_get_msg(receipt);
        auto const* const bytes = static_cast<char const*>(nng_msg_body(message));
        if (!hear(std::string_view(bytes, nng_msg_len(message)), heard)) ++malformed;
        nng_msg_free(message);
    }
}

auto Transport::send(std::string const& address, std::string const& frame, Microseconds now) -> void {
    auto const guard = std::lock_guard(lock);
    if (stopping) return;
    auto [place, fresh] = peers.try_emplace(address);
    auto& peer = place->second;
    auto& link = links[address];
    auto const stands = peer.connections->count > 0;
    if (stands) peer.attempts = {};
    auto const redial = !fresh && dial_due(peer, link, now);
    if (redial) {
        if (!stands) ++(peer.heard ? peer.attempts.while_heard : peer.attempts.in_silence);
        ++redials;
        write_log(
            Level::information, "peer-dialled-anew",
            fields(
                "address", address, "connections", peer.connections->count.load(), "hangs", link.stalled,
                "dialled_before_microseconds", now - peer.dialed_at));
        closer.close(peer.socket, std::exchange(peer.connections, std::make_shared<Peer::Connections>()));
    }
    if (fresh || redial) {
        link.dialled();
        if (!dial(address, peer, now)) {
            peers.erase(place);
            return;
        }
    }
    peer.used_at = now;
    auto const framed = put_link_header({instance, last_number + 1, link.heard_instance, link.heard_number}, frame);
    if (nng_send(peer.socket, const_cast<char*>(framed.data()), framed.size(), NNG_FLAG_NONBLOCK) == 0) {
        link.sent(++last_number, framed.size(), now, peer.connections->count > 0);
        ++sent;
    } else {
        ++dropped;
    }
    close_unused(now);
}

// The kernel repeats a lost SYN after a second and then after twice as long each time; it does the same with data
// sent into a network partition on a connection still considered established. A peer that is heard is up, so it is
// redialled if it was not reached yet or reports that our frames do not arrive. Queued frames are dropped.
auto Transport::dial_due(Peer const& peer, PeerLink const& link, Microseconds now) const -> bool {
    auto const since = now - peer.dialed_at;
    if (peer.connections->count > 0) return link.other_instance || (link.stalled && since > dial_timeout);
    auto const up = peer.heard || link.stalled;
    return since > (up ? attempt_timeout(dial_timeout, peer.attempts.while_heard)
                       : attempt_timeout(attempt_limit, peer.attempts.in_silence));
}

auto Transport::dial(std::string const& address, Peer& peer, Microseconds now) -> bool {
    if (nng_push0_open(&peer.socket) != 0) return false;
    ++dials;
    peer.dialed_at = now;
    peer.heard = false;
    peer.connections->lost = connections_lost;
    nng_socket_set_int(peer.socket, NNG_OPT_SENDBUF, 64);
    nng_socket_set_ms(peer.socket, NNG_OPT_RECONNMINT, 50);
    nng_socket_set_ms(peer.socket, NNG_OPT_RECONNMAXT, 400);
    nng_pipe_notify(peer.socket, NNG_PIPE_EV_ADD_POST, count_connections, peer.connections.get());
    nng_pipe_notify(peer.socket, NNG_PIPE_EV_REM_POST, count_connections, peer.connections.get());
    nng_dial(peer.socket, ("tcp://" + address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    return true;
}

auto Transport::record_heard(std::string const& address, LinkHeader const& note) -> void {
    auto const guard = std::lock_guard(lock);
    links[address].heard(note, instance, clock_now());
    auto const found = peers.find(address);
    if (found != peers.end()) found->second.heard = true;
}

auto Transport::hear(std::string_view bytes, Heard const& heard) -> bool {
    auto const note = take_link_header(bytes);
    if (!note) return false;
    auto frame = unpack_frame(bytes);
    if (!frame || frame->fleet != fleet) return false;
    ++received;
    record_heard(frame->sender_address, *note);
    heard(std::move(*frame));
    return true;
}

auto Transport::request_timed_out(std::string const& address, Microseconds now) -> void {
    auto const guard = std::lock_guard(lock);
    if (auto const found = links.find(address); found != links.end()) found->second.request_timed_out(now);
}

auto Transport::peers_seen(Microseconds now) -> std::vector<PeerSeen> {
    auto const guard = std::lock_guard(lock);
    std::vector<PeerSeen> seen;
    for (auto const& [address, peer] : peers)
        seen.push_back({address, peer.connections->count, peer.heard, now - peer.dialed_at});
    return seen;
}

auto Transport::close_unused(Microseconds now) -> void {
    for (auto other = peers.begin(); other != peers.end();) {
        if (now - other->second.used_at < unused_limit) {
            ++other;
            continue;
        }
        closer.close(other->second.socket, std::move(other->second.connections));
        links.erase(other->first);
        other = peers.erase(other);
    }
}

// The listening socket is closed last, since a blocked close delays those behind it.
auto Transport::stop() -> bool {
    stopping = true;
    if (receipt == nullptr) return true;
    nng_aio_stop(receipt);
    reader.join();
    nng_aio_free(receipt);
    receipt = nullptr;
    auto const guard = std::lock_guard(lock);
    for (auto& [address, peer] : peers) closer.close(peer.socket, std::move(peer.connections));
    peers.clear();
    closer.close(listener, nullptr);
    return closer.finish(close_timeout);
}

}  // namespace dockrock

#include "process/transport.hpp"

#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace dockrock {

auto Transport::start(std::string const& address, std::string const& fleet_name, Heard heard) -> std::string {
    fleet = fleet_name;
    if (auto const failure = nng_pull0_open(&listener); failure != 0) return nng_strerror(failure);
    nng_socket_set_size(listener, NNG_OPT_RECVMAXSZ, frame_limit);
    nng_socket_set_int(listener, NNG_OPT_RECVBUF, 256);
    if (auto const failure = nng_listen(listener, ("tcp://" + address).c_str(), nullptr, 0); failure != 0)
        return nng_strerror(failure);
    reader = std::thread([this, heard = std::move(heard)] {
        while (!stopping) {
            char* bytes = nullptr;
            auto size = std::size_t{0};
            auto const failure = nng_recv(listener, &bytes, &size, NNG_FLAG_ALLOC);
            if (failure == NNG_ECLOSED) return;
            if (failure != 0) continue;
            auto frame = unpack_frame(std::string_view(bytes, size));
            nng_free(bytes, size);
            if (!frame || frame->fleet != fleet) {
                ++malformed;
                continue;
            }
            ++received;
            heard(std::move(*frame));
        }
    });
    return "";
}

auto Transport::send(std::string const& address, std::string const& frame, Microseconds now) -> void {
    auto const guard = std::lock_guard(lock);
    if (stopping) return;
    auto [place, fresh] = peers.try_emplace(address);
    auto& peer = place->second;
    if (fresh) {
        if (nng_push0_open(&peer.socket) != 0) {
            peers.erase(place);
            return;
        }
        nng_socket_set_int(peer.socket, NNG_OPT_SENDBUF, 64);
        nng_socket_set_ms(peer.socket, NNG_OPT_RECONNMINT, 50);
        nng_socket_set_ms(peer.socket, NNG_OPT_RECONNMAXT, 400);
        nng_dial(peer.socket, ("tcp://" + address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    }
    peer.used_at = now;
    if (nng_send(peer.socket, const_cast<char*>(frame.data()), frame.size(), NNG_FLAG_NONBLOCK) == 0) ++sent;
    else ++dropped;
    for (auto other = peers.begin(); other != peers.end();) {  // addresses long unused are let go
        if (now - other->second.used_at < 120 * one_second) {
            ++other;
            continue;
        }
        nng_close(other->second.socket);
        other = peers.erase(other);
    }
}

auto Transport::stop() -> void {
    stopping = true;
    nng_close(listener);
    if (reader.joinable()) reader.join();
    auto const guard = std::lock_guard(lock);
    for (auto& [address, peer] : peers) nng_close(peer.socket);
    peers.clear();
}

}  // namespace dockrock

#pragma once
// nng between nodes: one PULL to hear, a PUSH to each peer. Neither repeats a
// message by itself. docs/design.md section 3.
#include <nng/nng.h>

#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "base/frame.hpp"
#include "base/peer_link.hpp"
#include "membership/membership.hpp"
#include "process/socket_closer.hpp"

namespace dockrock {

// A peer's connection, as the status tells of it.
struct PeerSeen {
    std::string address;
    int connections = 0;
    bool heard = false;  // since it was dialled
    Microseconds dialled_before = 0;
};

// Why an address was not taken.
struct ListenFailure {
    std::string what;
    bool in_use = false;  // it may be free later
};

struct Transport {
    using Heard = std::function<void(Frame&&)>;

    std::string fleet;
    nng_socket listener = NNG_SOCKET_INITIALIZER;
    nng_aio* receipt = nullptr;  // the one receive that is under way; once stopped, no other one begins
    std::mutex lock;
    struct Peer {
        nng_socket socket{};
        Microseconds used_at = 0;
        Microseconds dialed_at = 0;
        bool heard = false;  // since it was dialled: it is up, whatever became of the attempt
        struct Attempts {    // given up since a connection stood, by whether the peer was heard meanwhile
            int while_heard = 0;
            int in_silence = 0;
        };
        Attempts attempts;
        struct Connections {
            std::atomic<int> count{0};
            std::shared_ptr<std::atomic<std::uint64_t>> lost;
        };
        std::shared_ptr<Connections> connections = std::make_shared<Connections>();
    };
    std::map<std::string, Peer> peers;
    std::map<std::string, PeerLink> links;  // by address, also of those that are only heard
    std::uint64_t instance = 0;             // of this process; drawn at the start
    std::uint64_t last_number = 0;          // of all frames of this life
    std::thread reader;
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> dropped{0};
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> malformed{0};
    std::atomic<std::uint64_t> dials{0};
    std::atomic<std::uint64_t> redials{0};
    std::shared_ptr<std::atomic<std::uint64_t>> connections_lost = std::make_shared<std::atomic<std::uint64_t>>(0);

    // May be tried again where it failed. Frames that come wait until they are read.
    auto listen(std::string const& address) -> std::optional<ListenFailure>;
    // Once it listens. Empty, or what failed.
    auto begin_reading(std::string const& fleet_name, Heard heard) -> std::string;
    // Both.
    auto start(std::string const& address, std::string const& fleet_name, Heard heard) -> std::string;
    auto send(std::string const& address, std::string const& frame, Microseconds now) -> void;
    // It was asked something and did not answer in time.
    auto doubt(std::string const& address, Microseconds now) -> void;
    auto peers_seen(Microseconds now) -> std::vector<PeerSeen>;
    // False: sockets are still being closed. What they hold goes with the process.
    auto stop() -> bool;

   private:
    SocketCloser closer;

    auto read_frames(Heard const& heard) -> void;
    auto dial(std::string const& address, Peer& peer, Microseconds now) -> bool;
    auto mark_heard(std::string const& address, LinkHeader const& note) -> void;
    auto dial_due(Peer const& peer, PeerLink const& link, Microseconds now) const -> bool;
    auto hear(std::string_view bytes, Heard const& heard) -> bool;
    auto let_go_unused(Microseconds now) -> void;
};

}  // namespace dockrock

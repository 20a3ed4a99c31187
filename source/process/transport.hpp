#pragma once
// Messages between nodes over nng: one PULL socket to receive, a PUSH socket to each
// peer. Neither retransmits a message by itself. docs/design.md section 3.
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

// The state of a peer's connection, for `status`.
struct PeerSeen {
    std::string address;
    int connections = 0;
    bool heard = false;               // a frame has come from it since it was dialled
    Microseconds dialled_before = 0;  // time since it was dialled
};

// Why the node cannot listen on an address.
struct ListenFailure {
    std::string what;
    bool in_use = false;  // the address may become free later
};

struct Transport {
    using Heard = std::function<void(Frame&&)>;

    std::string fleet;
    nng_socket listener = NNG_SOCKET_INITIALIZER;
    nng_aio* receipt = nullptr;  // the single receive in progress; once stopped, no other one starts
    std::mutex lock;
    struct Peer {
        nng_socket socket{};
        Microseconds used_at = 0;
        Microseconds dialed_at = 0;
        bool heard = false;  // since it was dialled: the peer is up, even if the attempt failed
        struct Attempts {    // abandoned since the last established connection, by whether the peer was heard
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
    std::map<std::string, PeerLink> links;  // by address, also of peers that only send to this node
    std::uint64_t instance = 0;             // instance number of this process; drawn at the start
    std::uint64_t last_number = 0;          // of the last frame sent by this instance, to any peer
    std::thread reader;
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> dropped{0};
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> malformed{0};
    std::atomic<std::uint64_t> dials{0};
    std::atomic<std::uint64_t> redials{0};
    std::shared_ptr<std::atomic<std::uint64_t>> connections_lost = std::make_shared<std::atomic<std::uint64_t>>(0);

    // May be retried after a failure. Frames that arrive wait until begin_reading().
    auto listen(std::string const& address) -> std::optional<ListenFailure>;
    // Call after listen() succeeded. `heard` runs on the reader thread. Returns an error text, or empty.
    auto begin_reading(std::string const& fleet_name, Heard heard) -> std::string;
    // listen() and begin_reading().
    auto start(std::string const& address, std::string const& fleet_name, Heard heard) -> std::string;
    // Sends without blocking; a frame that finds the queue full is dropped and counted.
    auto send(std::string const& address, std::string const& frame, Microseconds now) -> void;
    // Reports that a peer did not answer a request in time.
    auto request_timed_out(std::string const& address, Microseconds now) -> void;
    auto peers_seen(Microseconds now) -> std::vector<PeerSeen>;
    // False: some sockets are still being closed; they are released when the process ends.
    auto stop() -> bool;

   private:
    SocketCloser closer;

    auto read_frames(Heard const& heard) -> void;
    auto dial(std::string const& address, Peer& peer, Microseconds now) -> bool;
    auto record_heard(std::string const& address, LinkHeader const& note) -> void;
    auto dial_due(Peer const& peer, PeerLink const& link, Microseconds now) const -> bool;
    auto hear(std::string_view bytes, Heard const& heard) -> bool;
    auto close_unused(Microseconds now) -> void;
};

}  // namespace dockrock

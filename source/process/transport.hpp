#pragma once
// nng between nodes: one PULL to hear, a PUSH to each peer. Neither repeats a
// message by itself. docs/design.md section 3.
#include <nng/nng.h>

#include <functional>
#include <mutex>
#include <thread>

#include "base/frame.hpp"
#include "membership/membership.hpp"

namespace dockrock {

struct Transport {
    using Heard = std::function<void(Frame&&)>;

    std::string fleet;
    nng_socket listener{};
    std::mutex lock;
    struct Peer {
        nng_socket socket{};
        Microseconds used_at = 0;
    };
    std::map<std::string, Peer> peers;
    std::thread reader;
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> dropped{0};
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> malformed{0};

    auto start(std::string const& address, std::string const& fleet_name, Heard heard)
        -> std::string;  // empty, or what failed
    auto send(std::string const& address, std::string const& frame, Microseconds now) -> void;
    auto stop() -> void;
};

}  // namespace dockrock

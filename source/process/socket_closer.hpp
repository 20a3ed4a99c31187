#pragma once
// Closes sockets of the messaging library. A close may block inside the library for ever while frames come in, and
// later closes block behind it, so only the closer's own thread waits for them. docs/design.md section 3.
#include <nng/nng.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>

namespace dockrock {

// Closes sockets one after another on its own thread.
struct SocketCloser {
    // Call before the first close, while a thread can be created: a running node may have reached its thread limit.
    auto start() -> void;
    // `kept` owns data that the socket's callbacks use; it is held until the socket is closed.
    auto close(nng_socket socket, std::shared_ptr<void const> kept) -> void;
    // Call after the last close. False: not all sockets are closed within `limit`; the thread then runs on, detached.
    auto finish(std::chrono::milliseconds limit) -> bool;

   private:
    struct Closing {
        nng_socket socket;
        std::shared_ptr<void const> kept;
    };
    struct Queue {  // outlives the closer if a close never returns
        std::mutex lock;
        std::condition_variable changed;
        std::deque<Closing> waiting;  // the first one is being closed
        bool last_known = false;
    };
    static auto run(Queue& queue) -> void;

    std::shared_ptr<Queue> queue = std::make_shared<Queue>();
    std::thread thread;
};

}  // namespace dockrock

#pragma once
// Closing sockets of the messaging library. A close may wait inside the library for ever while frames come in, and
// each later one behind it, so nobody else waits for one. docs/design.md section 3.
#include <nng/nng.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>

namespace dockrock {

// Closes sockets one after the other on a thread of its own.
struct SocketCloser {
    // Before the first one is closed, while there is room for a thread: a running node may have none.
    auto start() -> void;
    // `kept` is what callbacks of the socket use; it is held until the socket is closed.
    auto close(nng_socket socket, std::shared_ptr<void const> kept) -> void;
    // After the last one. False: not all are closed within `limit`; the thread then goes on to the end of the process.
    auto finish(std::chrono::milliseconds limit) -> bool;

   private:
    struct Closing {
        nng_socket socket;
        std::shared_ptr<void const> kept;
    };
    struct Queue {  // outlives the closer where a close does not end
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

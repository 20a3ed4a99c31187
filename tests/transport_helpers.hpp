#pragma once
// Addresses for transports under test, and a counter of received frames that tests can wait on.
#include <chrono>
#include <condition_variable>
#include <mutex>

#include "process/transport.hpp"

namespace dockrock::testing {

inline auto address_of(std::uint16_t port) -> std::string { return "127.0.0.1:" + std::to_string(port); }

struct Heard {
    std::mutex lock;
    std::condition_variable changed;
    std::size_t count = 0;

    auto hear() -> Transport::Heard {
        return [this](Frame&&) {
            auto const guard = std::lock_guard(lock);
            ++count;
            changed.notify_all();
        };
    }
    auto reaches(std::size_t wanted, std::chrono::milliseconds limit) -> bool {
        auto guard = std::unique_lock(lock);
        return changed.wait_for(guard, limit, [&] { return count >= wanted; });
    }
    auto now() -> std::size_t {
        auto const guard = std::lock_guard(lock);
        return count;
    }
};

}  // namespace dockrock::testing

#pragma once
// Frames heard by a transport under test, awaited by their count.
#include <chrono>
#include <condition_variable>
#include <mutex>

#include "process/transport.hpp"

namespace dockrock::testing {

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

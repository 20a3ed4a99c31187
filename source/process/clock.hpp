#pragma once
// A monotonic clock that includes time in which the machine was suspended. docs/design.md 5.3.
#include <time.h>

#include "base/basics.hpp"

namespace dockrock {

inline auto clock_now() -> Microseconds {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return static_cast<Microseconds>(time.tv_sec) * one_second + time.tv_nsec / 1'000;
}

}  // namespace dockrock

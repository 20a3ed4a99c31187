#pragma once
// Filters a stream of server-sent events: passes whole events only, in rising order, and remembers the last one,
// so that another replica can resume the stream after it. docs/platform.md section 5.
#include <cstdint>
#include <string>
#include <string_view>

namespace dockrock {

struct EventReader {
    std::string rest;          // an incomplete event
    std::int64_t last = -1;    // number of the last whole event that was passed on
    std::uint64_t passed = 0;  // whole events passed on
    bool too_long = false;     // an event exceeded `event_limit`: nothing more is passed

    static constexpr auto event_limit = std::size_t{1U << 20U};  // bytes

    // Returns the events that are whole with these bytes, unchanged. Leaves out events up to `last`, which a
    // resumed stream may repeat.
    auto take(std::string_view bytes) -> std::string;
    auto restart() -> void {  // before another replica resumes the stream
        rest.clear();
        searched = 0;
    }

   private:
    std::size_t searched = 0;  // leading bytes of `rest` known to contain no end of an event
};

}  // namespace dockrock

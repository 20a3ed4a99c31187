#pragma once
// Events of a stream as they pass: whole ones only, in rising order, and the
// last one that went out, so that another replica can go on after it.
// docs/platform.md section 5.
#include <cstdint>
#include <string>
#include <string_view>

namespace dockrock {

struct EventReader {
    std::string rest;          // the beginning of an event that is not whole yet
    std::int64_t last = -1;    // number of the last whole event that was passed on
    std::uint64_t passed = 0;  // whole events passed on
    bool too_long = false;     // an event beyond the limit: nothing more is passed

    static constexpr auto event_limit = std::size_t{1U << 20U};  // bytes

    // The whole events in what came, byte for byte. Events up to `last` that a
    // resumed run repeats are left out.
    auto take(std::string_view bytes) -> std::string;
    auto restart() -> void {  // another replica goes on
        rest.clear();
        searched = 0;
    }

   private:
    std::size_t searched = 0;  // bytes of `rest` in which no event ends
};

}  // namespace dockrock

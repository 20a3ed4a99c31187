#pragma once
// Simulated time: what is due, in order of time and then of asking.
#include <functional>
#include <queue>

#include "base/basics.hpp"

namespace dockrock::simulation {

struct Timeline {
    struct Event {
        Microseconds at = 0;
        std::uint64_t order = 0;
        std::function<void()> work;
        auto operator>(Event const& other) const -> bool {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t next_order = 0;

    auto at(Microseconds when, std::function<void()> work) -> void {
        events.push({when, next_order++, std::move(work)});
    }
    auto due(Microseconds until) const -> bool { return !events.empty() && events.top().at <= until; }
    auto take() -> Event {
        auto event = events.top();
        events.pop();
        return event;
    }
};

}  // namespace dockrock::simulation

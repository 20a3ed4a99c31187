#include "control/list_polling.hpp"

#include <algorithm>

namespace dockrock {

namespace {
constexpr Microseconds first_backoff = 400 * one_millisecond;
constexpr Microseconds longest_backoff = 3 * one_second;
}  // namespace

// Sets the intervals as fractions of the time in which a draining replica must stop getting requests (design 8.4).
auto ListPolling::configure(Microseconds drain, std::int64_t calls) -> void {
    interval = std::min(900 * one_millisecond, drain * 3 / 10);
    fallback = std::min(2 * one_second, drain * 2 / 3);
    spread = drain / 10;
    page_limit = drain / 6;
    calls_each_second = std::max<std::int64_t>(1, calls);
}

// The window over which nodes spread their reads. If one read by each node exceeds half of the rate limit
// in a second, the window is so long that all nodes together stay within half of the limit.
auto ListPolling::spread_window(std::size_t members) const -> Microseconds {
    auto const calls = static_cast<Microseconds>(members * pages);
    return 2 * calls <= calls_each_second ? spread : std::max(spread, calls * 2 * one_second / calls_each_second);
}

auto ListPolling::due(ListView const& view, Microseconds now, Random& random) -> bool {
    if (view.leader) {
        read_at.reset();
        return now >= not_before && now - began_at >= interval;
    }
    if (view.resting || now - view.list_at <= fallback) {
        read_at.reset();
        return false;
    }
    if (!read_at)
        read_at =
            now + static_cast<Microseconds>(random.below(static_cast<std::uint64_t>(spread_window(view.members))));
    return now >= *read_at && now >= not_before;
}

auto ListPolling::record_start(Microseconds now) -> void {
    began_at = now;
    read_at.reset();
}

auto ListPolling::record_success(std::size_t read_pages) -> void {
    pages = std::max<std::size_t>(1, read_pages);
    backoff = 0;
}

// Exponential backoff with jitter, so that nodes don't retry in step.
auto ListPolling::record_failure(ListView const& view, Microseconds now, Random& random) -> void {
    auto const most = view.leader ? longest_backoff : std::max(longest_backoff, spread_window(view.members));
    backoff = std::min(most, backoff == 0 ? first_backoff : 2 * backoff);
    not_before = now + backoff / 2 + static_cast<Microseconds>(random.below(static_cast<std::uint64_t>(backoff / 2)));
}

}  // namespace dockrock

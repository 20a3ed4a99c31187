#include "process/pause.hpp"

namespace dockrock {

auto pause(Microseconds length) -> awaitable<void> {
    auto timer = asio::steady_timer(co_await asio::this_coro::executor, std::chrono::microseconds(length));
    co_await timer.async_wait(use_tuple);
}

}  // namespace dockrock

#include "process/socket_closer.hpp"

namespace dockrock {

auto SocketCloser::run(Queue& queue) -> void {
    auto guard = std::unique_lock(queue.lock);
    while (true) {
        queue.changed.wait(guard, [&] { return !queue.waiting.empty() || queue.last_known; });
        if (queue.waiting.empty()) return;
        auto const socket = queue.waiting.front().socket;
        guard.unlock();
        nng_close(socket);
        guard.lock();
        queue.waiting.pop_front();
        queue.changed.notify_all();
    }
}

auto SocketCloser::start() -> void {
    if (!thread.joinable()) thread = std::thread([queue = queue] { run(*queue); });
}

auto SocketCloser::close(nng_socket socket, std::shared_ptr<void const> kept) -> void {
    auto const guard = std::lock_guard(queue->lock);
    queue->waiting.push_back({socket, std::move(kept)});
    queue->changed.notify_all();
}

auto SocketCloser::finish(std::chrono::milliseconds limit) -> bool {
    if (!thread.joinable()) return true;
    auto guard = std::unique_lock(queue->lock);
    queue->last_known = true;
    queue->changed.notify_all();
    auto const in_time = queue->changed.wait_for(guard, limit, [&] { return queue->waiting.empty(); });
    guard.unlock();
    if (in_time) thread.join();
    else thread.detach();
    return in_time;
}

}  // namespace dockrock

#include "process/spawn.hpp"

#include "process/log.hpp"

namespace dockrock {

namespace {

auto reason_of(std::exception_ptr const& failure) -> std::string {
    try {
        std::rethrow_exception(failure);
    } catch (std::exception const& thrown) { return thrown.what(); } catch (...) {
        return "an exception of an unknown type";
    }
}

}  // namespace

auto spawn_connection(Counters& counters, asio::any_io_executor executor, awaitable<void> served) -> void {
    asio::co_spawn(std::move(executor), std::move(served), [&counters](std::exception_ptr const& failure) {
        if (!failure) return;
        ++counters.connections_failed;
        write_log(Level::failure, "connection-failed", fields("what", reason_of(failure)));
    });
}

auto spawn_essential(asio::any_io_executor executor, awaitable<void> work) -> void {
    asio::co_spawn(std::move(executor), std::move(work), [](std::exception_ptr const& failure) {
        if (failure) std::rethrow_exception(failure);
    });
}

}  // namespace dockrock

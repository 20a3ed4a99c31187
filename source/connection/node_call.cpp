#include "connection/node_call.hpp"

#include <algorithm>

#include "process/clock.hpp"
#include "process/pause.hpp"

namespace dockrock {

namespace {

constexpr auto copies_of_change = std::uint64_t{16};  // while it is sent, validated, held, saved and replicated
constexpr auto copies_of_read = std::uint64_t{3};     // call result, HTTP response, and serialized output
constexpr Microseconds memory_wait_limit =
    one_second / 2;  // operators switch to another node after 1 s without a response
constexpr Microseconds memory_poll_interval = 20 * one_millisecond;

// At most half of the memory budget, so that a single call can always be admitted.
auto memory_for(Node const& node, Call const& call) -> std::uint64_t {
    auto const wanted = call.operation == "get" ? copies_of_read * node.snapshot.load()->document_bytes
                                                : copies_of_change * call.body.size();
    return std::min(wanted, node.message_memory.limit() / 2);
}

auto no_memory_response() -> CallDone { return {"", 0, 503, R"({"error":"no room for the call now"})", ""}; }

auto await_memory(MemoryReservation& room, std::uint64_t bytes) -> awaitable<bool> {
    auto const limit = clock_now() + memory_wait_limit;
    while (!room.grow_to(bytes)) {
        if (clock_now() >= limit) co_return false;
        co_await pause(memory_poll_interval);
    }
    co_return true;
}

auto await_control_call(Node& node, Call call) -> awaitable<CallDone> {
    auto const executor = co_await asio::this_coro::executor;
    co_return co_await asio::async_initiate<asio::use_awaitable_t<> const, void(CallDone)>(
        [&](auto handler) {
            auto const shared = std::make_shared<decltype(handler)>(std::move(handler));
            auto complete = [executor, shared](CallDone done) {
                asio::post(
                    executor, [shared, done = std::move(done)]() mutable { std::move (*shared)(std::move(done)); });
            };
            if (call.operation == "form-anew") node.recover_fleet(std::move(complete));
            else node.make_call(std::move(call), std::move(complete));
        },
        asio::use_awaitable);
}

}  // namespace

auto node_call(Node& node, Call call, MemoryReservation& room) -> awaitable<CallDone> {
    auto const bytes = memory_for(node, call);
    if (!co_await await_memory(room, bytes)) co_return no_memory_response();
    co_return co_await await_control_call(node, std::move(call));
}

}  // namespace dockrock

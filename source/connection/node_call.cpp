#include "connection/node_call.hpp"

#include <algorithm>

#include "process/clock.hpp"
#include "process/pause.hpp"

namespace dockrock {

namespace {

constexpr auto copies_of_change = std::uint64_t{16};  // on its way, and where it is judged, kept, saved and told on
constexpr auto copies_of_read = std::uint64_t{3};     // answered, in the response, and as it is written
constexpr Microseconds room_limit = one_second / 2;   // operators turn to another node after a second of silence
constexpr Microseconds room_look_interval = 20 * one_millisecond;

// No more than half of the budget, so that one call always finds room.
auto room_for(Node const& node, Call const& call) -> std::uint64_t {
    auto const wanted = call.operation == "get" ? copies_of_read * node.snapshot.load()->document_bytes
                                                : copies_of_change * call.body.size();
    return std::min(wanted, node.message_memory.limit() / 2);
}

auto without_room() -> CallDone { return {"", 0, 503, R"({"error":"no room for the call now"})", ""}; }

auto await_room(MemoryReservation& room, std::uint64_t bytes) -> awaitable<bool> {
    auto const limit = clock_now() + room_limit;
    while (!room.grow_to(bytes)) {
        if (clock_now() >= limit) co_return false;
        co_await pause(room_look_interval);
    }
    co_return true;
}

auto made_call(Node& node, Call call) -> awaitable<CallDone> {
    auto const executor = co_await asio::this_coro::executor;
    co_return co_await asio::async_initiate<asio::use_awaitable_t<> const, void(CallDone)>(
        [&](auto handler) {
            auto const shared = std::make_shared<decltype(handler)>(std::move(handler));
            auto told = [executor, shared](CallDone done) {
                asio::post(
                    executor, [shared, done = std::move(done)]() mutable { std::move (*shared)(std::move(done)); });
            };
            if (call.operation == "form-anew") node.recover_fleet(std::move(told));
            else node.make_call(std::move(call), std::move(told));
        },
        asio::use_awaitable);
}

}  // namespace

auto node_call(Node& node, Call call, MemoryReservation& room) -> awaitable<CallDone> {
    auto const bytes = room_for(node, call);
    if (!co_await await_room(room, bytes)) co_return without_room();
    co_return co_await made_call(node, std::move(call));
}

}  // namespace dockrock

// The effect of an exception that leaves one of the node's coroutines. docs/design.md section 14.
#include <catch2/catch.hpp>

#include "process/loop_entry.hpp"
#include "process/spawn.hpp"

using namespace dockrock;

namespace {

auto failing(std::atomic<int>& open) -> awaitable<void> {
    auto const counted = CountedScope(open);
    co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
    throw std::length_error("too long");
}

auto working(int& done) -> awaitable<void> {
    co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
    ++done;
}

}  // namespace

// Guards against an exception of one connection that ends the node, or that is dropped silently.
TEST_CASE("an exception of one connection ends only that one, is counted, and leaves no open count behind") {
    auto context = asio::io_context(1);
    Counters counters;
    auto open = std::atomic<int>(0);
    auto done = 0;
    spawn_connection(counters, context.get_executor(), failing(open));
    spawn_connection(counters, context.get_executor(), working(done));
    context.run();
    CHECK(counters.connections_failed == 1);
    CHECK(open == 0);
    CHECK(done == 1);
}

TEST_CASE("an exception of a loop that the node needs ends the process") {
    auto context = asio::io_context(1);
    auto open = std::atomic<int>(0);
    spawn_essential(context.get_executor(), failing(open));
    CHECK_THROWS_AS(context.run(), std::length_error);
}

TEST_CASE("a loop that ends by an exception leaves its name free for another one") {
    auto lock = std::mutex();
    auto names = std::set<std::string>{"life-1", "life-2"};
    try {
        auto const entry = LoopEntry(lock, names, "life-1");
        throw std::length_error("too long");
    } catch (std::length_error const&) { CHECK(names == std::set<std::string>{"life-2"}); }
}

#pragma once
// How the node's coroutines are started, by what an exception that leaves one means. `asio::detached` would drop it in
// silence: the node would go on without the loop. docs/design.md section 14.
#include "connection/http_client.hpp"
#include "process/counters.hpp"

namespace dockrock {

// Counts something open for as long as it lives, also where an exception ends it.
struct CountedScope {
    std::atomic<int>& count;
    explicit CountedScope(std::atomic<int>& counter) : count(counter) { ++count; }
    CountedScope(CountedScope const&) = delete;
    ~CountedScope() { --count; }
};

// What serves one connection, or asks one peer. An exception ends that alone: it is logged and counted in
// `connections_failed`.
auto spawn_connection(Counters& counters, asio::any_io_executor executor, awaitable<void> served) -> void;

// What the node can't do without. An exception ends the process, which tells it.
auto spawn_essential(asio::any_io_executor executor, awaitable<void> work) -> void;

}  // namespace dockrock

#pragma once
// Starts the node's coroutines, with handling for exceptions that leave one. `asio::detached` would drop such an
// exception silently, and the node would go on without the loop. docs/design.md section 14.
#include "connection/http_client.hpp"
#include "process/counters.hpp"

namespace dockrock {

// Increments a counter for the lifetime of a scope, also if an exception ends it.
struct CountedScope {
    std::atomic<int>& count;
    explicit CountedScope(std::atomic<int>& counter) : count(counter) { ++count; }
    CountedScope(CountedScope const&) = delete;
    ~CountedScope() { --count; }
};

// For work on one connection or one peer. An exception ends only this coroutine: it is logged and counted in
// `connections_failed`.
auto spawn_connection(Counters& counters, asio::any_io_executor executor, awaitable<void> served) -> void;

// For work that the node cannot run without. An exception ends the process, which reports it on standard error.
auto spawn_essential(asio::any_io_executor executor, awaitable<void> work) -> void;

}  // namespace dockrock

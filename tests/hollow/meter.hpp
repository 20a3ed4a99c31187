#pragma once
// What the code under measure costs: processor time of this thread, and live
// bytes of the heap by account (one for each hollow node). docs/CAPACITY.md.
#include <cstdint>

namespace dockrock::hollow {

inline constexpr auto most_accounts = 4'096;
inline constexpr auto no_account = 0;  // the tool's own

auto processor_nanoseconds() -> std::int64_t;  // of this thread
auto live_bytes(int account) -> std::int64_t;  // 0 where allocations are not counted (sanitizers)
auto use_account(int account) -> int;          // from now on; gives the one before

// Processor time of a scope, added to a sum, less what reading the clock takes.
struct Stopwatch {
    std::int64_t& sum;
    int before;
    std::int64_t began;
    Stopwatch(std::int64_t& into, int account)
        : sum(into),
          before(use_account(account)),
          began(processor_nanoseconds()) {}
    ~Stopwatch();
    Stopwatch(Stopwatch const&) = delete;
    auto operator=(Stopwatch const&) -> Stopwatch& = delete;
};

}  // namespace dockrock::hollow

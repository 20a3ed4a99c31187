#pragma once
// Bytes that a process may hold at once of what its peers send: whoever keeps a message takes its size from one budget
// and gives it back at the end. docs/CAPACITY.md.
#include <atomic>
#include <cstdint>
#include <limits>

namespace dockrock {

// Safe to use by several threads.
class MemoryBudget {
   public:
    static constexpr auto unlimited = std::numeric_limits<std::uint64_t>::max();

    // Bytes; before the first one is taken.
    auto set_most(std::uint64_t bytes) -> void { most_bytes = bytes; }
    auto most() const -> std::uint64_t { return most_bytes; }
    auto used() const -> std::uint64_t { return used_bytes; }
    auto refusals() const -> std::uint64_t { return refused; }
    // False, and nothing taken, where less is left.
    auto take(std::uint64_t bytes) -> bool;
    auto give_back(std::uint64_t bytes) -> void { used_bytes -= bytes; }

   private:
    std::uint64_t most_bytes = unlimited;
    std::atomic<std::uint64_t> used_bytes{0};
    std::atomic<std::uint64_t> refused{0};
};

// What one message has taken; given back with it.
class MemoryShare {
   public:
    // A message that holds no more than this costs nothing: their number is bounded by that of the connections.
    static constexpr auto free_bytes = std::uint64_t{24U << 10U};

    explicit MemoryShare(MemoryBudget& from) : budget(from) {}
    MemoryShare(MemoryShare const&) = delete;
    ~MemoryShare() { budget.give_back(taken); }
    // Takes what is missing for a message of `bytes`. False where that is not left.
    auto grow_to(std::uint64_t bytes) -> bool;
    // Gives back what a message of `bytes` has too much.
    auto shrink_to(std::uint64_t bytes) -> void;

   private:
    MemoryBudget& budget;
    std::uint64_t taken = 0;
};

}  // namespace dockrock

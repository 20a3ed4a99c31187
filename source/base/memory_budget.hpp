#pragma once
// Limits the bytes of received messages that a process holds at once: whoever keeps a message reserves its size from
// one shared budget and releases it at the end. docs/CAPACITY.md.
#include <atomic>
#include <cstdint>
#include <limits>

namespace dockrock {

// Thread-safe, except set_limit.
class MemoryBudget {
   public:
    static constexpr auto unlimited = std::numeric_limits<std::uint64_t>::max();

    // In bytes. Must be called before the first reservation.
    auto set_limit(std::uint64_t bytes) -> void { limit_bytes = bytes; }
    auto limit() const -> std::uint64_t { return limit_bytes; }
    auto used() const -> std::uint64_t { return used_bytes; }
    auto refusals() const -> std::uint64_t { return refused; }
    // Reserves the bytes; returns false and reserves nothing where fewer are free.
    auto take(std::uint64_t bytes) -> bool;
    auto release(std::uint64_t bytes) -> void { used_bytes -= bytes; }

   private:
    std::uint64_t limit_bytes = unlimited;
    std::atomic<std::uint64_t> used_bytes{0};
    std::atomic<std::uint64_t> refused{0};
};

// The reservation of one message, released on destruction.
class MemoryReservation {
   public:
    // Messages up to this size need no reservation: the number of connections already bounds their total.
    static constexpr auto free_bytes = std::uint64_t{24U << 10U};

    explicit MemoryReservation(MemoryBudget& from) : budget(from) {}
    MemoryReservation(MemoryReservation const&) = delete;
    ~MemoryReservation() { budget.release(reserved); }
    // Raises the reservation to cover a message of `bytes`. Returns false where the budget does not allow it.
    auto grow_to(std::uint64_t bytes) -> bool;
    // Releases what exceeds the needs of a message of `bytes`.
    auto shrink_to(std::uint64_t bytes) -> void;

   private:
    MemoryBudget& budget;
    std::uint64_t reserved = 0;
};

}  // namespace dockrock

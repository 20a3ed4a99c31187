#include "base/memory_budget.hpp"

namespace dockrock {

auto MemoryBudget::take(std::uint64_t bytes) -> bool {
    auto used_now = used_bytes.load();
    do {
        if (bytes > limit_bytes - used_now) {
            ++refused;
            return false;
        }
    } while (!used_bytes.compare_exchange_weak(used_now, used_now + bytes));
    return true;
}

auto MemoryReservation::grow_to(std::uint64_t bytes) -> bool {
    if (bytes <= free_bytes || bytes <= reserved) return true;
    if (!budget.take(bytes - reserved)) return false;
    reserved = bytes;
    return true;
}

auto MemoryReservation::shrink_to(std::uint64_t bytes) -> void {
    auto const kept = bytes <= free_bytes ? 0 : bytes;
    if (kept >= reserved) return;
    budget.release(reserved - kept);
    reserved = kept;
}

}  // namespace dockrock

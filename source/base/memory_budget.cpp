#include "base/memory_budget.hpp"

namespace dockrock {

auto MemoryBudget::take(std::uint64_t bytes) -> bool {
    auto used_now = used_bytes.load();
    do {
        if (bytes > most_bytes - used_now) {
            ++refused;
            return false;
        }
    } while (!used_bytes.compare_exchange_weak(used_now, used_now + bytes));
    return true;
}

auto MemoryShare::grow_to(std::uint64_t bytes) -> bool {
    if (bytes <= free_bytes || bytes <= taken) return true;
    if (!budget.take(bytes - taken)) return false;
    taken = bytes;
    return true;
}

auto MemoryShare::shrink_to(std::uint64_t bytes) -> void {
    auto const kept = bytes <= free_bytes ? 0 : bytes;
    if (kept >= taken) return;
    budget.give_back(taken - kept);
    taken = kept;
}

}  // namespace dockrock

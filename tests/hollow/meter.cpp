#include "meter.hpp"

#include <ctime>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

// One thread only: this program has no other.
std::array<std::int64_t, dockrock::hollow::most_accounts> accounts{};
int current_account = dockrock::hollow::no_account;

#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
struct alignas(std::max_align_t) Header {
    std::int64_t bytes;
    std::int64_t account;
};
static_assert(sizeof(Header) == 16 || sizeof(Header) == 32);

auto take(std::size_t size) -> void* {
    auto* const memory = std::malloc(size + sizeof(Header));
    if (memory == nullptr) throw std::bad_alloc();
    // What the heap itself spends on the block counts; this header does not.
    auto const bytes = static_cast<std::int64_t>(malloc_usable_size(memory) + 8 - sizeof(Header));
    auto* const header = new (memory) Header{bytes, current_account};
    accounts[static_cast<std::size_t>(current_account)] += bytes;
    return header + 1;
}

auto give_back(void* memory) -> void {
    if (memory == nullptr) return;
    auto* const header = static_cast<Header*>(memory) - 1;
    accounts[static_cast<std::size_t>(header->account)] -= header->bytes;
    std::free(header);
}
#endif

auto reading_cost() -> std::int64_t {
    static auto const cost = [] {
        auto least = std::int64_t{1'000'000};
        for (auto count = 0; count < 2'000; ++count) {
            auto const began = dockrock::hollow::processor_nanoseconds();
            least = std::min(least, dockrock::hollow::processor_nanoseconds() - began);
        }
        return least;
    }();
    return cost;
}

}  // namespace

#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
auto operator new(std::size_t size) -> void* { return take(size); }
auto operator new[](std::size_t size) -> void* { return take(size); }
auto operator delete(void* memory) noexcept -> void { give_back(memory); }
auto operator delete[](void* memory) noexcept -> void { give_back(memory); }
auto operator delete(void* memory, std::size_t) noexcept -> void { give_back(memory); }
auto operator delete[](void* memory, std::size_t) noexcept -> void { give_back(memory); }
#endif

namespace dockrock::hollow {

auto processor_nanoseconds() -> std::int64_t {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<std::int64_t>(time.tv_sec) * 1'000'000'000 + time.tv_nsec;
}

auto live_bytes(int account) -> std::int64_t { return accounts[static_cast<std::size_t>(account)]; }

auto use_account(int account) -> int {
    auto const before = current_account;
    current_account = account;
    return before;
}

Stopwatch::~Stopwatch() {
    sum += std::max<std::int64_t>(0, processor_nanoseconds() - began - reading_cost());
    use_account(before);
}

}  // namespace dockrock::hollow

#include "process/footprint.hpp"

#include <malloc.h>
#include <pthread.h>
#include <sys/mman.h>

#include <cstddef>

namespace dockrock {

namespace {

constexpr auto thread_stack_bytes = std::size_t{1} << 20U;
constexpr auto arenas = 1;                              // each further arena reserves 64 MiB of address space
constexpr auto mapped_from = 256 << 10U;                // bytes: larger allocations return to the system when freed
constexpr auto kept_at_top = 2 << 20U;                  // bytes that free() may retain at the top of the heap
constexpr auto start_needs = std::uint64_t{56} << 20U;  // bytes: forty stacks and the start's other memory
constexpr auto least_descriptors = std::uint64_t{64};

}  // namespace

auto limit_footprint() -> void {
    pthread_attr_t attributes;
    if (pthread_attr_init(&attributes) == 0) {
        pthread_attr_setstacksize(&attributes, thread_stack_bytes);
        pthread_setattr_default_np(&attributes);
        pthread_attr_destroy(&attributes);
    }
    mallopt(M_ARENA_MAX, arenas);
    mallopt(M_MMAP_THRESHOLD, mapped_from);
    mallopt(M_TRIM_THRESHOLD, kept_at_top);
}

auto missing_for_start(MachineLimits const& limits) -> std::string {
    if (limits.resident < start_needs)
        return "resident memory: " + std::to_string(limits.resident) + " bytes are allowed, the start needs " +
            std::to_string(start_needs);
    if (limits.descriptors < least_descriptors)
        return "descriptors: " + std::to_string(limits.descriptors) + " are allowed, a node needs at least " +
            std::to_string(least_descriptors);
    auto* const probe = ::mmap(nullptr, start_needs, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
    if (probe == MAP_FAILED)
        return "memory: the start needs " + std::to_string(start_needs) + " bytes more than are in use now";
    ::munmap(probe, start_needs);
    return {};
}

}  // namespace dockrock

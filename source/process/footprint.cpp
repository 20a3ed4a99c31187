#include "process/footprint.hpp"

#include <malloc.h>
#include <pthread.h>

#include <cstddef>

namespace dockrock {

namespace {

constexpr auto thread_stack_bytes = std::size_t{1} << 20U;
constexpr auto arenas = 1;                // each further one reserves 64 MiB of address space
constexpr auto mapped_from = 256 << 10U;  // bytes: larger pieces go back to the system as they are freed
constexpr auto kept_at_top = 2 << 20U;    // bytes

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

}  // namespace dockrock

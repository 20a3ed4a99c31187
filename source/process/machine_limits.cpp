#include "process/machine_limits.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

#include "base/memory_budget.hpp"

namespace dockrock {

namespace {

// The fraction parts/whole of a limit.
struct Share {
    std::uint64_t parts;
    std::uint64_t whole;

    auto of(std::uint64_t limit) const -> std::uint64_t { return limit == no_limit ? no_limit : limit / whole * parts; }
};
constexpr auto descriptor_share = Share{3, 4};                                  // for client connections
constexpr auto connection_share = Share{3, 8};                                  // of the memory, for connections
constexpr auto message_share = Share{3, 8};                                     // of the memory, for messages
constexpr auto connection_bytes = MemoryReservation::free_bytes + (8U << 10U);  // idle, with one unbudgeted message
static_assert(no_limit == MemoryBudget::unlimited);

constexpr auto one_megabyte = std::uint64_t{1'000'000};
constexpr auto one_kibibyte = std::uint64_t{1} << 10U;  // the unit of /proc/self/status

auto kernel_limit(__rlimit_resource which) -> std::uint64_t {
    auto limit = rlimit{};
    if (::getrlimit(which, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return no_limit;
    return limit.rlim_cur;
}

auto configured_limit(std::int64_t number, std::uint64_t unit) -> std::uint64_t {
    return number > 0 ? static_cast<std::uint64_t>(number) * unit : no_limit;
}

auto left_of(std::uint64_t limit, std::uint64_t used) -> std::uint64_t {
    return limit == no_limit ? no_limit : limit - std::min(limit, used);
}

auto open_descriptors() -> std::uint64_t {
    std::error_code failure;
    auto const entries = std::filesystem::directory_iterator("/proc/self/fd", failure);
    if (failure) return 0;
    return static_cast<std::uint64_t>(std::distance(begin(entries), end(entries)));
}

}  // namespace

auto MachineLimits::memory() const -> std::uint64_t { return std::min({resident, address_space, data}); }

auto machine_limits_of(NodeSettings const& settings) -> MachineLimits {
    MachineLimits limits;
    limits.resident = configured_limit(settings.memory_limit_megabytes, one_megabyte);
    limits.address_space = kernel_limit(RLIMIT_AS);
    limits.data = kernel_limit(RLIMIT_DATA);
    limits.stack = kernel_limit(RLIMIT_STACK);
    limits.descriptors = std::min(configured_limit(settings.descriptor_limit, 1), kernel_limit(RLIMIT_NOFILE));
    limits.threads = kernel_limit(RLIMIT_NPROC);
    return limits;
}

auto process_use() -> ProcessUse {
    ProcessUse use;
    auto const sizes = std::to_array<std::pair<std::string_view, std::uint64_t*>>(
        {{"VmRSS:", &use.resident},
         {"VmHWM:", &use.resident_peak},
         {"VmSize:", &use.address_space},
         {"VmData:", &use.data}});
    auto status = std::ifstream("/proc/self/status");
    for (auto line = std::string(); std::getline(status, line);) {
        auto words = std::istringstream(line);
        auto name = std::string();
        auto number = std::uint64_t{0};
        words >> name >> number;
        for (auto const& [known, into] : sizes)
            if (name == known) *into = number * one_kibibyte;
        if (name == "Threads:") use.threads = number;
    }
    use.descriptors = open_descriptors();
    return use;
}

auto node_shares(MachineLimits const& limits, ProcessUse const& in_use) -> NodeShares {
    auto const memory = std::min(
        {left_of(limits.resident, in_use.resident), left_of(limits.address_space, in_use.address_space),
         left_of(limits.data, in_use.data)});
    NodeShares shares;
    shares.message_memory = message_share.of(memory);
    shares.client_connections = descriptor_share.of(limits.descriptors);
    if (memory != no_limit)
        shares.client_connections = std::min(shares.client_connections, connection_share.of(memory) / connection_bytes);
    return shares;
}

auto write_limits(MachineLimits const& limits) -> json::object {
    json::object written;
    auto const put = [&](char const* name, std::uint64_t limit) {
        if (limit != no_limit) written[name] = limit;
    };
    put("resident_bytes", limits.resident);
    put("address_space_bytes", limits.address_space);
    put("data_bytes", limits.data);
    put("stack_bytes", limits.stack);
    put("descriptors", limits.descriptors);
    put("threads_of_user", limits.threads);
    return written;
}

auto write_use(ProcessUse const& use) -> json::object {
    return fields(
        "resident_bytes", use.resident, "resident_peak_bytes", use.resident_peak, "address_space_bytes",
        use.address_space, "data_bytes", use.data, "threads", use.threads, "descriptors", use.descriptors);
}

}  // namespace dockrock

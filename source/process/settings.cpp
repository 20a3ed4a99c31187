#include "process/settings.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <fstream>
#include <iterator>

#include "scheduling/options.hpp"

namespace dockrock {

namespace {

constexpr auto most_megabytes = std::int64_t{1} << 24U;
constexpr auto most_descriptors = std::int64_t{1} << 24U;

}  // namespace

auto is_address(std::string const& text) -> bool {
    auto const colon = text.rfind(':');
    if (colon == std::string::npos) return false;
    boost::system::error_code failure;
    boost::asio::ip::make_address(text.substr(0, colon), failure);
    auto port = 0;
    auto const [end, error] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    return !failure && error == std::errc{} && end == text.data() + text.size() && port > 0 && port < 65'536;
}

auto check_settings(NodeSettings const& settings) -> Problems {
    Problems problems;
    auto const address = [&](std::string const& value, char const* path, bool needed) {
        if ((needed || !value.empty()) && !is_address(value)) problems.push_back({path, "must be IP:port"});
    };
    address(settings.control_address, "/control_address", true);
    address(settings.http_address, "/http_address", true);
    address(settings.control_listen, "/control_listen", false);
    address(settings.platform_address, "/platform_address", false);
    if (settings.control_address == settings.http_address && !settings.http_address.empty())
        problems.push_back({"/http_address", "must differ from control_address"});
    if (settings.area.empty() || settings.area.size() > 64) problems.push_back({"/area", "must be 1 to 64 characters"});
    if (settings.fleet.empty() || settings.fleet.size() > 64)
        problems.push_back({"/fleet", "must be 1 to 64 characters"});
    if (settings.seeds.empty() || settings.seeds.size() > 16) problems.push_back({"/seeds", "1 to 16 are needed"});
    for (auto index = std::size_t{0}; index < settings.seeds.size(); ++index)
        if (!is_address(settings.seeds[index]))
            problems.push_back({"/seeds/" + std::to_string(index), "must be IP:port"});
    if (settings.core_count < 0 || settings.core_count > 15)
        problems.push_back({"/core_count", "must be 1 to 15, or 0 where it is not told"});
    if (!settings.operator_key_sha256.empty() && settings.operator_key_sha256.size() != 64)
        problems.push_back({"/operator_key_sha256", "must be 64 hexadecimal digits"});
    if (settings.stop_limit_milliseconds < 0 || settings.stop_limit_milliseconds > 600'000)
        problems.push_back({"/stop_limit_milliseconds", "must be 0 to 600000"});
    if (settings.stop_notice_milliseconds < 0 || settings.stop_notice_milliseconds > 60'000)
        problems.push_back({"/stop_notice_milliseconds", "must be 0 to 60000"});
    if (settings.workers < 1 || settings.workers > 64) problems.push_back({"/workers", "must be 1 to 64"});
    if (settings.weights_at_once < 1 || settings.weights_at_once > 1'000)
        problems.push_back({"/weights_at_once", "must be 1 to 1000"});
    if (settings.load_relays_from < 0 || settings.load_relays_from > 1'000'000)
        problems.push_back({"/load_relays_from", "must be 0 to 1000000"});
    if (settings.memory_limit_megabytes < 0 || settings.memory_limit_megabytes > most_megabytes)
        problems.push_back({"/memory_limit_megabytes", "must be 1 to 16777216, or 0 where it is not told"});
    if (settings.descriptor_limit < 0 || settings.descriptor_limit > most_descriptors)
        problems.push_back({"/descriptor_limit", "must be 1 to 16777216, or 0 where it is not told"});
    auto unused = SchedulingOptions();
    for (auto& problem : set_scheduling_options(settings.scheduling, unused)) problems.push_back(std::move(problem));
    auto const& level = settings.log_level;
    if (level != "debug" && level != "information" && level != "warning" && level != "failure")
        problems.push_back({"/log_level", "must be debug, information, warning or failure"});
    return problems;
}

// A key must be refused everywhere within `revoke` of its removal: a proof older than that, less the time a
// request takes to its replica, is not sufficient.
auto proof_limits_of(FleetBounds const& bounds) -> ProofLimits {
    auto const entry = std::max(bounds.revoke / 2, bounds.revoke - 500 * one_millisecond);
    return {entry, std::max(entry, bounds.revoke - 200 * one_millisecond)};
}

auto refusal_limit_of(FleetBounds const& bounds) -> Microseconds {
    return bounds.apply - std::min(bounds.apply / 4, 200 * one_millisecond);
}

// The slack is for the whole fleet, and all nodes may spend their stored retries at the same moment: a 26th of it
// for each node keeps the bound with up to 26 nodes. At least one, as less than one does not pay for a retry.
auto most_extra_tries(FleetBounds const& bounds) -> double {
    return std::max(1.0, static_cast<double>(bounds.retry_slack) / 26.0);
}

auto read_settings_file(std::string const& path, NodeSettings& into) -> Problems {
    auto stream = std::ifstream(path, std::ios::binary);
    if (!stream) return {{"", "cannot read " + path}};
    auto const text = std::string(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
    auto const parsed = parse_json(text);
    if (!parsed) return {{"", path + " is not JSON"}};
    Problems problems;
    read_json(*parsed, into, "", problems);
    return problems;
}

}  // namespace dockrock

#pragma once
// A node's own settings, from a file or flags. docs/design.md section 13.
#include "process/machine/reading.hpp"

namespace dockrock {

struct NodeSettings {
    std::string fleet = "dockrock";
    std::string control_address;  // IP:port other nodes reach
    std::string http_address;     // IP:port callers and operators reach
    std::string control_listen;   // where it listens, if others reach it by another address
    std::string area;
    std::vector<std::string> seeds;
    std::string data_folder;       // present on core nodes only
    std::string platform_address;  // where the replica list is read
    std::int64_t core_count = 4;
    std::string operator_key_sha256;  // where set, /control/ asks for this key
    std::string log_file;
    std::string log_level = "information";
    std::int64_t stop_limit_milliseconds = 20'000;
    std::int64_t workers = 2;
    bool resting = true;  // this node may be rested
};

auto check_settings(NodeSettings const& settings) -> Problems;
auto read_settings_file(std::string const& path, NodeSettings& into) -> Problems;
auto is_address(std::string const& text) -> bool;

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(
    dockrock::NodeSettings, fleet, control_address, http_address, control_listen, area, seeds, data_folder,
    platform_address, core_count, operator_key_sha256, log_file, log_level, stop_limit_milliseconds, workers, resting);

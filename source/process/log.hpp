#pragma once
// JSON-line logs through Boost.Log. Callers never log keys or request bodies.
// docs/design.md section 13.
#include <boost/json.hpp>
#include <string>

namespace dockrock {

enum class Level : int { debug, information, warning, failure };

auto start_log(std::string const& file, std::string const& node, Level least) -> void;
auto write_log(Level level, std::string_view event, boost::json::object fields = {}) -> void;
// Whether lines of this level are written.
auto log_writes(Level level) -> bool;
auto set_log_level(Level least) -> void;
auto level_of(std::string_view name) -> Level;

}  // namespace dockrock

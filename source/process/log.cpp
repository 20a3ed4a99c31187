#include "process/log.hpp"

#include <array>
#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <chrono>
#include <fstream>
#include <iostream>

namespace dockrock {

namespace {

inline constexpr auto level_names = std::to_array<std::string_view>({"debug", "information", "warning", "failure"});

struct LogState {
    std::string node;
    std::atomic<Level> least{Level::information};
    boost::log::sources::logger_mt logger;
};
auto log_state() -> LogState& {
    static LogState state;
    return state;
}

}  // namespace

auto level_of(std::string_view name) -> Level {
    for (auto index = std::size_t{0}; index < level_names.size(); ++index)
        if (level_names[index] == name) return static_cast<Level>(index);
    return Level::information;
}

auto start_log(std::string const& file, std::string const& node, Level least) -> void {
    namespace sinks = boost::log::sinks;
    log_state().node = node;
    log_state().least = least;
    auto backend = boost::make_shared<sinks::text_ostream_backend>();
    if (file.empty()) backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, [](auto const*) {}));
    else backend->add_stream(boost::make_shared<std::ofstream>(file, std::ios::app));
    backend->auto_flush(true);
    boost::log::core::get()->remove_all_sinks();
    boost::log::core::get()->add_sink(
        boost::make_shared<sinks::synchronous_sink<sinks::text_ostream_backend>>(backend));
}

auto log_writes(Level level) -> bool { return level >= log_state().least; }

auto set_log_level(Level least) -> void { log_state().least = least; }

auto write_log(Level level, std::string_view event, boost::json::object fields) -> void {
    auto& state = log_state();
    if (level < state.least) return;
    auto const now =
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count();
    boost::json::object line;
    line["time_microseconds"] = now;
    line["level"] = boost::json::string_view(
        level_names[static_cast<std::size_t>(level)].data(), level_names[static_cast<std::size_t>(level)].size());
    line["node"] = state.node;
    line["event"] = boost::json::string_view(event.data(), event.size());
    for (auto& item : fields) line[item.key()] = std::move(item.value());
    BOOST_LOG(state.logger) << boost::json::serialize(line);
}

}  // namespace dockrock

// dockrock-node: the router daemon, an edge or a core node depending on its settings. docs/design.md section 1.
#include <tclap/CmdLine.h>

#include "process/run_node.hpp"

namespace {

using namespace dockrock;

auto read_settings(int argument_count, char** arguments, NodeSettings& settings, NodeProgram& program) -> Problems {
    auto command = TCLAP::CmdLine(
        "dockrock-node: a router node of a dockrock fleet. With a data folder it is a core node and holds control "
        "state.",
        ' ', "0.1.0");
    auto file = TCLAP::ValueArg<std::string>(
        "s", "settings", "settings file (JSON); flags go before it", false, "", "FILE", command);
    auto check =
        TCLAP::SwitchArg("", "check-settings", "check the settings, print every problem, start nothing", command);
    auto control_address =
        TCLAP::ValueArg<std::string>("", "control-address", "IP:port for other nodes", false, "", "IP:PORT", command);
    auto control_listen = TCLAP::ValueArg<std::string>(
        "", "control-listen", "where it listens for nodes, if others reach it by another address", false, "", "IP:PORT",
        command);
    auto http_address = TCLAP::ValueArg<std::string>(
        "", "http-address", "IP:port for callers and operators", false, "", "IP:PORT", command);
    auto area = TCLAP::ValueArg<std::string>("", "area", "the area (zone) of this machine", false, "", "NAME", command);
    auto seed = TCLAP::MultiArg<std::string>(
        "", "seed", "control address of another node; give three", false, "IP:PORT", command);
    auto folder = TCLAP::ValueArg<std::string>(
        "", "data-folder", "folder on a disk; makes this a core node", false, "", "FOLDER", command);
    auto platform = TCLAP::ValueArg<std::string>(
        "", "platform", "address of the platform's replica list", false, "", "IP:PORT", command);
    auto fleet = TCLAP::ValueArg<std::string>("", "fleet", "name of the fleet", false, "", "NAME", command);
    auto cores =
        TCLAP::ValueArg<int>("", "core-count", "how many core nodes the fleet has", false, 0, "COUNT", command);
    auto workers = TCLAP::ValueArg<int>("", "workers", "worker threads", false, 0, "COUNT", command);
    auto log_file = TCLAP::ValueArg<std::string>(
        "", "log-file", "JSON-line log; standard error where left out", false, "", "FILE", command);
    auto log_level = TCLAP::ValueArg<std::string>(
        "", "log-level", "debug, information, warning or failure", false, "", "LEVEL", command);
    auto stop_limit = TCLAP::ValueArg<int>(
        "", "stop-limit", "milliseconds a graceful stop waits for answers in progress", false, -1, "MILLISECONDS",
        command);
    auto memory = TCLAP::ValueArg<int>(
        "", "memory-limit", "resident memory that the node may use", false, 0, "MEGABYTES", command);
    auto descriptors = TCLAP::ValueArg<int>(
        "", "descriptor-limit", "file descriptors that the node may open", false, 0, "COUNT", command);
    auto no_resting = TCLAP::SwitchArg("", "no-resting", "never put this node to rest", command);
    auto scheduling = TCLAP::MultiArg<std::string>(
        "", "scheduling", "a scheduler option; may be repeated", false, "NAME=VALUE", command);
    command.parse(argument_count, arguments);
    program.check_only = check.getValue();
    program.settings_file = file.getValue();
    auto problems = file.isSet() ? read_settings_file(file.getValue(), settings) : Problems{};
    if (control_address.isSet()) settings.control_address = control_address.getValue();
    if (control_listen.isSet()) settings.control_listen = control_listen.getValue();
    if (http_address.isSet()) settings.http_address = http_address.getValue();
    if (area.isSet()) settings.area = area.getValue();
    if (seed.isSet()) settings.seeds = seed.getValue();
    if (folder.isSet()) settings.data_folder = folder.getValue();
    if (platform.isSet()) settings.platform_address = platform.getValue();
    if (fleet.isSet()) settings.fleet = fleet.getValue();
    if (cores.isSet()) settings.core_count = cores.getValue();
    if (workers.isSet()) settings.workers = workers.getValue();
    if (log_file.isSet()) settings.log_file = log_file.getValue();
    if (log_level.isSet()) settings.log_level = log_level.getValue();
    if (stop_limit.isSet()) settings.stop_limit_milliseconds = stop_limit.getValue();
    if (memory.isSet()) settings.memory_limit_megabytes = memory.getValue();
    if (descriptors.isSet()) settings.descriptor_limit = descriptors.getValue();
    if (scheduling.isSet()) settings.scheduling = scheduling.getValue();
    if (no_resting.isSet()) settings.resting = false;
    for (auto& problem : check_settings(settings)) problems.push_back(std::move(problem));
    return problems;
}

}  // namespace

auto main(int argument_count, char** arguments) -> int {
    auto program = NodeProgram();
    program.read = [&](NodeSettings& settings) { return read_settings(argument_count, arguments, settings, program); };
    return run_node(program);
}

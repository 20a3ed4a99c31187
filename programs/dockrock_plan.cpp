// dockrock-plan: dry run that shows what a configuration change would affect.
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <iterator>

#include "connection/http_client.hpp"
#include "sequence/patch.hpp"
#include "sequence/plan.hpp"

namespace {

using namespace dockrock;

auto read_file(std::string const& path) -> std::string {
    auto stream = std::ifstream(path, std::ios::binary);
    if (!stream) throw std::runtime_error("cannot read " + path);
    return std::string(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
}

auto ask(std::string const& node, std::string const& key, std::string const& path) -> std::string {
    auto const answer = http_call_and_wait(node, make_http_call(http::verb::get, path), key);
    if (answer.status != 200)
        throw std::runtime_error(path + " was answered " + std::to_string(answer.status) + " " + answer.body);
    return answer.body;
}

auto parts_of(std::string const& status) -> std::vector<PlanPartition> {
    std::vector<PlanPartition> partitions;
    auto const parsed = parse_json(status);
    if (!parsed || !parsed->is_object() || !parsed->as_object().contains("partitions")) return partitions;
    for (auto const& item : parsed->as_object().at("partitions").as_array()) {
        auto const& partition = item.as_object();
        auto entry = PlanPartition{
            std::string(partition.at("name").as_string()), std::string(partition.at("leader").as_string()), {}};
        for (auto const& follower : partition.at("followers").as_array())
            entry.followers.emplace_back(follower.as_string());
        partitions.push_back(std::move(entry));
    }
    return partitions;
}

}  // namespace

auto main(int argument_count, char** arguments) -> int {
    auto command = TCLAP::CmdLine(
        "dockrock-plan: shows which models, mappings, tenants, keys, walls, partitions and pairs a change would "
        "affect. "
        "It changes nothing.\nExit: 0 shown, 1 could not be read, 2 the proposed tree has errors.",
        ' ', "0.1.0");
    auto node = TCLAP::ValueArg<std::string>(
        "n", "node", "HTTP address of a node to read the current tree and the pairs from", false, "", "IP:PORT",
        command);
    auto current = TCLAP::ValueArg<std::string>(
        "", "current", "the current tree from a file, instead of a node", false, "", "FILE", command);
    auto key = TCLAP::ValueArg<std::string>("", "key-file", "file with the operator's key", false, "", "FILE", command);
    auto as_json = TCLAP::SwitchArg("", "json", "print the plan as JSON", command);
    auto as_patch = TCLAP::SwitchArg("", "patch", "the file is a JSON Patch on the current tree", command);
    auto proposed =
        TCLAP::UnlabeledValueArg<std::string>("proposed", "the proposed tree or patch", true, "", "FILE", command);
    command.parse(argument_count, arguments);
    try {
        auto secret = key.isSet() ? read_file(key.getValue()) : std::string();
        while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) secret.pop_back();
        if (!node.isSet() && !current.isSet()) throw std::runtime_error("give --node or --current");
        auto const text =
            current.isSet() ? read_file(current.getValue()) : ask(node.getValue(), secret, "/control/configuration");
        auto wanted = Patched{200, {}, read_file(proposed.getValue())};
        if (as_patch.getValue()) wanted = apply_patch(text, wanted.document);
        if (wanted.status != 200) {
            std::cerr << wanted.problem.path << ": " << wanted.problem.what << "\n";
            return 2;
        }
        auto const after = check_configuration(wanted.document);
        for (auto const& problem : after.problems) std::cerr << problem.path << ": " << problem.what << "\n";
        if (!after.problems.empty()) return 2;
        auto const before = text == "null" ? CheckedConfiguration() : check_configuration(text);
        auto const partitions =
            node.isSet() ? parts_of(ask(node.getValue(), secret, "/control/status")) : std::vector<PlanPartition>();
        auto const plan = plan_change(before, after, partitions);
        std::cout << (as_json.getValue() ? json::serialize(plan) + "\n" : plan_text(plan));
        return 0;
    } catch (std::exception const& failure) {
        std::cerr << failure.what() << "\n";
        return 1;
    }
}

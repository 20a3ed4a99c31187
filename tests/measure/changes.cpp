// dockrock-measure-changes: what one change costs the core nodes, in bytes sent
// between them, bytes written and processor time. docs/measurements.md.
#include <tclap/CmdLine.h>

#include <ctime>
#include <filesystem>
#include <iostream>

#include "process/storage.hpp"
#include "world.hpp"

namespace {

using namespace dockrock;
using namespace dockrock::simulation;

constexpr auto edit_length = std::size_t{64};
constexpr auto core_nodes = std::size_t{5};

struct Costs {
    std::uint64_t sent = 0;
    std::uint64_t written = 0;
    double processor_seconds = 0.0;
    std::map<std::string_view, std::uint64_t> sent_as;  // by the message's name
};

struct MeasureOptions {
    std::size_t changes = 50;
    std::size_t document_bytes = 0;
};

auto processor_seconds() -> double {
    auto now = timespec{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

auto between_group_members(Message const& message) -> bool {
    return std::holds_alternative<Append>(message) || std::holds_alternative<AppendChange>(message) ||
        std::holds_alternative<Appended>(message) || std::holds_alternative<CopyOffer>(message) ||
        std::holds_alternative<SpareOffer>(message) || std::holds_alternative<SpareChange>(message);
}

// Folders of the core nodes, removed at the end.
struct Disks {
    std::filesystem::path folder;
    std::array<Storage, core_nodes> storages;

    explicit Disks(Costs& costs) {
        auto pattern = (std::filesystem::temp_directory_path() / "dockrock-measure-XXXXXX").string();
        folder = ::mkdtemp(pattern.data());
        for (auto index = std::size_t{0}; index < core_nodes; ++index) {
            auto& storage = storages[index];
            storage.open(folder / std::to_string(index));
            storage.begin("core-" + std::to_string(index), 1);
            storage.watch = [&costs](FileEvent const& event) { costs.written += event.bytes.size(); };
        }
    }
    ~Disks() { std::filesystem::remove_all(folder); }
    Disks(Disks const&) = delete;
    auto operator=(Disks const&) -> Disks& = delete;
};

// The body replaces as many bytes of the document, at a place that follows from its hash.
auto apply_edit(Copy const& current, Call const& call) -> ChangeResult {
    if (current.document.empty()) return {200, "", call.body};
    auto document = current.document;
    document.replace(hash_text(call.body) % (document.size() - call.body.size()), call.body.size(), call.body);
    return {200, "", std::move(document)};
}

// Each message is written and read, and each save is written to a disk, as the shell does.
auto count_costs(Costs& costs, Disks& disks, std::size_t index, ControlOutput const& output) -> void {
    for (auto const& send : output.sends) {
        if (!between_group_members(send.message)) continue;
        auto const text = write_message(send.message);
        costs.sent += text.size();
        costs.sent_as[message_names[send.message.index()]] += text.size();
        if (!read_message(text)) std::cerr << "a message could not be read\n";
    }
    if (index >= core_nodes || output.saves.empty()) return;
    std::vector<SavedPartition> batch;
    for (auto const& save : output.saves) batch.push_back(save.saved);
    if (!disks.storages[index].write(batch)) std::cerr << "a save could not be written\n";
}

auto change_and_wait(World& world, std::string body) -> bool {
    auto const number = world.put(core_nodes, std::move(body), "");
    return world.run_until_true([&] { return world.changes[number].status != 0; }, 6 * one_second) &&
        world.changes[number].status == 200;
}

auto measure(MeasureOptions const& options) -> std::optional<Costs> {
    WorldOptions world_options;
    world_options.cores = world_options.areas = core_nodes;
    world_options.edges = 1;
    world_options.losses = 2;
    world_options.loss = 0.0;
    auto world = World(world_options);
    auto costs = Costs();
    auto disks = Disks(costs);
    world.when_acting = [&](std::size_t index, ControlOutput const& output) {
        count_costs(costs, disks, index, output);
    };
    for (auto index = std::size_t{0}; index < world.nodes.size(); ++index) world.start(index);
    for (auto& node : world.nodes) node->control.partitions[configuration_partition].apply = apply_edit;
    if (!world.run_until_true([&] { return world.settled(); }, 12 * one_second)) return std::nullopt;
    if (!change_and_wait(world, std::string(options.document_bytes, 'x'))) return std::nullopt;
    world.run_until(world.now + 3 * one_second);
    costs = {};
    auto const began = processor_seconds();
    for (auto number = std::size_t{0}; number < options.changes; ++number) {
        auto body = std::to_string(number) + std::string(edit_length, 'e');
        if (!change_and_wait(world, body.substr(0, edit_length))) return std::nullopt;
    }
    costs.processor_seconds = processor_seconds() - began;
    return costs;
}

}  // namespace

auto main(int argument_count, char** arguments) -> int {
    auto command = TCLAP::CmdLine("dockrock-measure-changes: what one change costs the core nodes", ' ', "0.1.0");
    auto changes = TCLAP::ValueArg<std::size_t>("", "changes", "made one by one", false, 50, "COUNT", command);
    auto kilobytes = TCLAP::ValueArg<std::size_t>("", "kilobytes", "of the document", false, 10, "COUNT", command);
    command.parse(argument_count, arguments);
    auto const costs = measure({changes.getValue(), kilobytes.getValue() * 1'000});
    if (!costs) return std::cerr << "a change was not acknowledged\n", 1;
    auto const count = static_cast<double>(changes.getValue());
    std::cout << kilobytes.getValue() << " KB, " << changes.getValue()
              << " changes, each: " << static_cast<double>(costs->sent) / count << " bytes sent, "
              << static_cast<double>(costs->written) / count << " bytes written, "
              << costs->processor_seconds / count * 1'000.0 << " ms of processor time\n";
    for (auto const& [name, bytes] : costs->sent_as)
        std::cout << "    " << name << ": " << static_cast<double>(bytes) / count << " bytes\n";
    return 0;
}

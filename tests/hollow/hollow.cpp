// dockrock-hollow: what the control machines cost as a fleet grows, measured
// over many nodes in one process. docs/CAPACITY.md says what is run.
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "fleet.hpp"
#include "slopes.hpp"

namespace {

using namespace dockrock::hollow;

auto numbers_of(std::string const& text) -> std::vector<std::size_t> {
    std::vector<std::size_t> numbers;
    auto stream = std::istringstream(text);
    for (std::string item; std::getline(stream, item, ',');) numbers.push_back(std::stoul(item));
    return numbers;
}

auto texts_of(std::string const& text) -> std::vector<std::string> {
    std::vector<std::string> texts;
    auto stream = std::istringstream(text);
    for (std::string item; std::getline(stream, item, ',');) texts.push_back(item);
    return texts;
}

auto report(std::string const& file, double target, std::string const& drawing, std::string const& drawn) -> int {
    auto from = std::ifstream(file);
    if (!from) return std::cerr << "cannot read " << file << "\n", 1;
    auto const runs = read_runs(from);
    write_table(std::cout, runs, target);
    if (drawing.empty()) return 0;
    auto const colon = drawn.find(':');
    auto into = std::ofstream(drawing);
    write_drawing(into, runs, drawn.substr(0, colon), colon == std::string::npos ? "" : drawn.substr(colon + 1));
    return into ? 0 : 1;
}

}  // namespace

auto main(int argument_count, char** arguments) -> int {
    auto command = TCLAP::CmdLine("dockrock-hollow: what the control machines cost as a fleet grows", ' ', "0.1.0");
    auto measure =
        TCLAP::ValueArg<std::string>("", "measure", "control, placement or index", false, "placement", "WHAT", command);
    auto sizes = TCLAP::ValueArg<std::string>(
        "", "sizes", "nodes (or blocks), by commas", false, "13,89,300,720", "LIST", command);
    auto seeds = TCLAP::ValueArg<std::uint64_t>("", "seeds", "how many seeds", false, 3, "COUNT", command);
    auto first_seed = TCLAP::ValueArg<std::uint64_t>("", "first-seed", "counted from", false, 1, "SEED", command);
    auto placements =
        TCLAP::ValueArg<int>("", "placements", "placements measured of each run", false, 200, "COUNT", command);
    auto limit = TCLAP::ValueArg<std::int64_t>(
        "", "limit", "seconds of processor time for a run", false, 60, "SECONDS", command);
    auto replicas = TCLAP::ValueArg<std::size_t>("", "replicas", "0: as the size has", false, 0, "COUNT", command);
    auto reported =
        TCLAP::ValueArg<std::string>("", "report", "print tables of a file of lines", false, "", "FILE", command);
    auto target = TCLAP::ValueArg<double>("", "target", "nodes that slopes are read at", false, 720, "NODES", command);
    auto drawing = TCLAP::ValueArg<std::string>("", "svg", "with --report: a drawing", false, "", "FILE", command);
    auto drawn =
        TCLAP::ValueArg<std::string>("", "draw", "what is drawn", false, "idle:bytes_out", "WHAT:FIGURE", command);
    auto phases = TCLAP::ValueArg<std::string>(
        "", "phases", "of control", false, "start,idle,list,change,owner,restart,load", "LIST", command);
    auto seconds = TCLAP::ValueArg<double>("", "seconds", "simulated, of each phase", false, 10.0, "SECONDS", command);
    auto load_seconds =
        TCLAP::ValueArg<double>("", "load-seconds", "simulated, of the phase load", false, 3.0, "SECONDS", command);
    auto relays = TCLAP::ValueArg<std::size_t>(
        "", "load-relays-from", "load goes through relays from so many nodes on; 0: never", false, 0, "NODES", command);
    command.parse(argument_count, arguments);
    if (!reported.getValue().empty())
        return report(reported.getValue(), target.getValue(), drawing.getValue(), drawn.getValue());
    for (auto const size : numbers_of(sizes.getValue()))
        for (auto seed = first_seed.getValue(); seed < first_seed.getValue() + seeds.getValue(); ++seed) {
            if (measure.getValue() == "index") {
                write_run(std::cout, measure_index(size, replicas.getValue() == 0 ? 100 : replicas.getValue(), seed));
                continue;
            }
            if (measure.getValue() == "control") {
                auto options = PhaseOptions();
                options.phases = texts_of(phases.getValue());
                options.length = static_cast<dockrock::Microseconds>(seconds.getValue() * 1e6);
                options.load_length = static_cast<dockrock::Microseconds>(load_seconds.getValue() * 1e6);
                options.told = [](Run const& run) { write_run(std::cout, run); };
                auto shape = fleet_shape_of(size);
                shape.load_relays_from = relays.getValue();
                measure_control(shape, seed, options);
                continue;
            }
            auto shape = shape_of(size);
            if (replicas.getValue() != 0) shape.replicas = replicas.getValue();
            auto options = SlopeOptions();
            options.placements = placements.getValue();
            options.time_limit = limit.getValue() * 1'000'000'000;
            write_run(std::cout, measure_placement(shape, seed, options));
        }
    auto const violated = dockrock::invariants::total();
    if (violated > 0) std::cerr << violated << " violations of invariants\n";
    return violated == 0 ? 0 : 1;
}

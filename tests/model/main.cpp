// dockrock-model: the model checker by command. docs/consensus.md.
#include <tclap/CmdLine.h>

#include <iostream>

#include "search.hpp"

using namespace dockrock;
using namespace dockrock::model;

namespace {

auto tell(Setup const& setup, Limits const& limits, Found const& found, std::string const& how) -> int {
    std::cout << setup.nodes << " nodes, " << setup.losses << " losses, " << how << ": " << found.states << " states, "
              << found.steps << " steps, longest run " << found.longest << ", " << found.seconds << " s"
              << (found.complete ? "" : ", not complete") << std::endl;
    if (found.violations.empty()) return 0;
    for (auto const& line : replay(setup, limits, found.path)) std::cout << line << "\n";
    std::cout << "run again with --replay " << write_path(found.path) << std::endl;
    return 1;
}

auto run_walks(Setup setup, Limits const& limits, std::uint64_t first, std::uint64_t count, int percent) -> int {
    auto total = Found();
    for (auto seed = first; seed < first + count; ++seed) {
        setup.salt = seed;
        auto const found = walk(setup, {limits, seed, percent});
        total.states += found.states;
        total.steps += found.steps;
        total.seconds += found.seconds;
        total.longest = std::max(total.longest, found.longest);
        if (!found.violations.empty()) return tell(setup, limits, found, "walk of seed " + std::to_string(seed));
    }
    return tell(setup, limits, total, std::to_string(count) + " random walks");
}

}  // namespace

auto main(int argument_count, char** arguments) -> int {
    TCLAP::CmdLine line("Searches the runs of a few real partition machines for a broken invariant.");
    TCLAP::ValueArg<std::size_t> nodes("", "nodes", "core nodes", false, 3, "count", line);
    TCLAP::ValueArg<std::size_t> losses("", "losses", "machines that may be lost at once", false, 1, "count", line);
    TCLAP::ValueArg<std::size_t> joiners("", "joiners", "blank core nodes beside", false, 0, "count", line);
    TCLAP::ValueArg<int> deviations("", "deviations", "most of them in a run", false, 1, "count", line);
    TCLAP::ValueArg<int> units("", "units", "length of a run, in heartbeats", false, 12, "count", line);
    TCLAP::ValueArg<int> each("", "each", "faults of one kind in a run", false, 1, "count", line);
    TCLAP::ValueArg<int> at_once("", "at-once", "nodes away at one time", false, 1, "count", line);
    TCLAP::ValueArg<int> changes("", "changes", "of each operator", false, 2, "count", line);
    TCLAP::ValueArg<std::size_t> threads("", "threads", "of the search", false, 4, "count", line);
    TCLAP::ValueArg<std::size_t> most("", "states", "most of them", false, 50'000'000, "count", line);
    TCLAP::ValueArg<std::uint64_t> walks("", "walks", "random walks instead of a search", false, 0, "count", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "of the first walk", false, 1, "number", line);
    TCLAP::ValueArg<std::uint64_t> salt("", "salt", "of the machines' random source", false, 0, "number", line);
    TCLAP::ValueArg<int> percent("", "percent", "of a walk's steps that deviate", false, 8, "count", line);
    TCLAP::ValueArg<std::string> path("", "replay", "a path that a search printed", false, "", "path", line);
    TCLAP::ValueArg<std::string> begin(
        "", "begin", "a path from whose end the search goes on", false, "", "path", line);
    TCLAP::ValueArg<std::string> plant("", "planted", "a planted fault", false, "none", "name", line);
    line.parse(argument_count, arguments);
    auto const planted = planted_named(plant.getValue());
    if (!planted) {
        for (auto const& name : planted_names) std::cerr << name << "\n";
        return 2;
    }
    auto const setup =
        Setup{nodes.getValue(), losses.getValue(), joiners.getValue(), *planted, salt.getValue(), changes.getValue()};
    auto const limits = Limits{each.getValue(), at_once.getValue(), units.getValue() * unit, {}};
    if (path.isSet()) {
        for (auto const& told : replay(setup, limits, read_path(path.getValue()))) std::cout << told << "\n";
        return 0;
    }
    if (walks.getValue() > 0) return run_walks(setup, limits, seed.getValue(), walks.getValue(), percent.getValue());
    auto result = 0;
    for (auto bound = 0; bound <= deviations.getValue() && result == 0; ++bound) {
        auto const found =
            search(setup, {limits, bound, threads.getValue(), most.getValue(), read_path(begin.getValue())});
        result = tell(setup, limits, found, "at most " + std::to_string(bound) + " deviations");
    }
    return result;
}

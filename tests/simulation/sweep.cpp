// dockrock-sweep: the control storms and the whole fleet over a range of seeds;
// prints counts and every violation with its seed. docs/proofs.md.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <iostream>
#include <mutex>
#include <thread>

#include "fleet.hpp"
#include "scenario.hpp"

namespace {

using namespace dockrock;
using Totals = std::map<std::string, std::uint64_t>;

struct SeedResult {
    std::vector<std::string> violations;
    std::vector<std::string> trace;
    Totals counts;
    Microseconds longest_gap = 0;
    std::map<std::string, std::vector<Microseconds>> times;
};

struct Shape {
    std::size_t cores = 4;
    std::size_t losses = 1;
    std::size_t areas = 4;
};

auto storm(std::uint64_t seed, Microseconds length, Shape const& shape) -> SeedResult {
    auto options = simulation::WorldOptions();
    options.seed = seed;
    options.cores = shape.cores;
    options.losses = shape.losses;
    options.areas = shape.areas;
    auto const result = simulation::run_storm(options, length);
    auto const counts = Totals{
        {"faults", result.faults},
        {"changes", result.changes},
        {"acknowledged", result.acknowledged},
        {"refused", result.refused},
        {"unknown", result.unknown},
        {"reads checked", result.reads},
        {"events", result.events},
        {"claims", result.claims},
        {"claims granted", result.claims_granted},
        {"claims seen", result.claims_seen},
        {"claims of unknown fate", result.claims_unknown}};
    return {result.violations, result.trace, counts, result.longest_gap, {}};
}

constexpr auto scenario_names = std::to_array<std::string_view>({"cutoff", "race", "losses", "many"});

auto scenario(std::uint64_t seed, std::size_t kind, Shape const& shape) -> SeedResult {
    auto options = simulation::ScenarioOptions();
    options.kind = static_cast<simulation::ScenarioKind>(kind);
    options.seed = seed;
    options.cores = shape.cores;
    options.losses = shape.losses;
    options.areas = shape.areas;
    auto const result = simulation::run_scenario(options);
    auto const counts = Totals{
        {"faults", result.faults},
        {"changes", result.changes},
        {"acknowledged", result.acknowledged},
        {"sends", result.sends},
        {"reads checked", result.reads}};
    auto const times = std::map<std::string, std::vector<Microseconds>>{
        {"without a leader", result.without_leader},
        {"wait of a change", result.waits},
        {"until the next loss can be borne", result.bearing}};
    return {result.violations, result.trace, counts, result.longest_without_leader, times};
}

auto print_times(std::string const& name, std::vector<Microseconds> times) -> void {
    if (times.empty()) return;
    std::sort(times.begin(), times.end());
    auto const at = [&](std::size_t percent) { return times[(times.size() - 1) * percent / 100] / 1'000; };
    std::cout << name << ": " << times.size() << " times, median " << at(50) << " ms, 99 of 100 within " << at(99)
              << " ms, longest " << times.back() / 1'000 << " ms\n";
}

auto fleet(std::uint64_t seed, Microseconds length, bool planned, Shape const& shape) -> SeedResult {
    auto options = simulation::FleetOptions();
    options.seed = seed;
    options.cores = shape.cores;
    options.losses = shape.losses;
    options.areas = shape.areas;
    options.length = length;
    options.planned_only = planned;
    auto const result = simulation::Fleet(options).run();
    auto const counts = Totals{
        {"faults", result.faults},
        {"tickets", result.tickets},
        {"answered", result.answered},
        {"shed", result.shed},
        {"unknown", result.unknown},
        {"broken", result.broken},
        {"lost", result.lost},
        {"asked again", result.asked_again},
        {"runs", result.runs},
        {"refused by replicas", result.refused},
        {"extra tries", result.extra_tries},
        {"orders", result.orders},
        {"old orders refused", result.old_orders_refused},
        {"changes acknowledged", result.acknowledged},
        {"keys revoked", result.revoked},
        {"drains", result.drained},
        {"roll-outs", result.roll_outs},
        {"walls tightened", result.walls_tightened},
        {"polite stops", result.polite_stops},
        {"events", result.events}};
    return {result.violations, result.trace, counts, 0, {}};
}

auto run_seed(std::string const& world, std::uint64_t seed, Microseconds length, Shape const& shape) -> SeedResult {
    auto const named = std::find(scenario_names.begin(), scenario_names.end(), world);
    if (named != scenario_names.end())
        return scenario(seed, static_cast<std::size_t>(named - scenario_names.begin()), shape);
    return world == "control" ? storm(seed, length, shape) : fleet(seed, length, world == "planned", shape);
}

}  // namespace

auto main(int argument_count, char** arguments) -> int {
    auto command = TCLAP::CmdLine("dockrock-sweep: storms of faults in the simulator, over many seeds", ' ', "0.1.0");
    auto worlds = std::vector<std::string>{"control", "fleet", "planned"};
    worlds.insert(worlds.end(), scenario_names.begin(), scenario_names.end());
    auto allowed = TCLAP::ValuesConstraint<std::string>(worlds);
    auto world = TCLAP::ValueArg<std::string>(
        "", "world", "control machines alone, the whole fleet under faults or planned work, or a named scenario", false,
        "fleet", &allowed, command);
    auto first = TCLAP::ValueArg<std::uint64_t>("", "first", "first seed", false, 1, "SEED", command);
    auto count = TCLAP::ValueArg<std::uint64_t>("", "count", "how many seeds", false, 100, "COUNT", command);
    auto seconds = TCLAP::ValueArg<int>("", "seconds", "simulated seconds of storm", false, 30, "SECONDS", command);
    auto threads = TCLAP::ValueArg<unsigned>("", "threads", "seeds at once", false, 4, "COUNT", command);
    auto cores = TCLAP::ValueArg<std::size_t>("", "cores", "core nodes", false, 4, "COUNT", command);
    auto losses =
        TCLAP::ValueArg<std::size_t>("", "losses", "core nodes that may be lost at once", false, 1, "COUNT", command);
    auto areas = TCLAP::ValueArg<std::size_t>("", "areas", "areas they stand in", false, 4, "COUNT", command);
    auto trace = TCLAP::SwitchArg("", "trace", "print the trace of a seed with violations, or of the one", command);
    command.parse(argument_count, arguments);
    auto const length = seconds.getValue() * one_second;
    auto const shape = Shape{cores.getValue(), losses.getValue(), areas.getValue()};
    auto lock = std::mutex();
    auto next = std::atomic<std::uint64_t>(first.getValue());
    auto const end = first.getValue() + count.getValue();
    auto failed = std::size_t{0};
    auto totals = Totals();
    auto longest_gap = Microseconds{0};
    auto times = std::map<std::string, std::vector<Microseconds>>();
    auto work = [&] {
        for (auto seed = next++; seed < end; seed = next++) {
            auto const result = run_seed(world.getValue(), seed, length, shape);
            auto const guard = std::lock_guard(lock);
            for (auto const& [name, number] : result.counts) totals[name] += number;
            longest_gap = std::max(longest_gap, result.longest_gap);
            for (auto const& [name, some] : result.times)
                times[name].insert(times[name].end(), some.begin(), some.end());
            failed += result.violations.empty() ? 0 : 1;
            for (auto const& item : result.violations) std::cout << "seed " << seed << ": " << item << "\n";
            if (trace.getValue() && (!result.violations.empty() || count.getValue() == 1))
                for (auto const& item : result.trace) std::cout << "  " << item << "\n";
        }
    };
    auto workers = std::vector<std::thread>();
    for (auto index = 0U; index < threads.getValue(); ++index) workers.emplace_back(work);
    for (auto& worker : workers) worker.join();
    std::cout << "world " << world.getValue() << ", seeds " << count.getValue() << ", with violations " << failed;
    for (auto const& [name, number] : totals) std::cout << ", " << name << " " << number;
    if (longest_gap > 0) std::cout << ", longest time without a leader " << longest_gap / 1'000 << " ms";
    std::cout << "\n";
    for (auto const& [name, some] : times) print_times(name, some);
    return failed == 0 ? 0 : 1;
}

// dockrock-sweep: the control storms and the whole fleet over a range of seeds;
// prints counts and every violation with its seed. docs/proofs.md.
#include <tclap/CmdLine.h>

#include <iostream>
#include <mutex>
#include <thread>

#include "fleet.hpp"

namespace {

using namespace dockrock;
using Totals = std::map<std::string, std::uint64_t>;

struct SeedResult {
    std::vector<std::string> violations;
    std::vector<std::string> trace;
    Totals counts;
    Microseconds longest_gap = 0;
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
    return {result.violations, result.trace, counts, result.longest_gap};
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
    return {result.violations, result.trace, counts, 0};
}

}  // namespace

auto main(int argument_count, char** arguments) -> int {
    auto command = TCLAP::CmdLine("dockrock-sweep: storms of faults in the simulator, over many seeds", ' ', "0.1.0");
    auto worlds = std::vector<std::string>{"control", "fleet", "planned"};
    auto allowed = TCLAP::ValuesConstraint<std::string>(worlds);
    auto world = TCLAP::ValueArg<std::string>(
        "", "world", "control machines alone, the whole fleet under faults, or under planned work", false, "fleet",
        &allowed, command);
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
    auto work = [&] {
        for (auto seed = next++; seed < end; seed = next++) {
            auto const result = world.getValue() == "control"
                ? storm(seed, length, shape)
                : fleet(seed, length, world.getValue() == "planned", shape);
            auto const guard = std::lock_guard(lock);
            for (auto const& [name, number] : result.counts) totals[name] += number;
            longest_gap = std::max(longest_gap, result.longest_gap);
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
    return failed == 0 ? 0 : 1;
}

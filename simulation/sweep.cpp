// dockrock-sweep: storms over a range of seeds; prints counts and every
// violation with its seed. The long sweep of docs/proofs.md.
#include <tclap/CmdLine.h>

#include <iostream>
#include <mutex>
#include <thread>

#include "world.hpp"

auto main(int argument_count, char** arguments) -> int {
    using namespace dockrock;
    auto command = TCLAP::CmdLine("dockrock-sweep: storms of faults in the simulator, over many seeds", ' ', "0.1.0");
    auto first = TCLAP::ValueArg<std::uint64_t>("", "first", "first seed", false, 1, "SEED", command);
    auto count = TCLAP::ValueArg<std::uint64_t>("", "count", "how many seeds", false, 100, "COUNT", command);
    auto seconds = TCLAP::ValueArg<int>("", "seconds", "simulated seconds of storm", false, 30, "SECONDS", command);
    auto threads = TCLAP::ValueArg<unsigned>("", "threads", "seeds at once", false, 4, "COUNT", command);
    auto trace = TCLAP::SwitchArg("", "trace", "print the trace of a seed with violations", command);
    command.parse(argument_count, arguments);
    auto lock = std::mutex();
    auto next = std::atomic<std::uint64_t>(first.getValue());
    auto const end = first.getValue() + count.getValue();
    auto failed = std::size_t{0};
    auto totals = simulation::StormResult();
    auto workers = std::vector<std::thread>();
    for (auto index = 0U; index < threads.getValue(); ++index) {
        workers.emplace_back([&] {
            for (auto seed = next++; seed < end; seed = next++) {
                auto options = simulation::WorldOptions();
                options.seed = seed;
                auto const result = simulation::run_storm(options, seconds.getValue() * one_second);
                auto const guard = std::lock_guard(lock);
                totals.changes += result.changes;
                totals.acknowledged += result.acknowledged;
                totals.unknown += result.unknown;
                totals.refused += result.refused;
                totals.events += result.events;
                totals.reads += result.reads;
                totals.faults += result.faults;
                totals.claims += result.claims;
                totals.claims_granted += result.claims_granted;
                totals.claims_seen += result.claims_seen;
                totals.claims_unknown += result.claims_unknown;
                totals.longest_gap = std::max(totals.longest_gap, result.longest_gap);
                if (result.violations.empty() && count.getValue() != 1) continue;
                if (!result.violations.empty()) ++failed;
                for (auto const& item : result.violations) std::cout << "seed " << seed << ": " << item << "\n";
                if (trace.getValue())
                    for (auto const& item : result.trace) std::cout << "  " << item << "\n";
            }
        });
    }
    for (auto& worker : workers) worker.join();
    std::cout << "seeds " << count.getValue() << ", with violations " << failed << ", faults " << totals.faults
              << ", changes " << totals.changes << ", acknowledged " << totals.acknowledged << ", refused "
              << totals.refused << ", unknown " << totals.unknown << ", reads checked " << totals.reads << ", events "
              << totals.events << ", longest time without an owner " << totals.longest_gap / 1'000 << " ms, claims "
              << totals.claims << ", granted " << totals.claims_granted << ", seen " << totals.claims_seen
              << ", fate unknown " << totals.claims_unknown << "\n";
    return failed == 0 ? 0 : 1;
}

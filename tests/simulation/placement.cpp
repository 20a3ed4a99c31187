// dockrock-placement: one placement option against others in the simulated
// fleet, calm, the same seeds for each; what docs/measurements.md quotes.
#include <tclap/CmdLine.h>

#include <cstdio>
#include <thread>

#include "fleet.hpp"

namespace {

using namespace dockrock;
using namespace dockrock::simulation;

struct Variant {
    std::string name;
    std::function<void(FleetOptions&)> set;
};

auto percentile(std::vector<Microseconds> values, double part) -> long long {
    if (values.empty()) return -1;
    std::sort(values.begin(), values.end());
    auto const place = static_cast<std::size_t>(static_cast<double>(values.size()) * part);
    return values[std::min(values.size() - 1, place)] / 1'000;
}

auto run_all(
    Variant const& variant, std::uint64_t seeds, double rate, int seconds, std::size_t edges, std::size_t replicas)
    -> std::vector<FleetResult> {
    auto results = std::vector<FleetResult>(seeds);
    auto workers = std::vector<std::thread>();
    for (auto seed = std::uint64_t{1}; seed <= seeds; ++seed)
        workers.emplace_back([&, seed] {
            FleetOptions options;
            options.seed = seed;
            options.calm = true;
            options.twice = false;
            options.edges = edges;
            options.replicas = replicas;
            options.tickets_each_second = rate;
            options.length = seconds * one_second;
            variant.set(options);
            results[seed - 1] = Fleet(options).run();
        });
    for (auto& worker : workers) worker.join();
    return results;
}

// The median over the seeds, and the spread, of one figure of each run.
auto print_figure(std::string const& name, std::vector<long long> figures) -> void {
    std::sort(figures.begin(), figures.end());
    std::printf("  %s %lld (%lld-%lld)", name.c_str(), figures[figures.size() / 2], figures.front(), figures.back());
}

auto print(Variant const& variant, std::vector<FleetResult> const& results) -> void {
    auto const each = [&](std::string const& name, auto&& figure) {
        std::vector<long long> figures;
        for (auto const& result : results) figures.push_back(static_cast<long long>(figure(result)));
        print_figure(name, figures);
    };
    auto const waits = [](FleetResult const& result, std::string const& label, double part) {
        auto const found = result.waits.find(label);
        return found == result.waits.end() ? -1LL : percentile(found->second, part);
    };
    std::printf("%-14s", variant.name.c_str());
    for (auto const* label : {"check", "review", "question", "tenant-2", "tenant-5"})
        for (auto part : {0.5, 0.95, 0.99})
            each(
                std::string(label) +
                    (part < 0.6        ? " p50"
                         : part < 0.97 ? " p95"
                                       : " p99"),
                [&](auto const& result) { return waits(result, label, part); });
    each("shed", [](auto const& result) { return result.shed; });
    each("refused", [](auto const& result) { return result.refused; });
    each("extra", [](auto const& result) { return result.extra_tries; });
    each("kept%", [](auto const& result) {
        return result.prefix_tokens == 0 ? 0 : 100 * result.cached_tokens / result.prefix_tokens;
    });
    each("violations", [](auto const& result) { return result.violations.size(); });
    std::printf("\n");
}

}  // namespace

auto main(int argument_count, char** arguments) -> int {
    auto command =
        TCLAP::CmdLine("dockrock-placement: placement options against each other in the simulator", ' ', "0.1.0");
    auto rate = TCLAP::ValueArg<double>("", "rate", "tickets each second", false, 50.0, "RATE", command);
    auto seeds = TCLAP::ValueArg<std::uint64_t>("", "seeds", "how many seeds", false, 8, "COUNT", command);
    auto seconds = TCLAP::ValueArg<int>("", "seconds", "simulated seconds of traffic", false, 20, "SECONDS", command);
    auto greedy = TCLAP::ValueArg<double>(
        "", "greedy", "this share of the tickets is one tenant's", false, 0.0, "SHARE", command);
    auto edges = TCLAP::ValueArg<std::size_t>("", "edges", "edge nodes", false, 9, "COUNT", command);
    auto replicas = TCLAP::ValueArg<std::size_t>("", "replicas", "replicas of two models", false, 8, "COUNT", command);
    auto only = TCLAP::MultiArg<std::string>("", "only", "just this variant (may be repeated)", false, "NAME", command);
    auto uneven = TCLAP::SwitchArg("", "uneven", "every other replica has twice the capacity", command);
    command.parse(argument_count, arguments);
    auto const variants = std::vector<Variant>{
        {"defaults", [](auto&) {}},
        {"multiplier 2", [](auto& options) { options.scheduler.multiplier = 2; }},
        {"multiplier 8", [](auto& options) { options.scheduler.multiplier = 8; }},
        {"depth 5", [](auto& options) { options.scheduler.depth = 5; }},
        {"depth 80", [](auto& options) { options.scheduler.depth = 80; }},
        {"wait 100", [](auto& options) { options.scheduler.wait_token_rate = 100.0; }},
        {"wait 1600", [](auto& options) { options.scheduler.wait_token_rate = 1'600.0; }},
        {"share 1", [](auto& options) { options.scheduler.share_bound = 1.0; }},
        {"share 4", [](auto& options) { options.scheduler.share_bound = 4.0; }},
        {"digest 50 ms", [](auto& options) { options.scheduler.digest_interval = 50 * one_millisecond; }},
        {"digest 1 s", [](auto& options) { options.scheduler.digest_interval = one_second; }},
        {"load relays", [](auto& options) { options.load_relays_from = 1; }},
    };
    auto const& names = only.getValue();
    for (auto const& variant : variants) {
        if (!names.empty() && std::find(names.begin(), names.end(), variant.name) == names.end()) continue;
        auto const set = [&](FleetOptions& options) {
            options.greedy = greedy.getValue();
            options.uneven = uneven.getValue();
            variant.set(options);
        };
        print(
            variant,
            run_all(
                {variant.name, set}, seeds.getValue(), rate.getValue(), seconds.getValue(), edges.getValue(),
                replicas.getValue()));
    }
    return 0;
}

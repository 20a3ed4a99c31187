// Losses one after another at the shortest interval that is allowed, then as many disks as may be lost and all power.
#include <algorithm>

#include "scenario.hpp"

namespace dockrock::simulation {

namespace {
constexpr auto rounds = 10;
constexpr Microseconds away = one_second;
constexpr Microseconds stop_limit = 8 * one_second;

enum class Loss { wiped, replaced, planned, leaves };

struct Losses {
    Scenario& scenario;
    std::map<std::size_t, Microseconds> disk_since;  // when a node's disk was new

    // A slot with an address that no machine has now.
    auto free_address() -> std::optional<std::size_t> {
        auto const& nodes = scenario.world.nodes;
        auto free = std::optional<std::size_t>();
        for (auto index = std::size_t{0}; index < nodes.size(); ++index) {
            auto const used = std::find(scenario.cores.begin(), scenario.cores.end(), index) != scenario.cores.end();
            if (!scenario.world.is_core(index) || nodes[index]->running || used) continue;
            if (!free || freed[index] < freed[*free]) free = index;
        }
        return free;
    }

    // Three core machines that there are when the machine is set up.
    auto tell_seeds(std::size_t index) -> void {
        auto& seeds = scenario.world.nodes[index]->seeds;
        seeds.clear();
        auto const first = scenario.random.below(scenario.cores.size());
        for (auto step = std::size_t{0}; step < 3; ++step)
            seeds.push_back(scenario.world.nodes[scenario.cores[(first + step) % scenario.cores.size()]]->address);
    }

    auto start(std::size_t index) -> void {
        disk_since[index] = scenario.world.now;
        tell_seeds(index);
        scenario.world.start(index);
    }

    auto replace(std::size_t lost, std::size_t fresh) -> void {
        freed[lost] = scenario.world.now;
        std::replace(scenario.cores.begin(), scenario.cores.end(), lost, fresh);
    }

    auto oldest_first(std::vector<std::size_t> list) -> std::vector<std::size_t> {
        std::stable_sort(
            list.begin(), list.end(), [&](auto left, auto right) { return disk_since[left] < disk_since[right]; });
        return list;
    }

    // The leader, the members whose disks have lasted longest, or any.
    auto victims() -> std::vector<std::size_t> {
        auto const count = 1 + scenario.random.below(scenario.options.losses);
        auto order = scenario.members();
        auto const choice = scenario.random.below(3);
        if (choice == 0) order = oldest_first(order);
        if (choice == 2) order = oldest_first(scenario.cores);
        while (order.size() < count) {
            auto const index = scenario.any_core();
            if (std::find(order.begin(), order.end(), index) == order.end()) order.push_back(index);
        }
        order.resize(count);
        return order;
    }

    auto wipe(std::size_t lost) -> void {
        scenario.world.kill(lost, true);
        scenario.world.at(scenario.world.now + away, [this, lost] { start(lost); });
    }

    auto gone(std::size_t lost) -> void {
        scenario.world.kill(lost, true);
        come_instead(lost);
    }

    auto come_instead(std::size_t lost) -> void {
        auto const fresh = free_address();
        if (!fresh) return wipe(lost);
        replace(lost, *fresh);
        scenario.world.at(scenario.world.now + away, [this, index = *fresh] { start(index); });
    }

    auto leaves(std::size_t lost) -> void {
        auto& world = scenario.world;
        auto const life = world.nodes[lost]->life;
        auto const end = [this, lost, life] {
            auto const& node = *scenario.world.nodes[lost];
            if (!node.running || node.life != life) return;
            if (scenario.world.named(node.disk.identity, false))
                scenario.world.violation("a machine that left took a copy or leadership with it");
            scenario.world.kill(lost, true);
            come_instead(lost);
        };
        world.stop_gracefully(lost, stop_limit, end);
        world.at(world.now + stop_limit, end);
        scenario.run_until([&] { return !world.nodes[lost]->running || world.nodes[lost]->life != life; }, stop_limit);
    }

    auto planned(std::size_t lost) -> void {
        auto& world = scenario.world;
        auto const fresh = free_address();
        if (!fresh) return wipe(lost);
        start(*fresh);
        scenario.run_for(scenario.catch_up_limit());
        auto const life = world.nodes[lost]->life;
        auto const end = [this, lost, life] {
            auto const& node = *scenario.world.nodes[lost];
            if (node.running && node.life == life) scenario.world.kill(lost, true);
        };
        replace(lost, *fresh);
        auto const identity = world.nodes[lost]->disk.identity;
        world.stop_gracefully(lost, stop_limit, end);
        world.at(world.now + stop_limit, end);
        scenario.run_until([&] { return !world.nodes[lost]->running; }, stop_limit);
        // Leadership, copy and vote went on before the end.
        if (world.named(identity, true)) world.violation("a planned replacement took a copy or vote with it");
        if (!scenario.run_until([&] { return world.bearable() >= scenario.options.losses; }, one_second))
            world.violation("losses can't be borne a second after a planned replacement");
    }

    auto lose(std::size_t lost, Loss loss) -> void {
        ++scenario.result.faults;
        scenario.world.note(
            "loss " + std::to_string(static_cast<int>(loss)) + " of " + scenario.world.nodes[lost]->address);
        switch (loss) {
            case Loss::wiped: return wipe(lost);
            case Loss::replaced: return gone(lost);
            case Loss::planned: return planned(lost);
            case Loss::leaves: return leaves(lost);
        }
    }

    auto after_an_acknowledgement() -> void {
        auto& operators = scenario.operators;
        auto told = false;
        operators.taken = [&](Order const&) { told = true; };
        scenario.run_until([&] { return told; }, 2 * one_second);
        operators.taken = {};
    }

    std::map<std::size_t, Microseconds> freed;
};
}  // namespace

auto Scenario::losses() -> void {
    change_interval = 200 * one_millisecond;
    auto lifecycle = Losses{*this, {}, {}};
    run_for(catch_up_limit());
    for (auto round = 0; round < rounds; ++round) {
        if (random.below(2) == 0) lifecycle.after_an_acknowledgement();
        auto const lost = lifecycle.victims();
        auto const planned = random.below(5) == 0;
        if (planned) lifecycle.lose(lost.front(), Loss::planned);
        else
            for (auto index : lost)
                lifecycle.lose(
                    index, static_cast<Loss>(random.below(2) + (random.below(4) == 0 && lost.size() == 1 ? 2 : 0)));
        run_until(
            [&] {
                return std::all_of(cores.begin(), cores.end(), [&](auto index) { return world.nodes[index]->running; });
            },
            stop_limit);
        await_bearable(catch_up_limit());
    }
    for (auto index : cores) lifecycle.tell_seeds(index);
    lifecycle.after_an_acknowledgement();
    auto const group = members();
    auto wiped = std::set<std::size_t>(group.begin(), group.begin() + static_cast<std::ptrdiff_t>(options.losses));
    if (random.below(3) == 0) wiped = {cores.begin(), cores.begin() + static_cast<std::ptrdiff_t>(options.losses)};
    lose_power(wiped, one_second);
    if (options.edges_lose_power) lose_power_of_edges(one_second);
    run_for(one_second + 250 * one_millisecond);
}

}  // namespace dockrock::simulation

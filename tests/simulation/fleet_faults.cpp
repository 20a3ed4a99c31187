// Faults of the simulated fleet, single and combined.
#include "fleet.hpp"

namespace dockrock::simulation {

auto Fleet::kill(std::size_t index, Microseconds away) -> void {
    if (!world.nodes[index]->running) return;
    world.kill(index, false);
    later(away, [this, index] { world.start(index); });
}

auto Fleet::network_fault(std::uint64_t which) -> void {
    auto const any = random.below(world.nodes.size());
    if (which == 0) world.isolate(any);
    if (which == 1) {  // the core two and two, or three and one, edges on either side
        std::vector<std::size_t> side;
        auto const first = random.below(options.cores);
        side.push_back(first);
        if (random.below(2) == 0) side.push_back((first + 1) % options.cores);
        for (auto index = options.cores; index < world.nodes.size(); ++index)
            if (random.below(2) == 0) side.push_back(index);
        world.split(side);
    }
    if (which == 2) world.cuts.insert({any, random.below(world.nodes.size())});  // one way only
    later(static_cast<Microseconds>(300'000 + random.below(5'000'000)), [this] { world.heal(); });
}

auto Fleet::fault() -> void {
    ++result.faults;
    if (options.losses > 1 && random.below(8) == 0) {  // several at once
        auto const lost = world.some_cores(random, random.below(2) == 0);
        if (random.below(3) == 0) {
            world.split(lost);
            return later(static_cast<Microseconds>(300'000 + random.below(5'000'000)), [this] { world.heal(); });
        }
        auto const wipe = random.below(2) == 0 && world.settled();
        for (auto index : lost) {
            if (!world.nodes[index]->running) continue;
            world.kill(index, wipe);
            later(static_cast<Microseconds>(200'000 + random.below(4'000'000)), [this, index] { world.start(index); });
        }
        return;
    }
    auto const any = random.below(world.nodes.size());
    auto const core = random.below(options.cores);
    auto const target = random.below(replicas.size());
    auto const away = static_cast<Microseconds>(200'000 + random.below(4'000'000));
    switch (random.below(18)) {
        case 0:
        case 1: return crash(target);
        case 2: return drain();
        case 3: return revoke();
        case 4: return tighten();
        case 5: return race();
        case 6:
        case 7: return name_weights();
        case 8: return kill(any, away);
        case 9: return kill(core, away);
        case 10: return world.freeze(any, static_cast<Microseconds>(300'000 + random.below(6'000'000)));
        case 11: return network_fault(0);
        case 12: return network_fault(1);
        case 13: return network_fault(2);
        case 14: replicas[target]->repeats_a_piece = random.below(2) == 0; return;
        case 15: return polite_stop(any);
        case 16: {
            auto const mode = std::to_array({DiskMode::slow, DiskMode::stalled, DiskMode::full})[random.below(3)];
            world.nodes[core]->disk.mode = mode;
            later(static_cast<Microseconds>(300'000 + random.below(2'000'000)), [this, core] {
                world.nodes[core]->disk.mode = DiskMode::good;
                world.wake_disk(core);
            });
            return;
        }
        default:
            if (!world.settled()) return;  // a disk is lost; only where one loss is all there is
            world.kill(core, true);
            later(away, [this, core] { world.start(core); });
    }
}

// Two things at one moment, as the worst days bring them.
auto Fleet::combined() -> void {
    ++result.faults;
    auto const leader = world.leader(configuration_partition);
    auto const short_time = static_cast<Microseconds>(random.below(40'000));
    switch (random.below(7)) {
        case 0: {  // a revocation during a two-two split, at the side that can take it
            if (!leader) return;
            world.split({*leader, (*leader + 1) % options.cores, options.cores, options.cores + 1});
            later(short_time, [this] { revoke(); });
            later(6 * one_second, [this] { world.heal(); });
            return;
        }
        case 1:  // a drain while the leader freezes
            if (leader) world.freeze(*leader, 5 * one_second);
            return drain();
        case 2: {  // weights named while the partition's leader dies
            name_weights();
            auto const holder = world.leader(1 + static_cast<int>(random.below(service_partitions)));
            if (holder) later(short_time, [this, holder] { kill(*holder, 2 * one_second); });
            return;
        }
        case 3:  // a rolling restart during a takeover
            if (leader) kill(*leader, 3 * one_second);
            return polite_stop(random.below(world.nodes.size()));
        case 4: {  // all cores killed just after an acknowledgement
            put_tree();
            return kill_cores_once_told(result.acknowledged, world.now + 3 * one_second);
        }
        case 5: {  // the leader of a service's claims dies while its tickets are claimed, and an edge freezes
            auto const holder = world.leader(1 + static_cast<int>(random.below(service_partitions)));
            if (holder) kill(*holder, one_second);
            return world.freeze(options.cores + random.below(options.edges), 3 * one_second);
        }
        default:  // every process at once, disks kept
            if (random.below(3) != 0) return;
            for (auto index = std::size_t{0}; index < world.nodes.size(); ++index)
                kill(index, static_cast<Microseconds>(200'000 + random.below(600'000)));
    }
}

auto Fleet::kill_cores_once_told(std::size_t known, Microseconds until) -> void {
    if (result.acknowledged == known && world.now < until)
        return later(one_millisecond, [this, known, until] { kill_cores_once_told(known, until); });
    auto const whole = options.losses > 1 && world.settled();  // then as many disks are lost as may be
    for (auto index : whole ? world.some_cores(random, random.below(2) == 0) : std::vector<std::size_t>()) {
        world.kill(index, true);
        later(static_cast<Microseconds>(500'000 + random.below(1'500'000)), [this, index] { world.start(index); });
    }
    for (auto index = std::size_t{0}; index < options.cores; ++index)
        kill(index, static_cast<Microseconds>(200'000 + random.below(1'500'000)));
}

// Planned work alone: nothing may be cut by it.
auto Fleet::planned() -> void {
    switch (random.below(6)) {
        case 0: return put_tree();
        case 1: return name_weights();
        case 2: return drain();
        case 3: return tighten();
        default:
            if (stopping_nodes.empty() && world.settled()) polite_stop(random.below(world.nodes.size()));
    }
}

}  // namespace dockrock::simulation

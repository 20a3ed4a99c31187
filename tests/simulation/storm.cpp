// A seeded storm: kills, lost disks, cuts, freezes, sick disks, racing
// operators; then calm, and the fleet must serve and remember.
#include "world.hpp"

namespace dockrock::simulation {

namespace {

struct Storm {
    World& world;
    Random random;
    StormResult result;
    std::size_t next_document = 0;
    std::map<std::string, std::string> claimed;  // identity -> the ticket it was granted to
    std::set<std::string> sent;                  // identities whose ticket was sent
    std::set<std::string> given_back;            // identity and ticket
    bool power_fails_next = false;               // once the next change is acknowledged

    auto any() -> std::size_t { return random.below(world.nodes.size()); }
    auto any_core() -> std::size_t { return random.below(world.options.cores); }
    auto cores_running() -> std::size_t {
        auto count = std::size_t{0};
        for (auto index = std::size_t{0}; index < world.options.cores; ++index)
            count += world.nodes[index]->running ? 1 : 0;
        return count;
    }

    auto change() -> void {
        auto const document = "document-" + std::to_string(next_document++) + (random.below(20) == 0 ? "-bad" : "");
        auto const index = any();
        if (!world.nodes[index]->running) return;
        auto const conditional = random.below(3) == 0;
        auto const known = world.nodes[index]->control.views[configuration_partition].copy.sequence;
        world.put(index, document, conditional ? etag_of(known) : "", "", [this](int status) {
            if (status == 200 && power_fails_next) world.at(world.now, [this] { fail_power(); });
        });
        if (conditional && random.below(2) == 0) {  // a racing operator with the same condition
            auto const other = any();
            if (world.nodes[other]->running)
                world.put(other, "document-" + std::to_string(next_document++), etag_of(known));
        }
        if (random.below(4) == 0) world.read(any());
        if (random.below(8) == 0) {  // the leader dies just as it acknowledges
            if (auto const holder = world.leader(configuration_partition))
                world.at(world.now + static_cast<Microseconds>(random.below(30'000)), [this, holder] {
                    if (world.options.losses == 1) fail(*holder);
                    else
                        for (auto member : world.some_cores(random, true)) fail(member);
                });
        }
    }

    // One identity at several nodes, repeated and given back: at most one ticket
    // may ever be granted it, unless that ticket was shed before it was sent.
    auto claim() -> void {
        auto const key = "key-" + std::to_string(random.below(result.claims / 3 + 1));
        auto const ticket = "ticket-" + std::to_string(random.below(4));
        auto const index = any();
        if (!world.nodes[index]->running) return;
        ++result.claims;
        if (given_back.contains(key + ticket)) return;  // a ticket that was shed asks no more
        world.claim(index, key, ticket, [this, key, ticket](ClaimDone const& done) {
            if (done.state == ClaimState::seen) ++result.claims_seen;
            if (done.state == ClaimState::not_here) ++result.claims_unknown;
            if (done.state != ClaimState::granted || given_back.contains(key + ticket)) return;
            ++result.claims_granted;
            auto const [place, fresh] = claimed.emplace(key, ticket);
            if (!fresh && place->second != ticket)
                world.violation("identity " + key + " was granted to " + place->second + " and to " + ticket);
            if (random.below(6) != 0 || sent.contains(key)) {
                sent.insert(key);
                return;
            }
            given_back.insert(key + ticket);  // shed before it was sent
            claimed.erase(key);
            world.claim(any(), key, ticket, {}, true);
        });
    }

    auto fail(std::size_t index) -> void {
        if (!world.nodes[index]->running) return;
        world.kill(index, false);
        world.at(world.now + static_cast<Microseconds>(200'000 + random.below(4'000'000)), [this, index] {
            world.start(index);
        });
    }

    auto wipe(std::vector<std::size_t> const& lost) -> void {
        for (auto index : lost) world.kill(index, true);
        for (auto index : lost)
            world.at(world.now + static_cast<Microseconds>(500'000 + random.below(2'000'000)), [this, index] {
                world.start(index);
            });
    }

    // Right after an acknowledgement, some disks lost, all others kept.
    auto fail_power() -> void {
        if (!power_fails_next || !world.settled()) return;
        power_fails_next = false;
        wipe(world.some_cores(random, true));
        for (auto index = std::size_t{0}; index < world.nodes.size(); ++index) fail(index);
    }

    auto several_at_once() -> void {
        switch (random.below(4)) {
            case 0:
                for (auto index : world.some_cores(random, random.below(2) == 0)) fail(index);
                break;
            case 1:
                if (world.settled()) wipe(world.some_cores(random, random.below(2) == 0));
                break;
            case 2:
                world.split(world.some_cores(random, random.below(2) == 0));
                heal_later();
                break;
            default: power_fails_next = true;
        }
    }

    // For a while, on a node that runs, or that is killed and starts meanwhile.
    auto sicken(std::size_t index, DiskMode mode) -> void {
        auto& node = *world.nodes[index];
        node.disk.mode = mode;
        world.note("disk " + node.address + " mode " + std::to_string(static_cast<int>(mode)));
        world.at(world.now + static_cast<Microseconds>(500'000 + random.below(3'000'000)), [this, index] {
            world.nodes[index]->disk.mode = DiskMode::good;
            world.note("disk " + world.nodes[index]->address + " well");
        });
        if (mode != DiskMode::slow && random.below(3) == 0) fail(index);
    }

    auto fault() -> void {
        ++result.faults;
        switch (random.below(world.options.losses > 1 ? 18 : 12)) {
            case 0: fail(any()); break;
            case 1: fail(any_core()); break;
            case 2:  // the disk is lost; only where one loss is all there is
                if (world.settled()) {
                    auto const index = any_core();
                    world.kill(index, true);
                    world.at(world.now + static_cast<Microseconds>(500'000 + random.below(2'000'000)), [this, index] {
                        world.start(index);
                    });
                }
                break;
            case 3: world.freeze(any(), static_cast<Microseconds>(300'000 + random.below(4'000'000))); break;
            case 4: world.freeze(any_core(), static_cast<Microseconds>(300'000 + random.below(2'500'000))); break;
            case 5:
                world.isolate(any());
                heal_later();
                break;
            case 6: {  // the core two and two, or three and one, edges on either side
                std::vector<std::size_t> side;
                auto const size = 1 + random.below(world.options.cores / 2);
                while (side.size() < size)
                    if (auto const index = any_core(); std::find(side.begin(), side.end(), index) == side.end())
                        side.push_back(index);
                for (auto index = world.options.cores; index < world.nodes.size(); ++index)
                    if (random.below(2) == 0) side.push_back(index);
                world.split(side);
                heal_later();
                break;
            }
            case 7: {  // one way only
                auto const from = any();
                auto const to = any();
                world.cuts.insert({from, to});
                world.note("one-way cut");
                heal_later();
                break;
            }
            case 8: sicken(any_core(), DiskMode::stalled); break;
            case 9: sicken(any_core(), DiskMode::slow); break;
            case 10: sicken(any_core(), DiskMode::full); break;
            case 11:
                if (random.below(6) == 0)
                    for (auto index = std::size_t{0}; index < world.nodes.size(); ++index)
                        fail(index);  // all at once, disks kept
                else if (auto const holder = world.leader(configuration_partition)) fail(*holder);
                break;
            default: several_at_once();
        }
    }

    auto heal_later() -> void {
        world.at(world.now + static_cast<Microseconds>(300'000 + random.below(4'000'000)), [this] { world.heal(); });
    }
};

}  // namespace

auto run_storm(WorldOptions const& options, Microseconds length) -> StormResult {
    auto world = World(options);
    auto storm = Storm{world, Random{options.seed * 31 + 7}, {}, 0, {}, {}, {}, false};
    for (auto index = std::size_t{0}; index < world.nodes.size(); ++index)
        world.at(static_cast<Microseconds>(storm.random.below(400'000)), [&world, index] { world.start(index); });
    if (!world.run_until_true([&] { return world.settled(); }, 12 * one_second))
        world.violation("the fleet did not form within twelve seconds");
    auto const end = world.now + length;
    auto next_fault = world.now;
    auto last_leader = world.now;
    while (world.now < end) {
        world.run_until(world.now + static_cast<Microseconds>(20'000 + storm.random.below(150'000)));
        storm.change();
        for (auto count = storm.random.below(4); count > 0; --count) storm.claim();
        if (world.now >= next_fault) {
            storm.fault();
            next_fault = world.now + static_cast<Microseconds>(300'000 + storm.random.below(1'800'000));
        }
        if (world.leader(configuration_partition)) last_leader = world.now;
        storm.result.longest_gap = std::max(storm.result.longest_gap, world.now - last_leader);
    }
    world.run_until(world.now + 5 * one_second);  // what the storm still had planned
    world.heal();
    for (auto index = std::size_t{0}; index < world.nodes.size(); ++index) {
        world.nodes[index]->disk.mode = DiskMode::good;
        world.start(index);
    }
    // Calm: within twelve seconds all is settled, and what was acknowledged is there.
    if (!world.run_until_true([&] { return world.settled(); }, 12 * one_second)) {
        world.violation("not settled within twelve seconds of calm");
        world.describe();
    }
    auto const last = world.put(world.nodes.size() - 1, "the last document", "");
    world.run_until_true([&] { return world.changes[last].status != 0; }, 6 * one_second);
    if (world.changes[last].status != 200)
        world.violation("a change in calm was answered " + std::to_string(world.changes[last].status));
    world.run_until(world.now + 3 * one_second);
    for (auto const& node : world.nodes)
        if (node->control.views[configuration_partition].copy.document != "the last document")
            world.violation(node->address + " does not hold the last document");
    world.judge_history();
    for (auto const& change : world.changes) {
        if (change.status == 200) ++storm.result.acknowledged;
        else if (change.status == 504 || change.status == 0) ++storm.result.unknown;
        else ++storm.result.refused;
    }
    storm.result.changes = world.changes.size();
    storm.result.events = world.events_run;
    storm.result.reads = world.reads_checked;
    storm.result.disks_taken_up = world.disks_taken_up;
    storm.result.violations = world.violations;
    storm.result.trace = world.trace;
    return storm.result;
}

}  // namespace dockrock::simulation

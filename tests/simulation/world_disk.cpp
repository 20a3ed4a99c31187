// The simulated disks, and how a node starts on one. docs/design.md sections 6 and 15.
#include "world.hpp"

namespace dockrock::simulation {

namespace {
constexpr Microseconds planted_lease = 30 * one_second;

// A text that replaces the document, or (operation `patch`) is put behind it.
auto apply_text(Copy const& current, Call const& call) -> ChangeResult {
    if (call.body.find("bad") != std::string::npos) return {400, "bad", ""};
    if (call.operation == "patch") return {200, "", current.document + call.body};
    return {200, "", call.body};
}

constexpr Microseconds retry_least = 100 * one_millisecond;  // a node tries a sick disk again after this
constexpr Microseconds retry_spread = 400 * one_millisecond;

auto answers(SimulatedDisk const& disk) -> bool { return disk.mode == DiskMode::good || disk.mode == DiskMode::slow; }
}  // namespace

auto World::put_on_disk(SimulatedNode& node, SavedPartition const& saved) -> void {
    if (!take_saved(node.disk.synced, saved))
        violation(node.address + " logged a change of a copy that its disk does not hold");
}

auto World::work_disk(std::size_t index) -> void {
    auto& node = *nodes[index];
    if (node.disk_busy || node.unsynced.empty() || node.disk.mode == DiskMode::stalled) return;
    node.disk_busy = true;
    auto delay = static_cast<Microseconds>(500 + random.below(4'000));
    if (node.disk.mode == DiskMode::slow) delay += static_cast<Microseconds>(50'000 + random.below(400'000));
    at(now + delay, [this, index, life = node.life] {
        auto& later = *nodes[index];
        if (!later.running || later.life != life) return;
        later.disk_busy = false;
        if (later.disk.mode == DiskMode::stalled) return;
        if (later.disk.mode == DiskMode::full) return refuse_saves(index);
        later.disk.broken = false;  // all that waited is written anew and synced
        auto const batch = std::exchange(later.unsynced, {});
        for (auto place = std::exchange(later.disk.reached, 0); place < batch.size(); ++place)
            put_on_disk(later, batch[place].saved);
        report_saves(index, batch, true);
        work_disk(index);
    });
}

// A write that failed may have reached the disk in part. What it held is kept, and tried again.
auto World::refuse_saves(std::size_t index) -> void {
    auto& node = *nodes[index];
    auto const batch = node.unsynced;
    if (!std::exchange(node.disk.broken, true)) {
        node.disk.reached = random.below(batch.size() + 1);
        for (auto place = std::size_t{0}; place < node.disk.reached; ++place) put_on_disk(node, batch[place].saved);
        report_saves(index, batch, false);
    }
    node.disk_busy = true;
    at(now + retry_least + static_cast<Microseconds>(random.below(retry_spread)), [this, index, life = node.life] {
        if (!nodes[index]->running || nodes[index]->life != life) return;
        nodes[index]->disk_busy = false;
        work_disk(index);
    });
}

auto World::report_saves(std::size_t index, std::vector<Save> const& batch, bool good) -> void {
    for (auto const& save : batch)
        on_node(index, nodes[index]->life, [this, index, good, token = save.token] {
            act(index, nodes[index]->control.saved(local(*nodes[index]), token, good));
        });
}

auto World::fresh_identity(std::size_t index) -> std::string {
    return "id-" + std::to_string(index) + "-" + std::to_string(random.below(1'000'000'000));
}

// Reads what the disk holds, and writes it back under a new life; a new identity where it holds none.
auto World::read_disk(std::size_t index) -> bool {
    auto& disk = nodes[index]->disk;
    auto const had_state = !disk.identity.empty();
    if (!had_state) disk.identity = fresh_identity(index);
    disk.incarnation = had_state ? disk.incarnation + 1 : static_cast<std::uint64_t>(now + 1);
    return had_state;
}

// A core node whose disk does not answer starts without duties, and takes them up later.
auto World::start(std::size_t index) -> void {
    auto& node = *nodes[index];
    if (node.running) return;
    node.running = true;
    ++node.life;
    node.unsynced.clear();
    node.disk_busy = false;
    node.held.clear();
    node.frozen_until = 0;
    node.newest_seen = {};
    node.disk.broken = false;
    node.disk.reached = 0;
    auto const with_disk = node.core && answers(node.disk);
    auto const had_state = with_disk && read_disk(index);
    auto const identity = with_disk ? node.disk.identity : fresh_identity(index);
    auto const without = node.core ? std::uint64_t{1} : static_cast<std::uint64_t>(now + 1);
    auto const incarnation = with_disk ? node.disk.incarnation : without;
    ControlSettings settings;
    settings.control_address = node.address;
    settings.area = node.area;
    settings.core = with_disk;
    settings.core_count = options.core_count_told ? options.cores : 0;
    settings.load_relays_from = options.load_relays_from;
    settings.machines_lost = options.losses;
    settings.seeds = node.seeds;
    for (auto seed = std::size_t{0}; node.seeds.empty() && seed < 3 && seed < nodes.size(); ++seed)
        settings.seeds.push_back(nodes[seed]->address);
    node.control = Control{};
    node.control.start(
        settings, identity, incarnation, random.next(), with_disk ? node.disk.synced : std::vector<SavedPartition>{},
        had_state, local(node));
    for (auto& partition : node.control.partitions) {
        partition.apply = apply_text;
        if (options.planted_long_lease) partition.times.lease_duration = planted_lease;
    }
    if (options.planted_losses_unseen) node.control.membership.times.probe_limit = 3'600 * one_second;
    note("start " + node.address + " " + identity + (node.core && !with_disk ? " without its disk" : ""));
    if (when_started) when_started(index);
    tick(index, node.life);
    if (node.core && !with_disk) take_disk_later(index);
}

auto World::take_disk_later(std::size_t index) -> void {
    at(now + retry_least + static_cast<Microseconds>(random.below(retry_spread)),
       [this, index, life = nodes[index]->life] {
           auto& node = *nodes[index];
           if (!node.running || node.life != life) return;
           if (!answers(node.disk)) return take_disk_later(index);
           on_node(index, life, [this, index] {
               auto& later = *nodes[index];
               auto const had_state = read_disk(index);
               later.control.take_disk(
                   later.disk.identity, later.disk.incarnation, later.disk.synced, had_state, local(later));
               note("disk of " + later.address + " taken up " + later.disk.identity);
               ++disks_taken_up;
               unchecked = true;
           });
       });
}

}  // namespace dockrock::simulation

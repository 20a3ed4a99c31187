// The disk of a core node: loaded, written, and rewritten after a failure, on a thread of its own.
// With a full, stalled or unreadable disk a node keeps serving but has no duties: it logs the state
// and resumes its duties once the disk works again. docs/design.md section 6.
#include <random>
#include <utility>

#include "process/clock.hpp"
#include "process/log.hpp"
#include "process/node.hpp"

namespace dockrock {

namespace {
constexpr auto start_timeout = std::chrono::milliseconds(600);  // after this the node starts without its disk
constexpr auto first_pause = std::chrono::milliseconds(100);    // between retries on a failing disk, doubled up to
constexpr auto longest_pause = std::chrono::milliseconds(1'000);
constexpr auto end_timeout = std::chrono::milliseconds(300);  // at a stop, for a write in progress
constexpr Microseconds stall_limit = 600 * one_millisecond;   // of one write or sync, the limit that the partitions use
}  // namespace

auto fresh_identity() -> std::string {
    auto device = std::random_device();
    auto const number = (static_cast<std::uint64_t>(device()) << 32U) ^ device();
    std::string text;
    for (auto shift = 60; shift >= 0; shift -= 4) text.push_back("0123456789abcdef"[(number >> shift) & 15U]);
    return text;
}

auto Node::disk_state(Microseconds now) const -> DiskState {
    if (settings.data_folder.empty()) return DiskState::none;
    if (!disk_loaded) return disk_failed ? DiskState::failed : DiskState::loading;
    if (disk_failed) return DiskState::failed;
    auto const since = disk_busy_since.load();
    return since != 0 && now - since > stall_limit ? DiskState::stalled : DiskState::well;
}

// Logs each change of the disk's state once.
auto Node::log_disk(Microseconds now) -> void {
    auto const state = disk_state(now);
    if (state == logged_disk || state == DiskState::none) return;
    logged_disk = state;
    if (state == DiskState::well)
        return write_log(Level::information, "disk-well", fields("effect", "this node takes up its duties"));
    write_log(
        Level::failure, "disk-" + std::string(name_of(state)),
        fields("effect", "no duties until the disk is well; the node goes on serving"));
}

// Waits with exponential backoff; doubles `length`. False if the node is stopping.
auto Node::pause_disk(std::chrono::milliseconds& length) -> bool {
    auto guard = std::unique_lock(disk_lock);
    disk_signal.wait_for(guard, length, [&] { return disk_stop; });
    length = std::min(2 * length, longest_pause);
    return !disk_stop;
}

// Runs one disk operation and updates what `status` and the metrics show of the disk.
auto Node::try_disk(std::function<bool()> const& work) -> bool {
    auto const began = clock_now();
    disk_busy_since = began;
    auto const good = work();
    disk_busy_since = 0;
    latency_metrics.sync.add(clock_now() - began);
    if (!good) ++counters.disk_failures;
    disk_failed = !good;
    return good;
}

// Reads the folder and writes its state back under a new incarnation, retrying until both succeed.
// Draws a new identity only if the folder could be read and holds no state or a damaged one.
auto Node::load_disk() -> std::optional<DiskHolding> {
    auto pause = first_pause;
    auto result = LoadResult::failed;
    while (!try_disk([&] { return (result = storage.open(settings.data_folder)) != LoadResult::failed; }))
        if (!pause_disk(pause)) return std::nullopt;
    if (result == LoadResult::damaged)
        write_log(Level::failure, "disk-damaged", fields("effect", "a new identity; copies are fetched anew"));
    auto holding = DiskHolding{fresh_identity(), 1, false, {}};
    if (result == LoadResult::loaded) holding = {storage.state.identity, storage.state.incarnation + 1, true, {}};
    auto good = try_disk([&] { return storage.begin(holding.identity, holding.incarnation); });
    while (!good) {
        if (!pause_disk(pause)) return std::nullopt;
        good = try_disk([&] { return storage.repair(); });
    }
    holding.partitions = storage.state.partitions;
    return holding;
}

// What the disk holds, if it is loaded within start_timeout.
auto Node::await_disk() -> std::optional<DiskHolding> {
    auto guard = std::unique_lock(disk_lock);
    disk_ready.wait_for(guard, start_timeout, [&] { return disk_holding.has_value(); });
    return std::exchange(disk_holding, std::nullopt);
}

// The start has completed: from now on the disk's state is taken over as soon as it is loaded.
auto Node::allow_disk_takeover() -> void {
    auto const guard = std::lock_guard(disk_lock);
    disk_takeover_allowed = true;
    disk_signal.notify_all();
}

// Hands the loaded state to the start, if it still waits, or to the control state machines of a node
// that started without it. False if the node stops first.
auto Node::deliver_disk_state(DiskHolding holding) -> bool {
    auto guard = std::unique_lock(disk_lock);
    disk_holding = std::move(holding);
    disk_loaded = true;
    disk_ready.notify_all();
    disk_signal.wait(guard, [&] { return disk_stop || disk_takeover_allowed; });
    if (disk_stop) return false;
    auto late = std::exchange(disk_holding, std::nullopt);
    guard.unlock();
    if (late) in_control([this, late = std::move(*late)] { take_disk(late); });
    return true;
}

// A node that started without its disk takes over the identity and duties that the disk holds.
auto Node::take_disk(DiskHolding const& holding) -> void {
    control.take_disk(holding.identity, holding.incarnation, holding.partitions, holding.had_state, clock_now());
    write_log(
        Level::information, "disk-taken-up",
        fields("identity", holding.identity, "incarnation", holding.incarnation, "had_state", holding.had_state));
    auto const guard = std::lock_guard(table.lock);
    table.scheduler.load_table.self = holding.identity;
}

auto Node::next_saves() -> std::vector<Save> {
    auto guard = std::unique_lock(disk_lock);
    disk_signal.wait(guard, [&] { return disk_stop || !disk_queue.empty(); });
    return std::exchange(disk_queue, {});
}

auto Node::report_saves(std::vector<Save> const& batch, bool good) -> void {
    std::vector<std::uint64_t> tokens;
    for (auto const& save : batch) tokens.push_back(save.token);
    in_control([this, good, tokens = std::move(tokens)] {
        for (auto token : tokens) apply_output(control.saved(clock_now(), token, good));
    });
}

// Returns once the whole batch is synced, after a failure by repair(). False if the node stops first.
auto Node::write_saves(std::vector<Save> batch) -> bool {
    auto const contents = [](std::vector<Save> const& saves) {
        std::vector<SavedPartition> list;
        for (auto const& save : saves) list.push_back(save.saved);
        return list;
    };
    counters.saves += batch.size();
    ++counters.save_batches;
    auto good = try_disk([&] { return storage.write(contents(batch)); });
    if (!good) report_saves(batch, false);
    auto pause = first_pause;
    while (!good) {
        if (!pause_disk(pause)) return false;
        good = try_disk([&] { return storage.repair(); });
        if (good) ++counters.disk_repairs;
    }
    report_saves(batch, true);
    return true;
}

// While the disk is stalled, changes are not acknowledged; serving goes on.
auto Node::run_disk() -> void {
    auto holding = load_disk();
    if (!holding || !deliver_disk_state(std::move(*holding))) return;
    for (auto batch = next_saves(); !batch.empty(); batch = next_saves())
        if (!write_saves(std::move(batch))) return;
}

auto Node::stop_disk() -> void {
    if (!disk_thread.joinable()) return;
    {
        auto const guard = std::lock_guard(disk_lock);
        disk_stop = true;
        disk_signal.notify_all();
    }
    if (disk_ended.get_future().wait_for(end_timeout) != std::future_status::ready) {
        write_log(Level::warning, "disk-still-busy", fields("effect", "what is being written was not acknowledged"));
        return disk_thread.detach();
    }
    disk_thread.join();
    storage.close();
}

}  // namespace dockrock

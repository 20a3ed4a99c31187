// Starts the state machines and carries out their output. docs/design.md sections 2, 13, 14.
#include "process/node.hpp"

#include <random>

#include "process/clock.hpp"
#include "process/log.hpp"
#include "sequence/changes.hpp"

namespace dockrock {

auto Node::start() -> leaf::result<void> {
    // Before the disk: a process that still holds the addresses may be using the same data folder.
    BOOST_LEAF_CHECK(take_addresses());
    started_at = clock_now();
    auto const core = !settings.data_folder.empty();
    if (core)
        disk_thread = std::thread([this] {
            run_disk();
            disk_ended.set_value();
        });
    // A disk that is not loaded in time is taken over later; until then this node has no duties.
    auto const held = core ? await_disk() : std::nullopt;
    auto const blank = DiskHolding{fresh_identity(), core ? 1 : static_cast<std::uint64_t>(started_at), false, {}};
    auto const& [identity, incarnation, had_state, saved_partitions] = held ? *held : blank;
    auto const given = ControlSettings{
        settings.control_address,
        settings.http_address,
        settings.area,
        settings.seeds,
        held.has_value(),
        static_cast<std::size_t>(settings.core_count),
        static_cast<std::size_t>(settings.bounds.machines_lost),
        settings.may_form,
        static_cast<std::size_t>(settings.load_relays_from),
        settings.resting};
    auto device = std::random_device();
    control.start(
        given, identity, incarnation, (static_cast<std::uint64_t>(device()) << 32U) ^ device(), saved_partitions,
        had_state, started_at);
    for (auto index = std::size_t{0}; index < partition_count; ++index)
        control.partitions[index].apply =
            index == configuration_partition ? ApplyChange(apply_configuration) : ApplyChange(apply_service);
    if (protocol != nullptr) relay_changes();
    else take_scheduling_options(table.scheduler.options);
    table.scheduler.load_table.self = identity;
    take_limits();
    next_request_number = (static_cast<std::uint64_t>(device()) << 31U) + 1;
    proven_at = started_at - 3'600 * one_second;
    auto empty = std::make_shared<Snapshot>();
    empty->rules = std::make_shared<Rules>();
    snapshot = empty;
    control_work.start();
    interpreter_queues = std::vector<WorkQueue>(static_cast<std::size_t>(settings.workers));
    for (auto& work : interpreter_queues) work.start();
    auto const problem = transport.begin_reading(settings.fleet, [this](Frame&& frame) {
        auto message = read_message(frame.body);
        if (!message) {
            ++transport.malformed;
            return;
        }
        in_control([this, sender = std::move(frame.sender), address = std::move(frame.sender_address),
                    message = std::move(*message)] {  // without the frame's text, which is as large as the message
            apply_output(control.receive(clock_now(), sender, address, message));
        });
    });
    if (!problem.empty()) return leaf::new_error(StartFailure{"cannot hear other nodes: " + problem});
    allow_disk_takeover();
    write_log(
        Level::information, "started",
        fields(
            "identity", identity, "incarnation", incarnation, "core", core, "area", settings.area, "had_state",
            had_state, "http_address", settings.http_address));
    return {};
}

// Prefers an idle queue; otherwise takes the queues in turn.
auto Node::interpret_in_turn(Work work) -> void {
    for (auto& queue : interpreter_queues)
        if (queue.idle()) return queue.put(std::move(work));
    interpreter_queues[next_interpreter_queue++ % interpreter_queues.size()].put(std::move(work));
}

auto Node::apply_output(ControlOutput output) -> void {
    auto const now = clock_now();
    for (auto const& send : output.sends) {
        auto const frame = Frame{
            settings.fleet, control.membership.self.identity, settings.control_address,
            control.membership.self.incarnation, write_message(send.message)};
        transport.send(send.address, pack_frame(frame), now);
    }
    if (!output.saves.empty()) {
        auto const guard = std::lock_guard(disk_lock);
        for (auto& save : output.saves) disk_queue.push_back(std::move(save));
        disk_signal.notify_all();
    }
    for (auto& result : output.results) {
        auto const found = call_waiters.find(result.token);
        if (found == call_waiters.end()) continue;
        auto waiter = std::move(found->second);
        call_waiters.erase(found);
        waiter(std::move(result));
    }
    for (auto const& claim : output.claims) {
        auto const found = claim_waiters.find(claim.local_token);
        if (found == claim_waiters.end()) continue;
        auto waiter = std::move(found->second);
        claim_waiters.erase(found);
        waiter(claim);
    }
    if (!output.digests.empty() || !output.load_sums.empty()) {
        auto const guard = std::lock_guard(table.lock);
        auto& load_table = table.scheduler.load_table;
        for (auto const& [node, digest] : output.digests) load_table.take_digest(node, digest.number, digest.body, now);
        for (auto const& [relay, sum] : output.load_sums)
            load_table.take_sum(relay, {sum.number, sum.base, sum.echo, sum.echo_age, sum.nodes, sum.body}, now);
    }
    if (!output.cache_batches.empty()) take_feed(output.cache_batches);
    update_metrics.take(control.update_counts, output.notes);
    for (auto const& note : output.notes)
        if (!note.late) transport.request_timed_out(note.whom, now);
    loss_tolerance.update(control, now);
    auto const first_heard = protocol != nullptr && weights_guard.proven != WeightsGuard::proven_partitions(control);
    if (output.snapshot_changed || first_heard) publish_snapshot();
    take_proof();
}

// Called after the snapshot is published: a reader that takes the proof first and then the snapshot holds at least
// the proven state.
auto Node::take_proof() -> void { proven_at = control.views[configuration_partition].proven_at; }

auto Node::publish_snapshot() -> void {
    auto const old = snapshot.load();
    auto fresh = make_snapshot(control, *old, protocol == nullptr ? nullptr : &protocol->documents);
    if (fresh->rules != old->rules)
        write_log(
            Level::information, "configuration-in-force",
            fields(
                "sequence", etag_of(fresh->rules->sequence), "proof_age_microseconds",
                control.proof_age(configuration_partition, clock_now())));
    learn_versions(*fresh, *old);
    snapshot = fresh;
    take_proof();
    judge_resting(clock_now());
    auto const guard = std::lock_guard(table.lock);
    if (protocol != nullptr) weights_guard.proven = WeightsGuard::proven_partitions(control);  // written only here
    if (protocol != nullptr) take_services(*fresh);
    table.scheduler.load_table.take_list(fresh->list);
    if (protocol != nullptr) take_replica_weights(*fresh);
    table.scheduler.queue_limit = static_cast<std::size_t>(fresh->rules->checked.configuration.limits.buffer_length);
    table.scheduler.store_address = fresh->list.store ? fresh->list.store->address : "";
    schedule_locked(clock_now());
}

}  // namespace dockrock

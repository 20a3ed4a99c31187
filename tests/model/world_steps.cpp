// The steps of a modelled world: messages, ticks, disks, crashes and restarts.
#include <stdexcept>

#include "world.hpp"

namespace dockrock::model {

namespace {
auto put_on_disk(Node& node, SavedPartition const& saved) -> void {
    if (!merge_saved(node.disk, saved))
        throw std::logic_error("a change was logged of a copy that the disk does not hold");
}
}  // namespace

auto World::deliver(std::size_t place, bool keep) -> void {
    auto const envelope = network[place];
    if (keep) network[place].held = true;
    else network.erase(network.begin() + static_cast<std::ptrdiff_t>(place));
    auto const target = index_of(envelope.to);
    if (!target || !nodes[*target]->running) return;
    act(*target, [&](Partition& partition, Context& context) {
        auto message = *envelope.message;
        plant_before(setup.planted, partition, context, message);
        hand_to(partition, context, envelope.from, message);
    });
}

auto World::drop(std::size_t place) -> void { network.erase(network.begin() + static_cast<std::ptrdiff_t>(place)); }

auto World::tick(std::size_t index) -> void {
    auto stays = true;
    act(index, [&](Partition& partition, Context& context) {
        partition.tick(context);
        if (nodes[index]->stopping) stays = partition.hand_over(context);
    });
    change_node(index, [&](Node& node) { node.ticked_at = now; });
    auto const& node = *nodes[index];
    if (!node.stopping || stays || !node.writes.empty()) return;
    crash(index, true);
    change_node(index, [&](Node& stopped) { stopped.stopping = false; });
}

auto World::sync(std::size_t index) -> void {
    change_node(index, [&](Node& node) {
        auto const write = node.writes.front();
        node.writes.erase(node.writes.begin());
        if (!node.disk_failing) {
            put_on_disk(node, write.saved);
            node.disk_blank = false;
        }
        auto const ok = !node.disk_failing;
        apply_output(node, [&](Partition& partition, Context& context) { partition.saved(context, write.token, ok); });
    });
}

auto World::forget_messages(std::string const& identity) -> void {
    std::erase_if(network, [&](auto const& envelope) { return envelope.to == identity && !envelope.held; });
}

auto World::crash(std::size_t index, bool keep_unsynced) -> void {
    change_node(index, [&](Node& node) {
        if (keep_unsynced && !node.disk_failing)
            for (auto const& write : node.writes) {
                put_on_disk(node, write.saved);
                node.disk_blank = false;
            }
        node.writes.clear();
        node.running = node.frozen = node.disk_stalled = node.disk_failing = false;
        node.partition = Partition();
    });
    forget_messages(nodes[index]->identity);
}

auto World::lose_disk(std::size_t index) -> void {
    crash(index, false);
    change_node(index, [&](Node& node) {
        node.identity += "'";
        ++node.disks_lost;
        node.disk = {};
        node.disk_blank = true;
    });
}

auto World::restart(std::size_t index) -> void {
    change_node(index, [&](Node& node) {
        ++node.life;
        node.running = true;
        auto& partition = node.partition = fresh_partition(setup, node, now);
        if (node.disk_blank) return;
        partition.vote_from = now + partition.times.grant_duration;
        partition.votes = node.disk.votes;
        partition.reset_progress(now);
        if (node.disk.copy) partition.copy = *node.disk.copy;
        partition.synced = partition.copy.sequence;
    });
}

}  // namespace dockrock::model

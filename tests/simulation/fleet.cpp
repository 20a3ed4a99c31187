// The data plane of each simulated node round its control machines.
#include "fleet.hpp"

#include "control/weights_controller.hpp"
#include "sequence/changes.hpp"

namespace dockrock::simulation {

namespace {
auto world_options(FleetOptions const& given) -> WorldOptions {
    WorldOptions options;
    options.seed = given.seed;
    options.cores = given.cores;
    options.edges = given.edges;
    options.losses = given.losses;
    options.areas = given.areas;
    return options;
}
}  // namespace

Fleet::Fleet(FleetOptions const& given) : options(given), world(world_options(given)) {
    random.state = given.seed * 104'729 + 3;
    planes.resize(world.nodes.size());
    for (auto index = std::size_t{0}; index < given.replicas; ++index) {
        auto replica = std::make_unique<SimulatedReplica>();
        replica->name = "r" + std::to_string(index);
        replica->model = index % 2 == 0 ? "large" : "small";
        replica->capacity = given.uneven && index % 4 >= 2 ? given.capacity * 2 : given.capacity;
        replicas.push_back(std::move(replica));
    }
    for (auto index = 0; index < 6; ++index) {
        auto const name = "tenant-" + std::to_string(index);
        tenants.push_back({name, "secret-" + name, false, index < 2, 0, 0});
    }
    world.when_started = [this](std::size_t index) { started(index); };
    world.when_ticked = [this](std::size_t index) { ticked(index); };
    world.when_killed = [this](std::size_t index) { lose_node(index); };
    world.when_acted = [this](std::size_t index, ControlOutput const& given_output) { output(index, given_output); };
}

auto Fleet::on_node(std::size_t index, std::function<void()> work) -> void {
    world.on_node(index, world.nodes[index]->life, std::move(work));
}

auto Fleet::proof_age(std::size_t index) -> Microseconds {
    if (options.planted_skip_freshness) return 0;
    return world.nodes[index]->control.proof_age(configuration_partition, local(index));
}

auto Fleet::started(std::size_t index) -> void {
    auto& plane = planes[index] = DataPlane();
    auto& control = world.nodes[index]->control;
    plane.scheduler.options = plane.scheduler.load_table.options = options.scheduler;
    plane.scheduler.load_table.self = control.membership.self.identity;
    control.settings.load_relays_from = options.load_relays_from;
    if (options.planted_free_tries) plane.scheduler.budget = {1e9, 1e9, 0.2};
    for (auto partition = std::size_t{0}; partition < partition_count; ++partition)
        control.partitions[partition].apply =
            partition == configuration_partition ? ApplyChange(apply_configuration) : ApplyChange(apply_service);
}

auto Fleet::output(std::size_t index, ControlOutput const& given) -> void {
    for (auto const& [node, digest] : given.digests)
        planes[index].scheduler.load_table.take_digest(node, digest.number, digest.body, local(index));
    for (auto const& [relay, sum] : given.load_sums)
        planes[index].scheduler.load_table.take_sum(
            relay, {sum.number, sum.base, sum.echo, sum.echo_age, sum.nodes, sum.body}, local(index));
    if (given.snapshot_changed) publish(index);
}

auto Fleet::publish(std::size_t index) -> void {
    auto& plane = planes[index];
    plane.snapshot = make_snapshot(world.nodes[index]->control, *plane.snapshot);
    plane.scheduler.load_table.take_list(plane.snapshot->list);
    auto const length = plane.snapshot->rules->checked.configuration.limits.buffer_length;
    plane.scheduler.queue_limit = static_cast<std::size_t>(length);
    schedule(index);
}

auto Fleet::ticked(std::size_t index) -> void {
    auto& plane = planes[index];
    auto const now = local(index);
    auto& control = world.nodes[index]->control;
    schedule(index);
    if (!plane.reading_list && control.list_read_due(now)) read_list(index);
    if (now - plane.last_reports > 250 * one_millisecond) {
        plane.last_reports = now;
        ask_reports(index);
    }
    if (now - plane.last_digest > options.scheduler.digest_interval) {
        plane.last_digest = now;
        tell_digest(index);
    }
    if (now - plane.last_orders > 200 * one_millisecond) {
        plane.last_orders = now;
        send_orders(index);
    }
}

auto Fleet::tell_digest(std::size_t index) -> void {
    auto& plane = planes[index];
    auto& control = world.nodes[index]->control;
    auto& load_table = plane.scheduler.load_table;
    auto const now = local(index);
    auto const number = static_cast<std::uint64_t>(now);
    load_table.relayed = control.update_load_relaying();
    load_table.fleet_nodes = control.nodes_placing();
    if (load_table.relayed != plane.load_relayed) {  // an empty last word goes the old way
        plane.load_relayed = load_table.relayed;
        world.act(
            index,
            load_table.relayed ? control.digest("{}", number, {})
                               : control.report_load(now, number, write_loads({}), "", 0));
    }
    if (!load_table.relayed) return world.act(index, control.digest(load_table.make_digest(now), number, {}));
    auto body = load_table.make_load_report(number, now);
    world.act(
        index, control.report_load(now, number, std::move(body), load_table.summed.relay, load_table.summed.number));
}

// The platform's list is half a second old when it is read.
auto Fleet::read_list(std::size_t index) -> void {
    planes[index].reading_list = true;
    ReplicaList list;
    for (auto const& replica : replicas) {
        ReplicaEntry entry;
        entry.name = entry.address = replica->name;
        entry.model = replica->model;
        entry.capacity = replica->capacity;
        entry.memory = replica->memory;
        entry.drain = replica->drained_at >= 0 && world.now - replica->drained_at > one_second / 2;
        list.replicas.push_back(std::move(entry));
    }
    auto const lost = random.below(50) == 0;
    later(
        link() + (lost ? 800 * one_millisecond : 0),
        [this, index, lost, asked_at = local(index), text = json::serialize(write_json(list)),
         life = world.nodes[index]->life] {
            world.on_node(index, life, [this, index, lost, asked_at, text] {
                planes[index].reading_list = false;
                if (!lost) world.act(index, world.nodes[index]->control.list_read(local(index), asked_at, text));
            });
        });
}

// Reports come late, or not at all.
auto Fleet::ask_reports(std::size_t index) -> void {
    for (auto const& replica : replicas) {
        if (random.below(8) == 0) continue;
        auto const name = replica->name;
        auto const life = world.nodes[index]->life;
        auto const asked_at = local(index);
        if (!replica->up) {
            later(link(), [this, index, life, name] {
                world.on_node(index, life, [this, index, name] {
                    planes[index].scheduler.load_table.report_failed(name, local(index));
                });
            });
            continue;
        }
        auto const wait = 2 * link() + (random.below(20) == 0 ? one_second : 0);
        later(wait, [this, index, life, name, asked_at, report = replica->report()] {
            world.on_node(index, life, [this, index, name, asked_at, report] {
                planes[index].reports[name] = report;
                planes[index].scheduler.load_table.take_report(name, report, asked_at);
                schedule(index);
            });
        });
    }
    for (auto const& replica : replicas)
        if (replica->events.size() > 12) replica->events.erase(replica->events.begin(), replica->events.begin() + 6);
}

// As a node looks at it right before it writes.
auto Fleet::check_ordered(std::size_t index, Order const& order) -> void {
    auto order_seen = order_facts(world.nodes[index]->control, order.partition, order.fence, local(index));
    order_seen.lease_age = 0;
    invariants::check(order_seen);
}

// Some orders come very late: their sender may have lost its duty meanwhile,
// and their receiver its memory of the fence.
auto Fleet::send_orders(std::size_t index) -> void {
    auto& plane = planes[index];
    auto const& control = world.nodes[index]->control;
    if (options.planted_skip_lease && random.below(40) == 0) {
        auto const target = random.below(replicas.size());
        auto order = Order{replicas[target]->name, "", "w0", std::to_string(replicas[target]->life), 1, 0};
        order.fence = replicas[target]->fence;
        check_ordered(index, order);
        later(link(), [this, target, order, holder = control.settings.control_address] {
            take_order(target, order, holder);
        });
    }
    for (auto const& order : plane.orders.due(control, *plane.snapshot, plane.reports, local(index))) {
        if (!may_order(control, order.partition, order.fence, local(index))) continue;
        ++result.orders;
        check_ordered(index, order);
        auto const target = static_cast<std::size_t>(std::strtoul(order.replica.c_str() + 1, nullptr, 10));
        auto const wait = random.below(10) == 0 ? static_cast<Microseconds>(random.below(6'000'000)) : link();
        later(wait, [this, target, order, holder = control.settings.control_address] {
            take_order(target, order, holder);
        });
    }
}

}  // namespace dockrock::simulation

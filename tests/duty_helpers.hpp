#pragma once
// Runs the weights controller at every node of a simulated world.
// docs/design.md section 11.
#include "control/weights_controller.hpp"
#include "world_helpers.hpp"

namespace dockrock::simulation {

inline auto const model = std::string("m");

inline auto list_text(std::vector<std::string> const& names = {"a", "b", "c", "d"}) -> std::string {
    ReplicaList list;
    for (auto const& name : names) {
        ReplicaEntry entry;
        entry.name = name;
        entry.address = std::string("10.0.0.1:80");
        entry.model = "service";
        entry.weights[model] = 1;
        list.replicas.push_back(entry);
    }
    return json::serialize(write_json(list));
}

inline auto snapshot_of(SimulatedNode const& node) -> Snapshot {
    auto const old = Snapshot();
    auto empty = Snapshot();
    empty.rules = std::make_shared<Rules>();
    return *make_snapshot(node.control, empty);
}

struct Duties {
    World& world;
    std::map<std::size_t, WeightsController> duties;
    struct Sent {
        Microseconds at = 0;
        std::size_t node = 0;
        std::uint64_t fence = 0;
    };
    std::vector<Sent> sent;
    std::map<std::size_t, std::vector<OrdersHeld>> held;  // by node, as it changed

    // Orders are lost in transit, so that every leader keeps ordering.
    auto step() -> void {
        world.run_until(world.now + 25 * one_millisecond);
        for (auto index = std::size_t{0}; index < world.nodes.size(); ++index) {
            auto& node = *world.nodes[index];
            if (!node.running) {
                duties.erase(index);
                continue;
            }
            auto const now = world.local(node);
            auto due = duties[index].step(node.control, snapshot_of(node), now);
            for (auto const& [partition, reason] : due.held) held[index].push_back(reason);
            for (auto const& [partition, text] : due.live_texts)
                world.act(index, node.control.live_read(partition, now, now, text));
            for (auto const& order : due.orders) {
                if (!may_order(node.control, order.partition, order.fence, now)) continue;
                sent.push_back({world.now, index, order.fence});
                duties[index].order_ended(order, OrderResult::unknown, now);
            }
            for (auto const& report : due.reports)
                duties[index].reported(report, ReportedWeights{1, false, 0}, now, now);
        }
    }
    auto run(Microseconds length) -> void {
        for (auto const end = world.now + length; world.now < end;) step();
    }
};

inline auto name_version(World& world, std::int64_t version) -> void {
    auto const partition = partition_of_service(model);
    for (auto const& node : world.nodes)  // like the operator call, with version numbers
        node->control.partitions[static_cast<std::size_t>(partition)].apply = [](Copy const&, Call const& call) {
            return ChangeResult{200, "", call.body};
        };
    auto done = false;
    world.call(
        *world.leader(partition),
        Call{
            partition, "name-" + std::to_string(version), "weights", "",
            json::serialize(json::object{{model, version}})},
        [&](CallDone const& result) { done = result.status == 200; });
    REQUIRE(world.run_until_true([&] { return done; }, 4 * one_second));
}

}  // namespace dockrock::simulation

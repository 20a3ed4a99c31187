// What a fleet goes through while it is measured.
#include <algorithm>

#include "fleet.hpp"
#include "meter.hpp"

namespace dockrock::hollow {

namespace {

struct Place {
    std::size_t nodes, cores, zones, regions, tenants;
};
constexpr auto places =
    std::to_array<Place>({{13, 4, 4, 1, 8}, {100, 8, 4, 1, 84}, {300, 12, 8, 2, 500}, {100'000, 15, 12, 3, 1'300}});

struct Measured {
    HollowFleet& fleet;
    std::uint64_t seed;
    PhaseOptions const& options;

    auto tell(std::string const& what, Microseconds began, std::map<std::string, double> const& extra) -> void {
        for (auto& run : fleet.figures(what, seed, fleet.now - began)) {
            if (run.role == "fleet") run.figures.insert(extra.begin(), extra.end());
            options.told(run);
        }
    }
    // Whatever the work begins, followed for a while; how long until all may grant entry again.
    auto follow(std::string const& what, Microseconds length, std::function<void()> const& work) -> void {
        fleet.forget_traffic();
        auto const began = fleet.now;
        work();
        auto settled = Microseconds{-1};
        auto oldest = Microseconds{0};
        while (fleet.now < began + length) {
            fleet.run_until(fleet.now + 50 * one_millisecond);
            for (auto const& node : fleet.nodes)  // one that has just started has none yet
                if (auto const age = node->control.proof_age(configuration_partition, fleet.now);
                    node->running && age < 1'000 * one_second)
                    oldest = std::max(oldest, age);
            if (!fleet.all_fresh()) settled = -1;
            else if (settled < 0) settled = fleet.now - began;
        }
        tell(
            what, began,
            {{"settled_seconds", static_cast<double>(settled) / 1e6},
             {"oldest_proof_seconds", static_cast<double>(oldest) / 1e6}});
    }
};

auto changes(Measured& measured) -> void {
    auto& fleet = measured.fleet;
    fleet.forget_traffic();
    auto const began = fleet.now;
    std::vector<double> acknowledged, everywhere;
    for (auto number = std::uint64_t{1}; fleet.now < began + measured.options.length; ++number) {
        auto const asked = fleet.now;
        auto const token = fleet.call(
            fleet.random.below(fleet.nodes.size()),
            Call{
                configuration_partition, "change-" + std::to_string(number), "patch", "",
                patch_of(fleet.shape, number)});
        fleet.run_until_true([&] { return fleet.call_results.contains(token); }, 5 * one_second);
        if (!fleet.call_results.contains(token) || fleet.call_results[token].status != 200) continue;
        acknowledged.push_back(static_cast<double>(fleet.now - asked) / 1'000.0);
        auto const sequence =
            fleet.owner(configuration_partition)->control.views[configuration_partition].copy.sequence;
        auto const taken = fleet.run_until_true(
            [&] {
                return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [&](auto const& node) {
                    return !node->running || node->snapshot->rules->sequence >= sequence;
                });
            },
            20 * one_second);
        if (taken) everywhere.push_back(static_cast<double>(fleet.now - asked) / 1'000.0);
        fleet.run_until(std::max(fleet.now, asked + one_second));
    }
    measured.tell(
        "change", began,
        {{"changes", static_cast<double>(acknowledged.size())},
         {"acknowledged_milliseconds", spread_of(acknowledged).median},
         {"everywhere_milliseconds", spread_of(everywhere).most},
         {"changes_a_second",
          static_cast<double>(acknowledged.size()) * 1e6 / static_cast<double>(fleet.now - began)}});
}

}  // namespace

auto fleet_shape_of(std::size_t nodes) -> FleetShape {
    auto const& place =
        *std::find_if(places.begin(), places.end(), [&](auto const& item) { return item.nodes >= nodes; });
    return {nodes, std::min(place.cores, nodes), place.zones, place.regions, place.tenants, shape_of(nodes)};
}

auto tree_of(FleetShape const& shape) -> std::string {
    json::array models, groups;
    for (auto index = std::size_t{0}; index < shape.load.models; ++index)
        models.push_back({{"name", "model-" + std::to_string(index)}, {"weights", "w1"}});
    for (auto group = std::size_t{0}; group * 20 < shape.tenants; ++group) {
        json::array tenants;
        for (auto place = group * 20; place < std::min(shape.tenants, group * 20 + 20); ++place) {
            auto const name = "tenant-" + std::to_string(place);
            auto const key = node_name(place) + node_name(place + 1) + node_name(place + 2) + node_name(place + 3);
            tenants.push_back(
                {{"name", name}, {"share", 10}, {"keys", json::array{{{"identity", name}, {"sha256", key}}}}});
        }
        groups.push_back({{"name", "group-" + std::to_string(group)}, {"wall", "group"}, {"tenants", tenants}});
    }
    auto const tree = json::object{
        {"models", models},
        {"kinds", json::array{{{"name", "review"}, {"deadline_milliseconds", 8'000}}}},
        {"mappings", json::array{{{"path", "/v1/generate"}, {"to", "models"}}}},
        {"limits", json::object{}},
        {"root", {{"name", "root"}, {"wall", "shared"}, {"groups", groups}}}};
    return json::serialize(tree);
}

auto patch_of(FleetShape const& shape, std::uint64_t number) -> std::string {
    auto const tenant = number * 7 % shape.tenants;
    return json::serialize(json::array{json::object{
        {"op", "replace"},
        {"path", "/root/groups/" + std::to_string(tenant / 20) + "/tenants/" + std::to_string(tenant % 20) + "/share"},
        {"value", 11 + number % 50}}});
}

auto measure_control(FleetShape const& shape, std::uint64_t seed, PhaseOptions const& options) -> void {
    HollowFleet fleet(shape, seed);
    auto measured = Measured{fleet, seed, options};
    auto const wanted = [&](std::string const& name) {
        return std::find(options.phases.begin(), options.phases.end(), name) != options.phases.end();
    };
    fleet.forget_traffic();
    auto const began = fleet.now;
    for (auto index = std::size_t{0}; index < shape.nodes; ++index)
        fleet.at(
            began + static_cast<Microseconds>(fleet.random.below(500'000)), [&fleet, index] { fleet.start(index); });
    fleet.run_until_true([&] { return fleet.owner(configuration_partition) != nullptr; }, 30 * one_second);
    fleet.call(0, Call{configuration_partition, "first", "put", "", tree_of(shape)});
    fleet.run_until_true([&] { return fleet.all_fresh(); }, 30 * one_second);
    if (wanted("start"))
        measured.tell("start", began, {{"settled_seconds", static_cast<double>(fleet.now - began) / 1e6}});
    fleet.run_until(fleet.now + 5 * one_second);
    if (wanted("idle")) measured.follow("idle", options.length, [] {});
    if (wanted("list")) {
        auto const end = fleet.now + options.length;
        std::function<void()> move = [&] {  // one replica in twenty a second: a pool that is replaced
            if (fleet.now >= end) return;
            fleet.change_list(std::max<std::size_t>(1, shape.load.replicas / 20));
            fleet.at(fleet.now + one_second, move);
        };
        measured.follow("list", options.length, move);
    }
    if (wanted("change")) changes(measured);
    if (wanted("owner")) {
        auto const lost = fleet.owner(configuration_partition)->index;
        measured.follow("owner", options.length, [&] { fleet.kill(lost); });
        fleet.start(lost);
    }
    if (wanted("restart")) {
        fleet.run_until(fleet.now + 3 * one_second);
        measured.follow("restart", options.length, [&] {
            for (auto index = std::size_t{0}; index < shape.nodes; index += 2) {
                fleet.kill(index);
                fleet.at(fleet.now + one_second, [&fleet, index] { fleet.start(index); });
            }
        });
    }
    if (!wanted("load")) return;
    fleet.run_until(fleet.now + 5 * one_second);
    fleet.requests = true;
    for (auto const& node : fleet.nodes) {
        auto const before = use_account(node->account());
        node->load.start(shape.load, fleet.list, node->identity, seed + node->index);
        use_account(before);
    }
    fleet.run_until(fleet.now + one_second / 2);
    measured.follow("load", options.load_length, [] {});
}

}  // namespace dockrock::hollow

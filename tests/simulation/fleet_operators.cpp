// Operators and the platform of the simulated fleet: changes, weights, drains, polite stops.
#include "fleet.hpp"

namespace dockrock::simulation {

auto Fleet::tree() -> std::string {
    json::array list;
    for (auto const& tenant : tenants) {
        auto entry = fields("name", tenant.name);
        if (tenant.isolated) entry["wall"] = "isolated";
        json::array keys;
        if (!tenant.revoked) keys.push_back(fields("identity", tenant.name, "sha256", sha256_of(tenant.key)));
        entry["keys"] = std::move(keys);
        list.push_back(std::move(entry));
    }
    auto inner = json::array(list.begin() + 2, list.begin() + 4);
    auto outer = json::array(list.begin() + 4, list.end());
    outer.push_back(list[0]);
    outer.push_back(list[1]);
    auto groups = json::array();
    groups.push_back(fields("name", "inner", "wall", "group", "rank", 7, "tenants", std::move(inner)));
    groups.push_back(fields("name", "outer", "rank", 2, "tenants", std::move(outer)));
    auto const kind = [](char const* name, std::int64_t deadline) {
        return fields("name", name, "deadline_milliseconds", deadline);
    };
    auto const model = [](char const* name) { return fields("name", name, "weights", "w0"); };
    return json::serialize(fields(
        "models", json::array{model("large"), model("small")}, "kinds",
        json::array{kind("check", 5'000), kind("review", 8'000), kind("question", 10'000)}, "mappings",
        json::array{fields("path", "/v1/generate", "to", "models")}, "limits",
        fields("buffer_length", 200 + static_cast<std::int64_t>(++next_tree % 5'000)), "root",
        fields("name", "root", "groups", std::move(groups))));
}

auto Fleet::some_node() -> std::size_t {
    for (auto count = 0; count < 50; ++count)
        if (auto const index = random.below(world.nodes.size()); world.nodes[index]->running) return index;
    return 0;
}

// Conditional, as an operator does who must not undo another's change; again
// until it is acknowledged.
auto Fleet::put_tree() -> void {
    tree_wanted = true;
    if (putting) return;
    auto const index = some_node();
    if (!world.nodes[index]->running) return later(300 * one_millisecond, [this] { put_tree(); });
    putting = true;
    tree_wanted = false;
    ++result.changes;
    std::vector<bool> revoked_in_it, isolated_in_it;
    for (auto const& tenant : tenants) {
        revoked_in_it.push_back(tenant.revoked);
        isolated_in_it.push_back(tenant.isolated);
    }
    auto const settled = std::make_shared<bool>(false);
    auto const condition = etag_of(world.nodes[index]->control.views[configuration_partition].copy.sequence);
    auto const again = [this, settled] {
        if (std::exchange(*settled, true)) return;
        putting = false;
        later(300 * one_millisecond, [this] { put_tree(); });
    };
    world.put(index, tree(), condition, "", [this, settled, again, revoked_in_it, isolated_in_it](int status) {
        if (status == 200) tree_told(revoked_in_it, isolated_in_it);
        if (status != 200) return again();
        if (std::exchange(*settled, true)) return;
        putting = false;
        if (tree_wanted) put_tree();
    });
    later(6 * one_second, again);  // the node may have died with the call
}

auto Fleet::tree_told(std::vector<bool> revoked_in_it, std::vector<bool> isolated_in_it) -> void {
    ++result.acknowledged;
    for (auto place = std::size_t{0}; place < tenants.size(); ++place) {
        auto& tenant = tenants[place];
        if (revoked_in_it[place] && tenant.revoked_at == 0) tenant.revoked_at = world.now;
        if (isolated_in_it[place] && tenant.isolated_at == 0) tenant.isolated_at = world.now;
    }
}

auto Fleet::revoke() -> void {
    if (result.revoked >= 2) return put_tree();
    auto& tenant = tenants[random.below(tenants.size())];
    if (!tenant.revoked) ++result.revoked;
    tenant.revoked = true;
    put_tree();
}

auto Fleet::tighten() -> void {
    auto& tenant = tenants[random.below(tenants.size())];
    if (!tenant.isolated) ++result.walls_tightened;
    tenant.isolated = true;
    put_tree();
}

// Two operators with one condition, at two nodes, and one with a bad tree.
auto Fleet::race() -> void {
    auto const index = some_node();
    auto const condition = etag_of(world.nodes[index]->control.views[configuration_partition].copy.sequence);
    for (auto count = 0; count < 2; ++count) {
        auto const other = some_node();
        if (world.nodes[other]->running && !putting) world.put(other, tree(), condition);
    }
    world.put(index, "{\"root\":{\"name\":\"bad " + std::to_string(++next_tree) + "\"}}", "");
}

namespace {
// Names of weights are "w" and the number of their naming. A later one may be in force before its operator hears so.
auto naming_number(std::string const& weights) -> std::uint64_t {
    return std::strtoull(weights.c_str() + 1, nullptr, 10);
}
}  // namespace

auto Fleet::name_weights() -> void {
    if (naming) return;
    naming = true;
    ++result.roll_outs;
    auto const number = std::to_string(next_weights++);
    name_weights_at(random.below(2) == 0 ? "large" : "small", "w" + number, "weights-" + number);
}

auto Fleet::name_weights_at(std::string model, std::string name, std::string identity) -> void {
    auto const index = some_node();
    auto const settled = std::make_shared<bool>(false);
    auto const again = [this, settled, model, name, identity] {
        if (std::exchange(*settled, true)) return;
        later(300 * one_millisecond, [this, model, name, identity] { name_weights_at(model, name, identity); });
    };
    auto const body = json::serialize(fields(model.c_str(), name));
    world.call(
        index, Call{partition_of_service(model), identity, "weights", "", body},
        [this, settled, again, model, name](CallDone const& done) {
            if (done.status != 200) return again();
            if (std::exchange(*settled, true)) return;
            naming = false;
            weights_named[model] = {name, world.now};
            if (!options.planned_only) return;
            later(20 * one_second, [this, model, name] {  // nothing was lost: no excuse
                if (weights_named[model].first != name) return;
                for (auto const& replica : replicas)
                    if (replica->model == model && naming_number(replica->weights) < naming_number(name))
                        violation(replica->name + " has not loaded " + name + " after 20 s");
            });
        });
    later(6 * one_second, again);
}

auto Fleet::drain() -> void {
    auto& replica = *replicas[random.below(replicas.size())];
    if (replica.drained_at >= 0 || result.drained >= replicas.size() / 3) return;
    ++result.drained;
    replica.drained_at = world.now;
    world.note("drain " + replica.name);
}

// Not ready, duties handed over, answers finished, then out; and back again.
auto Fleet::polite_stop(std::size_t index) -> void {
    auto const life = world.nodes[index]->life;
    if (!world.nodes[index]->running || !stopping_nodes.insert(index).second) return;
    ++result.polite_stops;
    planes[index].stopping = true;
    world.note("polite stop " + world.nodes[index]->address);
    stop_step(index, life, world.now);
}

auto Fleet::stop_step(std::size_t index, std::uint64_t life, Microseconds begun) -> void {
    auto& node = *world.nodes[index];
    if (!node.running || node.life != life) return void(stopping_nodes.erase(index));
    auto const again = [this, index, life, begun] { stop_step(index, life, begun); };
    if (node.frozen_until > world.now) return later(50 * one_millisecond, again);
    auto pending = false;
    if (world.now - begun < 3 * one_second) world.act(index, node.control.hand_over(local(index), pending));
    auto const open = !planes[index].courses.empty() && !options.planted_cut_on_stop;
    auto const waits = pending || open || world.now - begun < 1'200 * one_millisecond;
    if (waits && world.now - begun < 20 * one_second) return later(50 * one_millisecond, again);
    world.act(index, node.control.leave());
    world.kill(index, false);
    stopping_nodes.erase(index);
    later(static_cast<Microseconds>(200'000 + random.below(1'000'000)), [this, index] { world.start(index); });
}

}  // namespace dockrock::simulation

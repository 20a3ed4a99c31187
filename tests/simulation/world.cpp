#include "world.hpp"

namespace dockrock::simulation {

World::World(WorldOptions const& given) : options(given) {
    random.state = given.seed * 7'919 + 13;
    for (auto index = std::size_t{0}; index < given.cores + given.edges + given.replacements; ++index) {
        auto node = std::make_unique<SimulatedNode>();
        node->core = is_core(index);
        node->address = "10.0.0." + std::to_string(index + 1) + ":7000";
        node->area = "area-" + std::to_string(index % given.areas);
        node->clock_offset = static_cast<Microseconds>(random.below(1'000'000'000));
        nodes.push_back(std::move(node));
    }
}

auto World::note(std::string text) -> void {
    trace.push_back(std::to_string(now / 1'000) + "ms " + std::move(text));
    if (trace.size() > 4'000) trace.erase(trace.begin(), trace.begin() + 1'000);
}

auto World::violation(std::string text) -> void {
    note("VIOLATION " + text);
    if (violations.size() < 20) violations.push_back(std::to_string(now / 1'000) + "ms " + text);
}

auto World::at(Microseconds when, std::function<void()> work) -> void { timeline.at(when, std::move(work)); }

auto World::run_until(Microseconds when) -> void {
    while (timeline.due(when)) {
        auto const event = timeline.take();
        now = std::max(now, event.at);
        event.work();
        ++events_run;
        check_invariants();
        if (unchecked) check();
        unchecked = false;
    }
    now = std::max(now, when);
}

auto World::run_until_true(std::function<bool()> const& condition, Microseconds limit) -> bool {
    auto const end = now + limit;
    while (now < end) {
        if (condition()) return true;
        run_until(now + 50 * one_millisecond);
    }
    return condition();
}

auto World::index_of(std::string const& address) const -> std::size_t {
    for (auto index = std::size_t{0}; index < nodes.size(); ++index)
        if (nodes[index]->address == address) return index;
    return nodes.size();
}

auto World::on_node(std::size_t index, std::uint64_t life, std::function<void()> work) -> void {
    auto& node = *nodes[index];
    if (!node.running || node.life != life) return;
    if (node.frozen_until > now) node.held.push_back(std::move(work));
    else work();
}

auto World::act(std::size_t index, ControlOutput output) -> void {
    unchecked = true;
    if (when_acting) when_acting(index, output);
    auto& node = *nodes[index];
    auto const identity = node.control.membership.self.identity;
    for (auto& send : output.sends) {
        auto const target = index_of(send.address);
        if (auto const* spare = std::get_if<SpareOffer>(&send.message)) copy_bytes += spare->copy.document.size();
        if (auto const* spare = std::get_if<SpareChange>(&send.message)) copy_bytes += size_of(spare->change.edits);
        if (auto const* replication_batch = std::get_if<Append>(&send.message))
            copy_bytes += replication_batch->copy.document.size();
        if (auto const* change = std::get_if<AppendChange>(&send.message)) copy_bytes += size_of(change->change.edits);
        if (auto const* offer = std::get_if<CopyOffer>(&send.message)) copy_bytes += offer->copy.document.size();
        if (options.planted_claims_not_copied) {
            if (auto* offer = std::get_if<CopyOffer>(&send.message)) offer->claims.clear();
            if (auto* replication_batch = std::get_if<ClaimReplication>(&send.message))
                replication_batch->claims.clear();
        }
        if (options.planted_outcomes_lost) {
            if (auto* offer = std::get_if<CopyOffer>(&send.message)) offer->copy.outcomes.clear();
            if (auto* append = std::get_if<Append>(&send.message)) append->copy.outcomes.clear();
            if (auto* change = std::get_if<AppendChange>(&send.message)) change->change.outcomes_added.clear();
        }
        if (planted(index, send)) continue;
        if (target >= nodes.size() || cuts.contains({index, target})) continue;
        if (static_cast<double>(random.below(10'000)) < options.loss * 10'000.0) continue;
        auto delay = static_cast<Microseconds>(200 + random.below(2'500));
        if (random.below(100) == 0) delay += static_cast<Microseconds>(random.below(200'000));
        if (auto const slow = slowed.find({index, target}); slow != slowed.end()) delay += slow->second;
        auto const life = nodes[target]->life;
        at(now + delay, [this, index, target, life, identity, message = std::move(send.message), from = node.address] {
            if (cuts.contains({index, target})) return;
            on_node(target, life, [this, target, identity, message, from] {
                act(target, nodes[target]->control.receive(local(*nodes[target]), identity, from, message));
            });
        });
    }
    for (auto& save : output.saves) {
        if (options.planted_claims_not_saved) save.saved.claims.clear();
        node.unsynced.push_back(std::move(save));
    }
    if (!node.unsynced.empty()) work_disk(index);
    for (auto const& claim : output.claims) {
        auto const found = claim_results.find(claim.local_token);
        if (found == claim_results.end()) continue;
        auto done = std::move(found->second);
        claim_results.erase(found);
        done(claim);
    }
    for (auto& result : output.results) {
        auto const found = call_results.find(result.token);
        if (found == call_results.end()) continue;
        auto done = std::move(found->second);
        call_results.erase(found);
        done(std::move(result));
    }
    if (when_acted) when_acted(index, output);
}

auto World::tick(std::size_t index, std::uint64_t life) -> void {
    auto const& node = *nodes[index];
    if (!node.running || node.life != life) return;
    if (node.frozen_until <= now) {
        act(index, nodes[index]->control.tick(local(node)));
        if (when_ticked) when_ticked(index);
    }
    auto const next =
        node.frozen_until > now ? node.frozen_until + 1 : now + 25'000 + static_cast<Microseconds>(random.below(5'000));
    at(next, [this, index, life] { tick(index, life); });
}

auto World::kill(std::size_t index, bool wipe) -> void {
    auto& node = *nodes[index];
    node.running = false;
    unchecked = true;
    node.unsynced.clear();  // what was not synced is lost
    if (wipe) {
        wiped.push_back({now, node.disk.synced});
        node.disk = {};
    }
    note(std::string(wipe ? "kill and wipe " : "kill ") + node.address);
    if (when_killed) when_killed(index);
}

auto World::leader(int partition) -> std::optional<std::size_t> {
    for (auto index = std::size_t{0}; index < nodes.size(); ++index)
        if (nodes[index]->running && nodes[index]->frozen_until <= now &&
            nodes[index]->control.leads(partition, local(*nodes[index])))
            return index;
    return std::nullopt;
}

}  // namespace dockrock::simulation

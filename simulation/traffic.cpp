#include "traffic.hpp"

#include <algorithm>

namespace dockrock::simulation {

namespace {
constexpr auto pieces_of_ticket = std::int64_t{6};
constexpr auto tenant_count = std::uint64_t{6};
auto tenant_name(std::uint64_t number) -> std::string { return "/root/tenant-" + std::to_string(number); }
}  // namespace

Traffic::Traffic(TrafficOptions const& given) : options(given) {
    random.state = given.seed * 104'729 + 3;
    ReplicaList list;
    for (auto index = std::size_t{0}; index < given.replicas; ++index) {
        auto replica = std::make_unique<SimulatedReplica>();
        replica->name = "r" + std::to_string(index);
        ReplicaEntry entry;
        entry.name = entry.address = replica->name;
        entry.model = "large";
        entry.capacity = replica->capacity;
        entry.memory = replica->memory;
        list.replicas.push_back(entry);
        replicas.push_back(std::move(replica));
    }
    for (auto index = std::size_t{0}; index < given.nodes; ++index) {
        auto node = std::make_unique<TrafficNode>();
        node->granting.options = node->granting.burden.options = given.granting;
        node->granting.burden.self = "node-" + std::to_string(index);
        node->granting.burden.take_list(list);
        nodes.push_back(std::move(node));
    }
}

auto Traffic::violation(std::string text) -> void {
    if (result.violations.size() < 20)
        result.violations.push_back(std::to_string(now / 1'000) + "ms " + std::move(text));
}

auto Traffic::on_node(std::size_t index, std::uint64_t life, std::function<void()> work) -> void {
    auto& node = *nodes[index];
    if (!node.up || node.life != life) return;
    if (node.frozen_until > now)
        at(node.frozen_until + 1, [this, index, life, work = std::move(work)] { on_node(index, life, work); });
    else work();
}

auto Traffic::finish(std::uint64_t number, std::string outcome) -> void {
    auto& fate = fates.at(number);
    if (!fate.outcome.empty()) violation("a ticket got two outcomes: " + fate.outcome + ", " + outcome);
    if (outcome == "shed" && fate.runs > 0) violation("a ticket that ran was shed");
    fate.outcome = std::move(outcome);
    fate.ended_at = now;
}

auto Traffic::give_up(std::uint64_t number) -> void {
    finish(number, fates.at(number).may_have_run ? "unknown" : "shed");
}

auto Traffic::arrive() -> void {
    auto const number = static_cast<std::uint64_t>(fates.size() + 1);
    auto const index = random.below(nodes.size());
    Ticket ticket;
    ticket.number = number;
    ticket.body.model = "large";
    ticket.body.max_tokens = static_cast<std::int64_t>(20 + random.below(400));
    ticket.body.run_once = random.below(3) != 0;
    auto const tenant = random.below(tenant_count);
    ticket.tenant_path = tenant_name(tenant);
    ticket.wall_domain = tenant < 2 ? "tenant:" + ticket.tenant_path : "fleet";
    ticket.rank = static_cast<int>(tenant);
    ticket.arrived_at = now;
    ticket.deadline = now + static_cast<Microseconds>(5 + random.below(6)) * one_second;
    auto chain = hash_text(ticket.wall_domain);
    for (auto part = 0; part < 2; ++part) {
        chain = hash_text("part" + std::to_string(random.below(3)), chain);
        ticket.chain.push_back(chain);
        ticket.body.prefix.push_back({"part", 1'000});
        ticket.prefix_tokens += 1'000;
    }
    auto& fate = fates[number];
    fate.ticket = ticket;
    fate.node = index;
    auto& node = *nodes[index];
    if (!node.up) return finish(number, "lost");
    on_node(index, node.life, [this, index, number] {
        auto& later = *nodes[index];
        if (later.revoked.contains(fates.at(number).ticket.tenant_path)) return finish(number, "shed");
        Decisions decisions;
        later.granting.enter(fates.at(number).ticket, now, decisions);
        decide(index, decisions);
        match(index);
    });
}

auto Traffic::match(std::size_t index) -> void {
    auto& node = *nodes[index];
    if (!node.up || node.frozen_until > now) return;
    Decisions decisions;
    node.granting.match(now, options.planted_skip_freshness ? 0 : now - node.proven_at, decisions);
    decide(index, decisions);
}

auto Traffic::decide(std::size_t index, Decisions const& decisions) -> void {
    for (auto const& shed : decisions.sheds) give_up(shed.ticket);
    for (auto const& placement : decisions.placements)  // between the match and the send a node may be frozen
        at(now + static_cast<Microseconds>(random.below(500)), [this, index, placement, life = nodes[index]->life] {
            on_node(index, life, [this, index, placement] { send(index, placement.ticket, placement); });
        });
}

auto Traffic::send(std::size_t index, std::uint64_t number, Placement const& placement) -> void {
    auto& node = *nodes[index];
    auto const stale = !options.planted_skip_freshness && now - node.proven_at > proof_limit;
    if (node.revoked.contains(fates.at(number).ticket.tenant_path)) {
        node.granting.burden.release(placement.replica, number);
        return give_up(number);
    }
    if (stale || node.drains[placement.replica]) {
        node.granting.burden.release(placement.replica, number);
        Decisions decisions;
        node.granting.enter(fates.at(number).ticket, now, decisions);
        return decide(index, decisions);
    }
    auto const target = static_cast<std::size_t>(std::strtoul(placement.replica.c_str() + 1, nullptr, 10));
    at(now + delay(), [this, target, index, number, placement, life = node.life] {
        if (!replicas[target]->up) {  // nothing could be written
            at(now + delay(), [this, index, number, placement, life] {
                on_node(index, life, [this, index, number, placement] {
                    try_ended(index, number, placement.replica, TryEnd::not_sent, "");
                });
            });
            return;
        }
        receive(target, index, number, placement);
    });
}

auto Traffic::try_ended(
    std::size_t index, std::uint64_t number, std::string const& replica, TryEnd end, std::string const& reason)
    -> void {
    auto& node = *nodes[index];
    auto& fate = fates.at(number);
    node.granting.finished(replica, fate.ticket, now - fate.ticket.arrived_at, now, end == TryEnd::answered);
    if (end == TryEnd::not_sent) node.granting.burden.report_failed(replica, now);
    if (end == TryEnd::did_not_run) node.granting.burden.refused(replica, reason, now);
    auto step = next_step(end, fate.ticket.body.run_once, reason);
    if (options.planted_repeat_unknown && step == NextStep::answer_unknown) step = NextStep::enter_again;
    if (step == NextStep::answer_unknown || step == NextStep::answer_seen) return finish(number, "unknown");
    if (step == NextStep::finished) return finish(number, end == TryEnd::answered ? "answered" : "broken");
    fate.may_have_run = fate.may_have_run || end == TryEnd::unknown_before;
    Decisions decisions;
    node.granting.enter_again(fate.ticket, replica, now, decisions);
    decide(index, decisions);
    match(index);
}

auto Traffic::tell_nodes() -> void {
    for (auto index = std::size_t{0}; index < nodes.size(); ++index) {
        auto& node = *nodes[index];
        if (!node.up) continue;
        auto const life = node.life;
        if (!node.cut_off) {  // news with a proof, and the list some 0.3 to 1.3 seconds old
            auto const proof = now;
            auto revoked = std::set<std::string>();
            for (auto const& [tenant, since] : revoked_at) revoked.insert(tenant);
            auto drains = std::map<std::string, bool>();
            for (auto const& replica : replicas)
                drains[replica->name] = replica->drained_at >= 0 && now - replica->drained_at > 800 * one_millisecond;
            at(now + delay(), [this, index, life, proof, revoked, drains] {
                on_node(index, life, [this, index, proof, revoked, drains] {
                    auto& later = *nodes[index];
                    if (proof < later.proven_at) return;  // overtaken: only the newest answer counts (design 8)
                    later.proven_at = proof;
                    later.revoked = revoked;
                    later.drains = drains;
                    for (auto& [name, state] : later.granting.burden.replicas) state.entry.drain = drains.at(name);
                });
            });
        }
        for (auto const& replica : replicas) {
            if (random.below(5) == 0) continue;  // late
            auto const asked = now;
            auto const name = replica->name;
            if (!replica->up) {
                on_node(index, life, [this, index, name] { nodes[index]->granting.burden.report_failed(name, now); });
                continue;
            }
            ReplicaReport report;
            report.incarnation = std::to_string(replica->life);
            report.weights = replica->weights;
            report.changing = replica->changing;
            report.free_memory = free_of(*replica);
            report.events = replica->events;
            report.first_event = replica->events.empty() ? replica->next_event : replica->events.front().number;
            report.next_event = replica->next_event;
            at(now + delay() + (random.below(10) == 0 ? one_second : 0), [this, index, life, name, report, asked] {
                on_node(index, life, [this, index, name, report, asked] {
                    nodes[index]->granting.burden.take_report(name, report, asked);
                    match(index);
                });
            });
        }
        if (node.frozen_until > now) continue;
        auto const body = node.granting.burden.make_digest(now);
        for (auto other = std::size_t{0}; other < nodes.size(); ++other) {
            if (other == index || node.cut_off || nodes[other]->cut_off) continue;
            at(now + delay(),
               [this, other, body, self = node.granting.burden.self, number = static_cast<std::uint64_t>(now + 1),
                other_life = nodes[other]->life] {
                   on_node(other, other_life, [this, other, body, self, number] {
                       nodes[other]->granting.burden.take_digest(self, number, body, now);
                   });
               });
        }
    }
    for (auto const& replica : replicas)
        if (replica->events.size() > 12)
            replica->events.erase(replica->events.begin(), replica->events.begin() + 6);  // gaps
}

}  // namespace dockrock::simulation

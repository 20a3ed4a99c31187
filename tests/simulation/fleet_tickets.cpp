// The courses of tickets in the simulated fleet.
#include "fleet.hpp"

namespace dockrock::simulation {

auto Fleet::judge_ticket(std::size_t index, std::uint64_t number) -> Verdict {
    auto const& asking = askings.at(number);
    auto const arrival = IncomingRequest{"POST", "/v1/generate", asking.key, asking.body, "", local(index)};
    auto verdict = interpret(*planes[index].snapshot->rules, arrival);
    verdict.inference.number = number;
    if (options.planted_skip_walls && verdict.kind == Verdict::Kind::enqueue) {
        verdict.inference.isolation_domain = "fleet";
        auto chain = hash_text("fleet");
        for (auto place = std::size_t{0}; place < verdict.inference.chain.size(); ++place)
            verdict.inference.chain[place] = chain = hash_text(verdict.inference.body.prefix[place].name, chain);
    }
    return verdict;
}

auto Fleet::arrive(std::size_t index, std::uint64_t number) -> void {
    auto& plane = planes[index];
    askings.at(number).arrived = true;
    auto verdict = judge_ticket(index, number);
    askings.at(number).reason = verdict.reason;
    if (verdict.kind != Verdict::Kind::enqueue && proof_age(index) <= proof_limit) check_refused(index, verdict.status);
    if (verdict.kind != Verdict::Kind::enqueue || plane.stopping) return finish(number, "shed");
    auto& run = plane.courses[number];
    run.lifecycle.inference = std::move(verdict.inference);
    run.lifecycle.rules = plane.snapshot->rules->sequence;
    if (options.planted_skip_claims) run.lifecycle.claim_held = true;
    run.lifecycle.claimed_at = local(index);
    drive(index, number, run.lifecycle.begin());
}

auto Fleet::facts(std::size_t index, std::string const& replica) -> LifecycleFacts {
    auto const& snapshot = *planes[index].snapshot;
    LifecycleFacts known;
    known.now = local(index);
    known.proof_age = proof_age(index);
    known.rules = snapshot.rules->sequence;
    for (auto const& entry : snapshot.list.replicas)
        if (entry.name == replica) known.listed = !entry.drain;
    return known;
}

auto Fleet::drive(std::size_t index, std::uint64_t number, LifecycleStep step) -> void {
    auto& plane = planes[index];
    auto const found = plane.courses.find(number);
    if (found == plane.courses.end()) return;
    auto& lifecycle = found->second.lifecycle;
    if (!step.release_replica.empty()) plane.scheduler.load_table.release(step.release_replica, number);
    auto const ticket = claim_owner(world.nodes[index]->control.membership.self.identity, number);
    auto const part = partition_of_service(lifecycle.inference.body.model);
    if (step.release_claim) world.claim(index, ClaimAsk{part, 0, claim_key(lifecycle.inference), ticket, true}, {});
    if (options.planted_shed_after_run && step.step == Step::answer_unknown) step.step = Step::answer_shed;
    switch (step.step) {
        case Step::enqueue: return enqueue(index, number);
        case Step::claim:
            return world.claim(
                index, ClaimAsk{part, 0, claim_key(lifecycle.inference), ticket, false},
                [this, index, number, asked_at = local(index)](ClaimDone const& done) {
                    auto const later_found = planes[index].courses.find(number);
                    if (later_found == planes[index].courses.end()) return;
                    auto& claimed = later_found->second.lifecycle;
                    drive(
                        index, number,
                        claimed.claimed(done.state, done.term, asked_at, facts(index, claimed.placement.replica)));
                });
        case Step::interpret: {
            auto verdict = judge_ticket(index, number);
            auto const under = plane.snapshot->rules->sequence;
            return drive(
                index, number,
                lifecycle.reinterpreted(std::move(verdict), under, facts(index, lifecycle.placement.replica)));
        }
        case Step::send: return send(index, number);
        case Step::answer_shed:
        case Step::answer_refused:
            if (step.step == Step::answer_refused) check_refused(index, step.status);
            askings.at(number).reason = step.reason;
            return finish(number, "shed");
        case Step::answer_unknown:
        case Step::answer_failure:
        case Step::answer_seen: return finish(number, "unknown");
        case Step::finished: plane.courses.erase(number); return;
    }
}

auto Fleet::enqueue(std::size_t index, std::uint64_t number) -> void {
    auto& plane = planes[index];
    auto& run = plane.courses.at(number);
    run.entered = true;
    Decisions decisions;
    if (run.lifecycle.avoid) plane.scheduler.enqueue_retry(run.lifecycle.inference, *run.lifecycle.avoid, local(index));
    else plane.scheduler.enqueue(run.lifecycle.inference, local(index), decisions);
    decide(index, decisions);
    schedule(index);
}

auto Fleet::schedule(std::size_t index) -> void {
    Decisions decisions;
    planes[index].scheduler.schedule(local(index), proof_age(index), decisions);
    decide(index, decisions);
}

auto Fleet::decide(std::size_t index, Decisions const& decisions) -> void {
    auto& plane = planes[index];
    for (auto const& shed : decisions.sheds) {
        auto const found = plane.courses.find(shed.request_number);
        if (found == plane.courses.end()) continue;
        found->second.entered = false;
        drive(
            index, shed.request_number,
            found->second.lifecycle.was_shed(shed_names[static_cast<std::size_t>(shed.reason)], shed.retry_after));
    }
    for (auto const& placement : decisions.placements) {  // between the match and the checks a node may be frozen
        if (auto const found = plane.courses.find(placement.request_number); found != plane.courses.end())
            found->second.entered = false;
        later(static_cast<Microseconds>(random.below(500)), [this, index, placement, life = world.nodes[index]->life] {
            world.on_node(index, life, [this, index, placement] {
                auto const found = planes[index].courses.find(placement.request_number);
                if (found == planes[index].courses.end())
                    return planes[index].scheduler.load_table.release(placement.replica, placement.request_number);
                drive(
                    index, placement.request_number,
                    found->second.lifecycle.placed(placement, facts(index, placement.replica)));
            });
        });
    }
}

auto Fleet::send(std::size_t index, std::uint64_t number) -> void {
    auto const& lifecycle = planes[index].courses.at(number).lifecycle;
    check_sent(index, lifecycle);
    if (lifecycle.try_number > 1) extra_try_times.push_back(world.now);
    auto const target = static_cast<std::size_t>(std::strtoul(lifecycle.placement.replica.c_str() + 1, nullptr, 10));
    later(
        link(),
        [this, target, index, number, inference = lifecycle.inference, placement = lifecycle.placement,
         life = world.nodes[index]->life] {
            if (replicas[target]->up) return receive(target, index, number, inference, placement);
            later(link(), [this, index, number, life, name = placement.replica] {  // nothing could be written
                world.on_node(
                    index, life, [this, index, number, name] { ended(index, number, name, TryEnd::not_sent, ""); });
            });
        });
}

auto Fleet::check_refused(std::size_t index, int status) -> void {
    constexpr auto bound = 2 * one_second;
    auto const age = world.nodes[index]->control.proof_age(configuration_partition, local(index));
    invariants::check(invariants::RefusalFacts{status, age, bound});
}

// As a node looks at it right before it writes.
auto Fleet::check_sent(std::size_t index, RequestLifecycle const& lifecycle) -> void {
    auto const known = facts(index, lifecycle.placement.replica);
    auto const age = world.nodes[index]->control.proof_age(configuration_partition, known.now);
    invariants::check(invariants::SendFacts{age, known.proof_limit, known.listed, known.rules, lifecycle.rules});
    invariants::check(invariants::RunOnceFacts{lifecycle.inference.body.run_once, lifecycle.may_have_run});
}

auto Fleet::ended(std::size_t index, std::uint64_t number, std::string const& replica, TryEnd end, std::string reason)
    -> void {
    auto& plane = planes[index];
    auto const found = plane.courses.find(number);
    if (found == plane.courses.end()) return;
    auto& lifecycle = found->second.lifecycle;
    auto const now = local(index);
    plane.scheduler.finished(
        replica, lifecycle.inference, now - lifecycle.inference.arrived_at, now, end == TryEnd::answered);
    if (end == TryEnd::not_sent) plane.scheduler.load_table.report_failed(replica, now);
    if (end == TryEnd::did_not_run) plane.scheduler.load_table.refused(replica, reason, now);
    auto step = lifecycle.ended(end, reason);
    if (options.planted_repeat_unknown && step.step == Step::answer_unknown) {
        step.step = Step::enqueue;
        lifecycle.avoid = replica;
    }
    if (end == TryEnd::answered) finish(number, "answered");
    if (end == TryEnd::broken_after) finish(number, "broken");
    drive(index, number, std::move(step));
}

auto Fleet::finish(std::uint64_t number, std::string outcome) -> void {
    auto& asking = askings.at(number);
    if (outcome != "lost") planes[asking.node].courses.erase(number);
    if (asking.outcome == "lost" || asking.outcome == "not-connected" || (asking.gone && outcome != "lost"))
        return;  // nobody hears it
    if (!asking.outcome.empty()) return violation("a ticket got two outcomes: " + asking.outcome + ", " + outcome);
    if (outcome == "shed" && asking.runs > 0) violation("a ticket that ran was shed");
    if (outcome == "shed") ++result.shed_by[tenants[asking.tenant].name];
    asking.outcome = std::move(outcome);
    if (asking.outcome == "lost" || asking.outcome == "broken" || asking.outcome == "not-connected") ask_again(number);
}

auto Fleet::lose_node(std::size_t index) -> void {
    planes[index] = DataPlane();
    for (auto const& [number, asking] : askings)
        if (asking.node == index && asking.outcome.empty() && asking.node_life == world.nodes[index]->life)
            later(link(), [this, number = number] {
                if (askings.at(number).outcome.empty())
                    finish(number, askings.at(number).arrived ? "lost" : "not-connected");
            });
}

}  // namespace dockrock::simulation

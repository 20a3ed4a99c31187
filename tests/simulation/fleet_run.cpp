// The course of a simulated fleet's run, and what is judged at its end.
#include <algorithm>

#include "fleet.hpp"

namespace dockrock::simulation {

namespace {
constexpr auto pieces_of_ticket = std::int64_t{6};
constexpr auto try_share = 0.2;
constexpr auto try_slack = 10.0;
}  // namespace

auto Fleet::run() -> FleetResult {
    for (auto index = std::size_t{0}; index < world.nodes.size(); ++index)
        later(static_cast<Microseconds>(random.below(400'000)), [this, index] { world.start(index); });
    if (!world.run_until_true([&] { return world.settled(); }, 12 * one_second))
        violation("the fleet did not form within twelve seconds");
    put_tree();
    world.run_until_true([&] { return result.acknowledged > 0; }, 5 * one_second);
    world.run_until(world.now + 2 * one_second);
    auto const end = world.now + options.length;
    auto next_request_number = world.now;
    auto next_fault = world.now + one_second;
    while (world.now < end) {
        world.run_until(std::min({next_request_number, next_fault, end}));
        if (world.now >= next_request_number) {
            caller_asks();
            next_request_number = world.now +
                static_cast<Microseconds>(static_cast<double>(random.below(2'000'000)) / options.tickets_each_second);
        }
        if (world.now >= next_fault) {
            if (options.planned_only) planned();
            else if (!options.calm && random.below(5) == 0) combined();
            else if (!options.calm) fault();
            next_fault = world.now + static_cast<Microseconds>(200'000 + random.below(1'300'000));
        }
    }
    settle();
    judge();
    return result;
}

// Calm: all is well again within twelve seconds, and new weights everywhere within twenty.
auto Fleet::settle() -> void {
    for (auto& replica : replicas) replica->repeats_a_piece = false;
    world.run_until(world.now + 6 * one_second);
    world.heal();
    for (auto index = std::size_t{0}; index < world.nodes.size(); ++index) {
        world.nodes[index]->disk.mode = DiskMode::good;
        world.wake_disk(index);
        world.start(index);
    }
    if (!world.run_until_true([&] { return world.settled(); }, 12 * one_second)) {
        violation("not settled within twelve seconds of calm");
        world.describe();
    }
    auto const loaded = [&] {
        return std::all_of(replicas.begin(), replicas.end(), [&](auto const& replica) {
            auto const named = weights_named.find(replica->model);
            return named == weights_named.end() || replica->weights == named->second.first;
        });
    };
    if (!world.run_until_true([&] { return loaded() && !naming; }, 20 * one_second))
        violation("new weights did not reach every replica within 20 s of calm");
    world.run_until(world.now + 3 * one_second);
    calm_now = true;
    caller_asks();
    world.run_until(world.now + 30 * one_second);
}

auto Fleet::judge() -> void {
    for (auto const& [number, asking] : askings) {
        if (asking.outcome == "answered") {
            ++result.answered;
            if (asking.pieces_seen != pieces_of_ticket) violation("an answer lost a piece");
        } else if (asking.outcome == "shed") {
            ++result.shed;
            if (asking.runs > 0) violation("a shed ticket had run");
        } else if (asking.outcome == "unknown") {
            ++result.unknown;
        } else if (asking.outcome == "broken") {
            ++result.broken;
        } else if (asking.outcome == "lost" || asking.outcome == "not-connected") {
            ++result.lost;
        } else {
            violation("a ticket got no outcome");
        }
        auto const cut = asking.outcome == "broken" || asking.outcome == "lost";
        if (options.planned_only && cut)
            violation(
                "planned work cut an answer: ticket " + std::to_string(number) + " " + asking.outcome + " asked at " +
                std::to_string(asking.asked_at / 1'000) + " of " + std::to_string(asking.node));
    }
    if (askings.rbegin()->second.outcome != "answered" && !tenants[askings.rbegin()->second.tenant].revoked)
        violation(
            "a ticket in calm was not answered: " + askings.rbegin()->second.outcome + " " +
            askings.rbegin()->second.reason);
    judge_extra_tries();
    world.judge_history();
    result.extra_tries = extra_try_times.size();
    result.events = world.events_run;
    result.violations = world.violations;
    result.trace = world.trace;
}

// A fifth of the traffic and ten, for the whole fleet, in any ten seconds.
auto Fleet::judge_extra_tries() -> void {
    for (auto first = extra_try_times.begin(); first != extra_try_times.end(); ++first) {
        auto const until = *first + 10 * one_second;
        auto const last = std::upper_bound(first, extra_try_times.end(), until);
        auto const tickets = std::upper_bound(asked_times.begin(), asked_times.end(), until) -
            std::lower_bound(asked_times.begin(), asked_times.end(), *first - one_second);
        if (static_cast<double>(last - first) <= try_share * static_cast<double>(tickets) + try_slack) continue;
        return violation(
            "more extra tries than a fifth plus ten: " + std::to_string(last - first) + " for " +
            std::to_string(tickets) + " tickets in ten seconds");
    }
}

}  // namespace dockrock::simulation

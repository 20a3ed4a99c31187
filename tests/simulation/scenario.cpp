#include "scenario.hpp"

#include <algorithm>

namespace dockrock::simulation {

namespace {
constexpr Microseconds watch_interval = 25 * one_millisecond;
constexpr Microseconds form_limit = 12 * one_second;
constexpr Microseconds answer_limit = 15 * one_second;
constexpr Microseconds leaderless_limit = 6 * one_second;
constexpr auto replacements = std::size_t{4};

auto world_options(ScenarioOptions const& given) -> WorldOptions {
    auto options = WorldOptions();
    options.seed = given.seed;
    options.cores = given.cores;
    options.losses = given.losses;
    options.areas = given.areas;
    options.core_count_told = false;
    options.replacements = replacements;
    if (given.plant) given.plant(options);
    return options;
}
}  // namespace

Scenario::Scenario(ScenarioOptions const& given)
    : options(given),
      world(world_options(given)),
      operators{world, Random{given.seed * 101 + 3}, 0.0, {}, {}, {}, {}, {}},
      random{given.seed * 53 + 11} {
    for (auto index = std::size_t{0}; index < given.cores; ++index) cores.push_back(index);
    operators.pick = [this] { return any_node(); };
}

auto Scenario::run() -> ScenarioResult {
    form();
    switch (options.kind) {
        case ScenarioKind::cutoff: cutoff(); break;
        case ScenarioKind::race: race(); break;
        case ScenarioKind::losses: losses(); break;
        case ScenarioKind::many: many(); break;
    }
    finish(recover_limit());
    result.violations = world.violations;
    result.trace = world.trace;
    result.changes = operators.orders.size();
    for (auto const& order : operators.orders) {
        result.acknowledged += order->taken ? 1 : 0;
        result.sends += order->sends;
    }
    result.reads = world.reads_checked;
    result.waits = operators.waits;
    return result;
}

auto Scenario::recover_limit() const -> Microseconds { return options.losses > 1 ? 15 * one_second : 12 * one_second; }

auto Scenario::catch_up_limit() const -> Microseconds { return options.losses > 1 ? 6 * one_second : 4 * one_second; }

auto Scenario::form() -> void {
    for (auto index = std::size_t{0}; index < options.cores + world.options.edges; ++index)
        world.at(static_cast<Microseconds>(random.below(300'000)), [this, index] { world.start(index); });
    if (!world.run_until_true([&] { return world.settled(); }, form_limit))
        world.violation("the fleet did not form within twelve seconds");
}

auto Scenario::run_for(Microseconds length) -> void {
    run_until([] { return false; }, length);
}

auto Scenario::run_until(std::function<bool()> const& condition, Microseconds limit) -> bool {
    auto const end = world.now + limit;
    while (world.now < end && !condition()) {
        if (change_interval > 0 && world.now >= next_change) {
            next_change =
                world.now + static_cast<Microseconds>(random.below(2 * static_cast<std::uint64_t>(change_interval)));
            if (random.below(6) == 0) operators.race(any_node());
            else operators.change();
            if (random.below(3) == 0) world.read(any_node());
        }
        world.run_until(std::min(end, world.now + watch_interval));
        watch();
    }
    return condition();
}

auto Scenario::watch() -> void {
    if (world.led() || !world.could_be_led()) {
        if (leaderless_since >= 0) result.without_leader.push_back(world.now - leaderless_since);
        leaderless_since = -1;
        return;
    }
    if (leaderless_since < 0) leaderless_since = world.now;
    auto const length = world.now - leaderless_since;
    if (length > leaderless_limit && result.longest_without_leader <= leaderless_limit) {
        world.violation("no leader for six seconds though voters and a member are in touch");
        world.describe();
    }
    result.longest_without_leader = std::max(result.longest_without_leader, length);
}

auto Scenario::any_node() -> std::size_t {
    auto const edges = world.options.edges;
    auto const place = random.below(cores.size() + edges);
    return place < cores.size() ? cores[place] : options.cores + place - cores.size();
}

auto Scenario::members() -> std::vector<std::size_t> {
    auto list = std::vector<std::size_t>();
    auto const holder = world.leader(configuration_partition);
    if (!holder) return {any_core()};
    list.push_back(*holder);
    auto const& record = world.nodes[*holder]->control.partitions[configuration_partition].votes.decided;
    for (auto index : cores)
        if (record.has_follower(world.nodes[index]->disk.identity)) list.push_back(index);
    return list;
}

auto Scenario::lose(std::size_t index, bool wipe, Microseconds away) -> void {
    if (!world.nodes[index]->running) return;
    ++result.faults;
    world.kill(index, wipe);
    world.at(world.now + away, [this, index] { world.start(index); });
}

auto Scenario::lose_power(std::set<std::size_t> const& wiped, Microseconds away) -> void {
    ++result.faults;
    world.note("power lost by all");
    for (auto index : cores) world.kill(index, wiped.contains(index));
    for (auto index : cores)
        world.at(
            world.now + away + static_cast<Microseconds>(random.below(200'000)), [this, index] { world.start(index); });
}

auto Scenario::lose_power_of_edges(Microseconds away) -> void {
    world.note("edges without power");
    for (auto index = std::size_t{0}; index < world.nodes.size(); ++index) {
        if (world.nodes[index]->core || !world.nodes[index]->running) continue;
        world.kill(index, false);
        world.at(
            world.now + away + static_cast<Microseconds>(random.below(200'000)), [this, index] { world.start(index); });
    }
}

auto Scenario::taken_change() const -> std::string {
    auto const& orders = operators.orders;
    auto const found = std::find_if(orders.rbegin(), orders.rend(), [](auto const& order) { return order->taken; });
    return found == orders.rend() ? "none" : (*found)->call.identity;
}

// Some disks thirty times as slow, or silent for a while.
auto Scenario::slow_disks() -> void {
    auto const index = any_core();
    auto const stalled = random.below(3) == 0;
    world.nodes[index]->disk.mode = stalled ? DiskMode::stalled : DiskMode::slow;
    world.note("disk of " + world.nodes[index]->address + (stalled ? " stalled" : " slow"));
    auto const length = one_second + static_cast<Microseconds>(random.below(4'000'000));
    world.at(world.now + length, [this, index] {
        world.nodes[index]->disk.mode = DiskMode::good;
        if (world.nodes[index]->running) world.wake_disk(index);
    });
}

// Until the losses that the fleet is told of can be borne once more.
auto Scenario::await_bearable(Microseconds limit) -> bool {
    auto const begun = world.now;
    auto const good = run_until([&] { return world.bearable() >= options.losses; }, limit);
    result.bearing.push_back(world.now - begun);
    if (!good) {
        world.violation("the next loss can't be borne after " + std::to_string(limit / one_second) + " s");
        world.describe();
    }
    run_for(begun + limit - world.now);
    return good;
}

auto Scenario::finish(Microseconds limit) -> void {
    change_interval = 0;
    operators.answers_lost = 0.0;
    world.heal();
    for (auto index : cores) {
        world.nodes[index]->disk.mode = DiskMode::good;
        if (world.nodes[index]->running) world.wake_disk(index);
    }
    if (!run_until([&] { return world.settled(); }, limit)) {
        world.violation("not settled within " + std::to_string(limit / one_second) + " s of calm");
        world.describe();
    }
    if (!run_until([&] { return operators.all_answered(); }, answer_limit))
        world.violation("a change has no clear answer after fifteen seconds of calm");
    auto answer = std::optional<CallDone>();
    world.call(
        options.cores, Call{configuration_partition, "", "get", "", ""}, [&](CallDone const& done) { answer = done; });
    run_until([&] { return answer.has_value(); }, answer_limit);
    if (!answer || answer->status != 200) world.violation("the configuration can't be read in calm");
    else operators.judge_document(answer->body);
    world.call_results.clear();
}

auto run_scenario(ScenarioOptions const& options) -> ScenarioResult { return Scenario(options).run(); }

}  // namespace dockrock::simulation

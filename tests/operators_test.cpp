// Several operators at once, their answers lost and their orders sent again, through
// faults: one change for one version, and none that was taken is refused. docs/design.md 7.
#include "services_helpers.hpp"
#include "world_helpers.hpp"

using namespace dockrock;
using namespace dockrock::simulation;
using namespace dockrock::testing;

namespace {

constexpr auto under_way_most = std::size_t{8};
constexpr auto operator_patience = one_second;

struct Order {
    Call call;
    std::int64_t version = 0;
    bool settled = false;  // a clear answer came
    bool taken = false;
    std::uint64_t sent = 0;
};

struct Operators {
    World& world;
    Random random;
    std::vector<Order> orders;
    std::map<std::int64_t, std::size_t> winners;  // by version
    std::int64_t newest = 0;
    std::size_t under_way = 0;
    std::size_t repeats_answered = 0;
    std::vector<std::string> violations;

    auto violation(std::size_t number, std::string const& what) -> void {
        violations.push_back(
            std::to_string(world.now / 1'000) + " ms, order " + std::to_string(number) + " for version " +
            std::to_string(orders[number].version) + ": " + what);
    }

    // Made on the newest version known, so that many bear one number; whole or as a patch.
    auto make() -> void {
        if (under_way >= under_way_most) return;
        auto const base = std::to_string(newest);
        auto const version = newest + 1;
        auto const own = std::string(orders.size() % 500, ' ');  // no two contents are alike
        auto const patch = random.below(2) == 0 && newest > 0;
        auto const operation = std::string(patch ? "patch" : "put");
        auto const body = (patch ? "{\"version\":" + std::to_string(version) + "}" : services_text(version)) + own;
        orders.push_back(
            {{configuration_partition, change_identity(operation, base, body), operation, "", body, base}, version});
        ++under_way;
        send(orders.size() - 1);
    }

    auto send(std::size_t number) -> void {
        auto const attempt = ++orders[number].sent;
        auto const index = random.below(world.nodes.size());
        auto const lost = random.below(5) == 0;
        world.call(index, orders[number].call, [this, number, attempt, lost](CallDone const& done) {
            if (!lost) answered(number, attempt, done.status);
        });
        world.at(world.now + operator_patience, [this, number, attempt] {
            if (orders[number].sent == attempt && !orders[number].settled) send(number);
        });
    }

    auto answered(std::size_t number, std::uint64_t attempt, int status) -> void {
        auto& order = orders[number];
        if (status >= 500) {
            if (!order.settled && order.sent == attempt)
                world.at(world.now + 50 * one_millisecond, [this, number, attempt] {
                    if (orders[number].sent == attempt && !orders[number].settled) send(number);
                });
            return;
        }
        if (std::exchange(order.settled, true)) {
            ++repeats_answered;
            if (order.taken != (status == 200)) violation(number, "answered another way when it was sent again");
            return;
        }
        --under_way;
        order.taken = status == 200;
        if (!order.taken && in_force(order.call.body)) violation(number, "refused, though it is in force");
        if (!order.taken) return;
        newest = std::max(newest, order.version);
        if (!winners.emplace(order.version, number).second) violation(number, "the second that was acknowledged");
    }

    auto in_force(std::string const& document) const -> bool {
        return std::any_of(world.nodes.begin(), world.nodes.end(), [&](auto const& node) {
            return node->control.views[configuration_partition].copy.document == document;
        });
    }

    // Any order that had a clear answer, also long ago.
    auto repeat() -> void {
        if (orders.empty()) return;
        auto number = random.below(orders.size());
        if (!winners.empty() && random.below(2) == 0)
            number = std::next(winners.begin(), static_cast<std::ptrdiff_t>(random.below(winners.size())))->second;
        if (orders[number].settled) send(number);
    }
};

auto fault(World& world, Random& random) -> void {
    auto const back = [&](std::size_t index) {
        world.at(world.now + static_cast<Microseconds>(300'000 + random.below(2'000'000)), [&world, index] {
            world.start(index);
        });
    };
    auto const any = random.below(world.options.cores);
    switch (random.below(6)) {
        case 0:
            for (auto index = std::size_t{0}; index < world.nodes.size(); ++index) {
                world.kill(index, false);
                back(index);
            }
            break;
        case 1:
            world.isolate(any);
            world.at(world.now + 2 * one_second, [&world] { world.heal(); });
            break;
        case 2: world.freeze(any, 1'500 * one_millisecond); break;
        case 3:
            world.kill(any, false);
            back(any);
            break;
        default:
            if (auto const holder = world.leader(configuration_partition)) {
                world.kill(*holder, false);
                back(*holder);
            }
    }
}

struct Planted {
    bool outcomes_forgotten = false;
    bool base_passed_over = false;
};

struct Result {
    std::vector<std::string> violations;
    std::size_t winners = 0;
    std::size_t repeats_answered = 0;
};

auto run_operators(std::uint64_t seed, std::size_t cores, Planted const& planted = {}) -> Result {
    WorldOptions options;
    options.seed = seed;
    options.cores = options.areas = cores;
    options.losses = cores > 4 ? 2 : 1;
    auto world = World(options);
    world.when_started = [&](std::size_t index) {
        limit_calls(world.nodes[index]->control.times);
        world.nodes[index]->control.partitions[configuration_partition].apply = [&](Copy const& held, Call call) {
            if (!planted.base_passed_over) return apply_versioned(plain_form(), held, call);
            return ChangeResult{200, "", call.body};
        };
    };
    for (auto index = std::size_t{0}; index < world.nodes.size(); ++index) world.start(index);
    REQUIRE(world.run_until_true([&] { return world.settled(); }, 12 * one_second));
    auto operators = Operators{world, Random{seed * 101 + 3}, {}, {}};
    auto faults = Random{seed * 17 + 5};
    auto next_fault = world.now + 2 * one_second;
    auto const end = world.now + 30 * one_second;
    while (world.now < end) {
        world.run_until(world.now + static_cast<Microseconds>(20'000 + faults.below(80'000)));
        operators.make();
        operators.repeat();
        if (planted.outcomes_forgotten)
            for (auto& node : world.nodes) node->control.partitions[configuration_partition].copy.outcomes.clear();
        if (world.now < next_fault) continue;
        fault(world, faults);
        next_fault = world.now + static_cast<Microseconds>(1'000'000 + faults.below(3'000'000));
    }
    world.heal();
    world.run_until(world.now + 10 * one_second);
    for (auto const& text : world.violations) operators.violations.push_back(text);
    return {operators.violations, operators.winners.size(), operators.repeats_answered};
}

}  // namespace

TEST_CASE("eight orders at once, many with one number, answers lost: one winner each, none that was taken refused") {
    for (auto seed = std::uint64_t{1}; seed <= 8; ++seed) {
        auto const result = run_operators(seed, seed % 2 == 0 ? 4 : 5);
        INFO("seed " << seed << (result.violations.empty() ? "" : ": " + result.violations.front()));
        CHECK(result.violations.empty());
        CHECK(result.winners > 20);
        CHECK(result.repeats_answered > 40);
    }
}

TEST_CASE("planted: outcomes that are forgotten, or bases that are passed over, are caught") {
    auto forgotten = 0;
    auto passed_over = 0;
    for (auto seed = std::uint64_t{1}; seed <= 4; ++seed) {
        forgotten += run_operators(seed, 4, {true, false}).violations.empty() ? 0 : 1;
        passed_over += run_operators(seed, 4, {false, true}).violations.empty() ? 0 : 1;
    }
    CHECK(forgotten == 4);
    CHECK(passed_over == 4);
}

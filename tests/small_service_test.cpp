// How many replicas of a small service keep serving while target weights are loaded.
// docs/design.md section 11.1.
#include "rollout_helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

constexpr auto bound = 15 * one_second;
constexpr auto heard = 100 * one_millisecond;  // a step or two of the leader

// The number of replicas that get new requests now.
auto serving(Pool const& pool) -> int {
    auto states = WeightsStates();
    pool.rollout.add_states("m", states);
    auto count = 0;
    for (auto const& [name, replica] : pool.replicas)
        count += replica.silent || (states.contains(name) && states.at(name).loading) ? 0 : 1;
    return count;
}

}  // namespace

TEST_CASE("a small service keeps a replica that serves until the margin, and all load in time") {
    for (auto const count : {1, 2, 3}) {
        auto pool = Pool(count);
        for (auto& [name, replica] : pool.replicas) replica.load = 2 * one_second;
        pool.rollout.times.bound = bound;
        pool.name_version(2);
        auto least = count;
        for (auto const end = pool.now + bound - weights_margin; pool.now < end; pool.step())
            least = std::min(least, serving(pool));
        INFO(count << " replicas");
        CHECK(least == (count == 1 ? 0 : 1));
        CHECK(pool.all_hold(2));
        CHECK(pool.orders == count);
    }
}

TEST_CASE("the last replica that serves waits for one that is silent, and no longer than to the margin") {
    auto pool = Pool(2);
    pool.rollout.times.bound = bound;
    pool.replicas["r10"].load = pool.replicas["r11"].load = 2 * one_second;
    auto first = std::string();
    pool.bend = [&](auto const& order, auto end) {
        if (!first.empty()) return end;
        first = order.replica;
        pool.replicas[first].silent = true;
        pool.replicas[first].loading = 0;  // the order was lost
        return OrderResult::unknown;
    };
    pool.name_version(2);
    for (auto const end = pool.now + bound - weights_margin - heard; pool.now < end; pool.step())
        CHECK(serving(pool) >= 1);
    pool.run(heard + heard + pool.rollout.times.announce);
    for (auto const& [name, replica] : pool.replicas) CHECK((replica.version == 2 || replica.loading == 2));
    CHECK(pool.open_after(bound - weights_margin + heard) == 0);
}

TEST_CASE(
    "without a bound the last replica that serves waits for a silent one only while that occupies its load slot") {
    auto pool = Pool(2);
    auto first = std::string();
    pool.bend = [&](auto const& order, auto end) {
        if (first.empty()) pool.replicas[first = order.replica].silent = true;
        return end;
    };
    pool.name_version(2);
    CHECK(pool.run_until([&] { return pool.all_hold(2); }, 8 * one_second));
}

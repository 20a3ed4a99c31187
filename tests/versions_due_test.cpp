// The deadline of each target version, and how the roll-out meets it.
// docs/design.md section 11.4.
#include "rollout_helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

constexpr auto bound = 15 * one_second;
constexpr auto heard = 100 * one_millisecond;  // a step or two of the leader

}  // namespace

TEST_CASE("a load that the list shows before the report leaves no stale count of orders") {
    auto pool = Pool(1);
    auto& replica = pool.replicas["r10"];
    replica.load = 2'400 * one_millisecond;
    auto ends = std::vector<OrderResult>();
    pool.bend = [&](auto const&, auto end) { return ends.push_back(end), end; };
    REQUIRE(pool.run_until([&] { return pool.all_hold(2); }, 5 * one_second));
    pool.run(3 * one_second);
    replica.load = 300 * one_millisecond;  // no requests run there any more
    pool.target = 3;
    REQUIRE(pool.run_until([&] { return pool.listed["r10"].second == 3; }, 5 * one_second));
    pool.target = 4;
    REQUIRE(pool.run_until([&] { return pool.all_hold(4); }, 5 * one_second));
    CHECK(ends == std::vector(3, OrderResult::accepted));
}

TEST_CASE("replicas with the oldest version get no new requests near its bound, however many targets follow it") {
    auto pool = Pool(18);
    pool.rollout.times.bound = bound;
    for (auto& [name, replica] : pool.replicas) replica.load = 3 * one_second;  // streams run on
    pool.name_version(2);
    pool.run(2'500 * one_millisecond);
    pool.name_version(3);
    pool.run(1'100 * one_millisecond);
    pool.name_version(4);
    auto open = 0;
    for (auto const end = pool.now + 16 * one_second; pool.now < end;) {
        pool.step();
        open += pool.open_after(bound - weights_margin + heard);
    }
    CHECK(open == 0);
}

namespace {

// The maximum number of concurrent loads until older weights get no new requests.
auto most_before_margin(Pool& pool, Microseconds length) -> std::size_t {
    pool.name_version(2);
    pool.run(length - weights_margin);
    return pool.most_at_once;
}

}  // namespace

TEST_CASE("replicas with short loads are loaded three at a time under either bound") {
    for (auto const length : {12 * one_second, 15 * one_second}) {
        auto pool = Pool(18);
        auto random = std::mt19937(7);
        for (auto& [name, replica] : pool.replicas)
            replica.load = static_cast<Microseconds>(1'100'000 + random() % 700'000);
        pool.rollout.times.bound = length;
        CHECK(most_before_margin(pool, length) == 3);
        REQUIRE(pool.run_until([&] { return pool.all_hold(2); }, 2 * one_second + load_time));
        CHECK(pool.orders == 18);
    }
}

TEST_CASE("with long loads more replicas load at a time, never above half before the margin") {
    for (auto const load : {3 * one_second, 4 * one_second, 9 * one_second}) {
        auto pool = Pool(18);
        for (auto& [name, replica] : pool.replicas) replica.load = load;
        pool.rollout.times.bound = bound;
        auto const most = most_before_margin(pool, bound);
        CHECK(most > 3);
        CHECK(most <= 9);
        pool.run(heard + pool.rollout.times.announce);
        for (auto const& [name, replica] : pool.replicas) CHECK((replica.version == 2 || replica.loading == 2));
        CHECK(pool.run_until([&] { return pool.all_hold(2); }, load));
        CHECK(pool.orders == 18);
    }
}

TEST_CASE("a draining replica is ordered only when it is overdue and its queued requests would begin late") {
    auto pool = Pool(2);
    pool.rollout.times.bound = bound;
    pool.replicas["r10"].drain = true;
    pool.name_version(2);
    pool.run(bound - weights_margin - heard);
    CHECK(pool.orders == 1);
    pool.run(heard + heard + pool.rollout.times.announce);
    CHECK(pool.orders == 2);
    CHECK(pool.open_after(bound - weights_margin + heard) == 0);
}

TEST_CASE("replicas that are due first are loaded first") {
    auto pool = Pool(9);
    pool.rollout.times.bound = bound;
    pool.name_version(2);
    REQUIRE(pool.run_until([&] { return pool.orders == 6; }, 5 * one_second));
    pool.name_version(4);
    auto ordered = std::vector<std::int64_t>();
    pool.bend = [&](auto const& order, auto end) {
        return ordered.push_back(pool.rollout.by_replica[order.replica].version), end;
    };
    REQUIRE(pool.run_until([&] { return pool.all_hold(4); }, 15 * one_second));
    CHECK(std::is_sorted(ordered.begin(), ordered.end()));
    CHECK(std::count(ordered.begin(), ordered.end(), 1) == 3);
}

TEST_CASE("a 409 occupies a load slot no longer than a report takes") {
    auto pool = Pool(6);
    auto refused = std::set<std::string>();
    pool.bend = [&](auto const& order, auto end) {
        if (refused.size() == 3 || end != OrderResult::accepted) return end;
        auto& replica = pool.replicas[order.replica];
        replica.loading = 0;
        replica.silent = true;
        refused.insert(order.replica);
        return OrderResult::conflict;
    };
    REQUIRE(pool.run_until([&] { return refused.size() == 3; }, one_second));
    auto const others = [&] {
        auto loads = 0;
        for (auto const& [name, replica] : pool.replicas) loads += replica.loading == 2 ? 1 : 0;
        return loads == 3;
    };
    CHECK(pool.run_until(others, one_second));
}

TEST_CASE("a replica that reports the new version and is still busy is not ordered again") {
    auto rollout = VersionsRollout();
    auto replicas = std::vector<ListedReplica>{{"a", "service", "", 1, false}};
    auto const step = [&](std::int64_t wanted, Microseconds now) {
        return rollout.step(wanted, 1, true, 3, replicas, now);
    };
    auto now = 100 * one_second;
    step(2, now);
    REQUIRE(step(2, now += 50 * one_millisecond).orders.size() == 1);
    rollout.order_ended("a", OrderResult::accepted, now);
    REQUIRE(step(2, now += one_second).reports.size() == 1);
    rollout.reported("a", ReportedWeights{2, true, 1}, now, now);
    for (auto count = 0; count < 6; ++count) CHECK(step(3, now += 25 * one_millisecond).orders.empty());
    REQUIRE(step(3, now += 200 * one_millisecond).reports.size() == 1);
    rollout.reported("a", ReportedWeights{2, false, 1}, now, now);
    step(3, now += 25 * one_millisecond);
    auto const orders = step(3, now += 50 * one_millisecond).orders;
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].orders == 1);
}

TEST_CASE("a new leader publishes the state of due replicas before it may order") {
    auto pool = Pool(6);
    pool.may_order = false;
    pool.rollout.times.bound = bound;
    pool.name_version(2);
    pool.run(3 * one_second);
    pool.name_version(3);  // gives version 1 no more time
    pool.run(bound - weights_margin + heard - 3 * one_second);
    CHECK(pool.orders == 0);
    CHECK(pool.open_after(0) == 0);
    CHECK(pool.rollout.collect_metrics(pool.now).overdue == 6);
    CHECK(pool.rollout.collect_metrics(pool.now).behind == 6);
    CHECK(pool.rollout.collect_metrics(pool.now).oldest >= bound - weights_margin);
}

TEST_CASE("the times of old versions are dropped without giving any replica more time") {
    auto named = VersionTimes();
    CHECK_FALSE(named.take(1, 5));
    for (auto version = 2; version < 200; ++version) CHECK(named.take(version, 10 * version));
    CHECK_FALSE(named.take(199, 9'999));
    CHECK_FALSE(named.take(50, 9'999));
    CHECK(named.at.size() == VersionTimes::most);
    CHECK(*named.superseded_at(1) <= 10 * 136);
    for (auto version = 136; version < 199; ++version) CHECK(*named.superseded_at(version) == 10 * (version + 1));
    CHECK_FALSE(named.superseded_at(199));
}

TEST_CASE("a replica that returns with its old version long after the bound gets no requests and is ordered at once") {
    auto pool = Pool(4);
    pool.rollout.times.bound = bound;
    pool.name_version(2);
    REQUIRE(pool.run_until([&] { return pool.all_hold(2); }, bound));
    pool.run(20 * one_second);
    pool.replicas["r99"];
    pool.run(2 * one_second);
    CHECK(pool.open_after(bound) == 0);
    CHECK((pool.replicas["r99"].loading == 2 || pool.replicas["r99"].version == 2));
}

TEST_CASE("an overdue replica that answers no report is ordered again, rarely, and loads once") {
    auto pool = Pool(1);
    auto& replica = pool.replicas["r10"];
    pool.rollout.times.bound = bound;
    replica.silent = true;
    auto counts = std::vector<std::optional<std::uint64_t>>();
    auto answered = true;
    pool.bend = [&](auto const& order, auto end) {
        return counts.push_back(order.orders), answered ? end : OrderResult::unknown;
    };
    SECTION("its order was lost") { pool.lost.insert("r10"); }
    SECTION("its order was taken, and no answer comes") {
        answered = false;
        replica.load = 17 * one_second;
    }
    pool.name_version(2);
    pool.run(bound - weights_margin - heard);
    CHECK(pool.orders == 1);
    pool.run(heard + heard + pool.rollout.times.announce);
    CHECK(pool.orders == 2);
    pool.run(20 * one_second);
    CHECK(replica.version == 2);
    CHECK(replica.loads == 1);
    CHECK(pool.orders <= (answered ? 2 : 6));
    for (auto const& count : counts) CHECK_FALSE(count);
}

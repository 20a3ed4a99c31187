#include "helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

TEST_CASE("each filter rules a replica out for its own reason") {
    auto granting = make_scheduler(1);
    auto& table = granting.burden;
    auto& state = table.replicas.at("r0");
    auto const ticket = make_ticket(1);
    CHECK(table.check(state, ticket, 10) == Filter::passed);
    state.entry.drain = true;
    CHECK(table.check(state, ticket, 10) == Filter::available);
    state.entry.drain = false;
    table.report_failed("r0", 10);
    CHECK(table.check(state, ticket, 10) == Filter::reachable);
    table.take_report("r0", report_of(100'000), one_second);
    CHECK(table.check(state, ticket, 2 * one_second) == Filter::passed);
    auto wide = ticket;
    wide.body.slots = 3;
    CHECK(table.check(state, wide, 2 * one_second) == Filter::capacity);
    auto named = ticket;
    named.body.weights = "w2";
    CHECK(table.check(state, named, 2 * one_second) == Filter::weights);
    CHECK(table.check(state, make_ticket(2, 100'001), 2 * one_second) == Filter::memory);
    for (auto number = std::uint64_t{10}; number < 18; ++number)
        table.place("r0", make_ticket(number), 1, 2 * one_second);
    CHECK(table.check(state, ticket, 2 * one_second) == Filter::passed);  // 8 running are not above 4 x 2
    table.place("r0", make_ticket(18), 1, 2 * one_second);
    CHECK(table.check(state, ticket, 2 * one_second) == Filter::busy);
}

TEST_CASE("short requests score higher, and long ones rise while they wait") {
    auto granting = make_scheduler(1);
    granting.options.rank_weight = 0.0;
    auto const short_young = Waiting{make_ticket(1, 10), 10 * one_second, {}};
    auto const long_young = Waiting{make_ticket(2, 1'000), 10 * one_second, {}};
    auto const long_old = Waiting{make_ticket(3, 1'000), 0, {}};
    auto const now = 10 * one_second + 200 * one_millisecond;
    CHECK(granting.score(short_young, now) > granting.score(long_young, now));
    CHECK(granting.score(long_old, now) > granting.score(long_young, now));
    CHECK(
        granting.score(long_old, 100 * one_second) >
        granting.score(Waiting{make_ticket(4, 10), 99 * one_second + 900 * one_millisecond, {}}, 100 * one_second));
}

TEST_CASE("scheduling looks at the first twenty requests only, so that a large one is not starved by small ones") {
    auto granting = make_scheduler(1, 100, 1'000);
    for (auto number = std::uint64_t{1}; number <= 20; ++number)
        CHECK(enter(granting, make_ticket(number, 2'000), 0).sheds.empty());  // none fits
    CHECK(enter(granting, make_ticket(21, 10), 30 * one_second)
              .sheds.empty());  // would fit, but scores lower than all of them
    CHECK(match(granting, 30 * one_second).placements.empty());
    granting.withdraw(1);
    CHECK(match(granting, 30 * one_second).placements.size() == 1);
}

TEST_CASE("the replica with the least load relative to capacity is chosen, ties go to the longest cached prefix") {
    auto granting = make_scheduler(3);
    granting.burden.replicas.at("r0").entry.capacity = 4;
    granting.burden.place("r0", make_ticket(100), 1, 1);
    granting.burden.place("r1", make_ticket(101), 1, 1);
    granting.burden.place("r2", make_ticket(102), 1, 1);
    enter(granting, make_ticket(1), 10);
    CHECK(match(granting, 10).placements.at(0).replica == "r0");  // 1/4 against 1/2
    granting.burden.place("r0", make_ticket(103), 1, 1);          // r0 now 3/4
    auto report = report_of(100'000);
    report.events = {{0, "kept", "7"}};
    report.next_event = 1;
    granting.burden.take_report("r2", report, 20);
    enter(granting, with_prefix(make_ticket(2), {7}, 50), 30);
    auto const placed = match(granting, 30).placements.at(0);
    CHECK(placed.replica == "r2");
    CHECK(placed.kept_tokens == 50);
}

TEST_CASE("cache entries from before a gap in the prefix events or a change of weights do not count") {
    auto granting = make_scheduler(1);
    auto& table = granting.burden;
    auto const& state = table.replicas.at("r0");
    auto const ticket = with_prefix(make_ticket(1), {7, 8}, 50);
    auto report = report_of(1'000);
    report.events = {{0, "kept", "7"}, {1, "kept", "8"}};
    report.next_event = 2;
    table.take_report("r0", report, 10);
    CHECK(table.kept_tokens(state, ticket) == 100);
    auto gapped = report_of(1'000);
    gapped.first_event = 9;
    gapped.next_event = 10;
    gapped.events = {{9, "kept", "8"}};
    table.take_report("r0", gapped, 20);
    CHECK(table.kept_tokens(state, ticket) == 100);  // chain 8 covers both parts and was reported after the gap
    auto cleared = report_of(1'000, "w2");
    cleared.first_event = cleared.next_event = 10;
    table.take_report("r0", cleared, 30);
    CHECK(table.kept_tokens(state, ticket) == 0);
    auto late = report_of(1'000);
    late.events = {{11, "kept", "7"}};
    table.take_report("r0", late, 25);  // older than the last report: ignored
    CHECK(table.kept_tokens(state, ticket) == 0);
}

TEST_CASE("a tenant that used less than its share scores higher, within bounds") {
    auto granting = make_scheduler(1);
    auto greedy = make_ticket(1);
    greedy.tenant_path = "/root/greedy";
    auto light = make_ticket(2);
    light.tenant_path = "/root/light";
    granting.usage["/root/greedy"] = {10'000.0, 0, 1};
    granting.usage["/root/light"] = {100.0, 0, 1};
    auto const greedy_score = granting.score({greedy, 0, {}}, 1);
    auto const light_score = granting.score({light, 0, {}}, 1);
    CHECK(light_score > greedy_score);
    CHECK(light_score / greedy_score <= 4.0 + 1e-9);
}

TEST_CASE("a full queue sheds the lowest rank first, and requests past their deadline are shed") {
    auto granting = make_scheduler(1, 1, 10);  // nothing fits
    granting.buffer_length = 2;
    auto low = make_ticket(1);
    low.rank = 1;
    auto middle = make_ticket(2);
    middle.rank = 5;
    auto high = make_ticket(3);
    high.rank = 9;
    CHECK(enter(granting, middle, 0).sheds.empty());
    CHECK(enter(granting, low, 0).sheds.empty());
    auto const outranked = enter(granting, high, 0).sheds;
    REQUIRE(outranked.size() == 1);
    CHECK(outranked[0].ticket == 1);
    CHECK(outranked[0].retry_after >= 1);
    low.number = 4;
    CHECK(enter(granting, low, 0).sheds.at(0).reason == ShedReason::buffer_full);
    CHECK(match(granting, 100 * one_second).sheds.size() == 2);  // their deadline has come
    CHECK(granting.waiting_count() == 0);
}

TEST_CASE("with an old freshness proof nothing is placed, and with a lost one all requests are shed at once") {
    auto granting = make_scheduler(1);
    enter(granting, make_ticket(1), 0);
    CHECK(match(granting, one_second, proof_limit + 1).placements.empty());
    CHECK(granting.waiting_count() == 1);
    auto const lost = match(granting, 5 * one_second, proof_shed_limit + 1);
    REQUIRE(lost.sheds.size() == 1);
    CHECK(lost.sheds[0].reason == ShedReason::not_fresh);
}

TEST_CASE(
    "retries stay within a fifth of the requests plus one; a retry over the budget waits a second, then is shed") {
    auto granting = make_scheduler(2, 1'000, 100'000'000);
    auto placed = std::size_t{0};
    auto told = std::size_t{0};
    for (auto number = std::uint64_t{1}; number <= 1'000; ++number) {
        auto const now = static_cast<Microseconds>(number) * 20 * one_millisecond;
        enter(granting, make_ticket(number), now);
        granting.withdraw(number);
        granting.enter_again(make_ticket(number), "r0", now);
        auto const decisions = match(granting, now);
        for (auto const& item : decisions.placements) {
            CHECK(item.replica == "r1");
            granting.burden.release("r1", item.ticket);
        }
        placed += decisions.placements.size();
        for (auto const& item : decisions.sheds) CHECK(item.reason == ShedReason::budget);
        told += decisions.sheds.size();
    }
    CHECK(placed <= 201);
    CHECK(placed >= 195);
    CHECK(granting.extra_tries == placed);
    CHECK(granting.waiting_count() + placed + told == 1'000);
    CHECK(granting.waiting_count() <= 51);  // none waits for the budget longer than a second
}

TEST_CASE("without a usable replica a request is shed within two seconds, not at its deadline") {
    auto granting = make_scheduler(1);
    granting.burden.replicas.at("r0").entry.drain = true;
    enter(granting, make_ticket(1), 0);
    CHECK(match(granting, 1).sheds.empty());
    CHECK(match(granting, 2 * one_second).sheds.at(0).reason == ShedReason::no_replica);
}

TEST_CASE("a fetch is planned only from the same weights and where it beats recomputing") {
    auto granting = make_scheduler(2);
    auto& table = granting.burden;
    auto report = report_of(100'000);
    report.events = {{0, "kept", "7"}};
    report.next_event = 1;
    table.take_report("r1", report, 10);
    table.place("r1", make_ticket(50), 1, 11);  // r0 is less busy
    enter(granting, with_prefix(make_ticket(1), {7}, 5'000), 20);
    auto const planned = match(granting, 20).placements.at(0);
    CHECK(planned.replica == "r0");
    CHECK(planned.fetch.source == "127.0.0.1:9001");
    CHECK(planned.fetch.limit > 0);
    table.release("r0", 1);
    auto const planned_at = [&](std::uint64_t number, Microseconds now) {
        enter(granting, with_prefix(make_ticket(number), {7}, 5'000), now);
        auto const placement = match(granting, now).placements.at(0);
        table.release(placement.replica, number);
        return placement.fetch.source;
    };
    granting.record_fetch(
        "127.0.0.1:9001", "another", 50, 5 * one_second, 30);  // another link's speed does not count for this one
    CHECK(planned_at(2, 30) == "127.0.0.1:9001");
    for (auto count = 0; count < 5; ++count) granting.record_fetch("127.0.0.1:9001", "r0", 50, 5 * one_second, 30);
    CHECK(planned_at(3, 30).empty());  // a slow link: recompute
    granting.store_address = "127.0.0.1:9500";
    CHECK(planned_at(4, 30) == "127.0.0.1:9500");
    for (auto count = 0; count < 5; ++count)
        granting.record_fetch("127.0.0.1:9500", "r0", 0, 1'000, 30);  // an empty store
    CHECK(planned_at(5, 30).empty());
    CHECK(planned_at(6, 31 * one_second) == "127.0.0.1:9001");  // tried again after a while
}

TEST_CASE("the last place at a replica goes to the node with the fewest requests there, whatever its name") {
    for (auto const* name : {"a", "b", "c", "d", "e", "f"}) {
        auto granting = make_scheduler(1, 2);
        granting.burden.self = name;
        granting.burden.take_digest("other", 1, R"({"r0":{"count":8,"slots":8,"memory":0,"recent":0}})", 1'000);
        enter(granting, make_ticket(1), 2'000);
        CHECK(match(granting, 2'000).placements.size() == 1);  // this node has none there, so it gets the place
        auto crowded = make_scheduler(1, 2);
        crowded.burden.self = name;
        for (auto number = std::uint64_t{10}; number < 14; ++number)
            crowded.burden.place("r0", make_ticket(number), 0, 1'000);
        crowded.burden.make_digest(1'500);
        crowded.burden.take_digest("other", 1, R"({"r0":{"count":4,"slots":4,"memory":0,"recent":0}})", 1'600);
        crowded.burden.take_digest("third", 1, R"({"r1":{"count":1,"slots":1,"memory":0,"recent":0}})", 1'600);
        enter(crowded, make_ticket(1), 2'000);
        CHECK(match(crowded, 2'000).placements.empty());  // "third" has none there yet
    }
}

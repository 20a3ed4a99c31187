#include "helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

TEST_CASE("each filter rules a replica out for its own reason") {
    auto scheduler = make_scheduler(1);
    auto& table = scheduler.load_table;
    auto& state = table.replicas.at("r0");
    auto const inference = make_inference(1);
    CHECK(table.check(state, inference, 10) == Filter::passed);
    state.entry.drain = true;
    CHECK(table.check(state, inference, 10) == Filter::available);
    state.entry.drain = false;
    table.report_failed("r0", 10);
    CHECK(table.check(state, inference, 10) == Filter::reachable);
    table.take_report("r0", report_of(100'000), one_second);
    CHECK(table.check(state, inference, 2 * one_second) == Filter::passed);
    auto wide = inference;
    wide.body.slots = 3;
    CHECK(table.check(state, wide, 2 * one_second) == Filter::capacity);
    auto named = inference;
    named.body.weights = "w2";
    CHECK(table.check(state, named, 2 * one_second) == Filter::weights);
    CHECK(table.check(state, make_inference(2, 100'001), 2 * one_second) == Filter::memory);
    for (auto number = std::uint64_t{10}; number < 18; ++number)
        table.place("r0", make_inference(number), 1, 2 * one_second);
    CHECK(table.check(state, inference, 2 * one_second) == Filter::passed);  // 8 running are not above 4 x 2
    table.place("r0", make_inference(18), 1, 2 * one_second);
    CHECK(table.check(state, inference, 2 * one_second) == Filter::busy);
}

TEST_CASE("short requests score higher, and long ones rise while they wait") {
    auto scheduler = make_scheduler(1);
    scheduler.options.rank_weight = 0.0;
    auto const short_young = QueuedRequest{make_inference(1, 10), 10 * one_second, {}};
    auto const long_young = QueuedRequest{make_inference(2, 1'000), 10 * one_second, {}};
    auto const long_old = QueuedRequest{make_inference(3, 1'000), 0, {}};
    auto const now = 10 * one_second + 200 * one_millisecond;
    CHECK(scheduler.score(short_young, now) > scheduler.score(long_young, now));
    CHECK(scheduler.score(long_old, now) > scheduler.score(long_young, now));
    CHECK(
        scheduler.score(long_old, 100 * one_second) >
        scheduler.score(
            QueuedRequest{make_inference(4, 10), 99 * one_second + 900 * one_millisecond, {}}, 100 * one_second));
}

TEST_CASE("scheduling looks at the first twenty requests only, so that a large one is not starved by small ones") {
    auto scheduler = make_scheduler(1, 100, 1'000);
    for (auto number = std::uint64_t{1}; number <= 20; ++number)
        CHECK(enqueue(scheduler, make_inference(number, 2'000), 0).sheds.empty());  // none fits
    CHECK(enqueue(scheduler, make_inference(21, 10), 30 * one_second)
              .sheds.empty());  // would fit, but scores lower than all of them
    CHECK(schedule(scheduler, 30 * one_second).placements.empty());
    scheduler.withdraw(1);
    CHECK(schedule(scheduler, 30 * one_second).placements.size() == 1);
}

TEST_CASE("the replica with the least load relative to capacity is chosen, ties go to the longest cached prefix") {
    auto scheduler = make_scheduler(3);
    scheduler.load_table.replicas.at("r0").entry.capacity = 4;
    scheduler.load_table.place("r0", make_inference(100), 1, 1);
    scheduler.load_table.place("r1", make_inference(101), 1, 1);
    scheduler.load_table.place("r2", make_inference(102), 1, 1);
    enqueue(scheduler, make_inference(1), 10);
    CHECK(schedule(scheduler, 10).placements.at(0).replica == "r0");  // 1/4 against 1/2
    scheduler.load_table.place("r0", make_inference(103), 1, 1);      // r0 now 3/4
    auto report = report_of(100'000);
    report.events = {{0, "kept", "7"}};
    report.next_event = 1;
    scheduler.load_table.take_report("r2", report, 20);
    enqueue(scheduler, with_prefix(make_inference(2), {7}, 50), 30);
    auto const placed = schedule(scheduler, 30).placements.at(0);
    CHECK(placed.replica == "r2");
    CHECK(placed.cached_tokens == 50);
}

TEST_CASE("cache entries from before a gap in the prefix events or a change of weights do not count") {
    auto scheduler = make_scheduler(1);
    auto& table = scheduler.load_table;
    auto const& state = table.replicas.at("r0");
    auto const inference = with_prefix(make_inference(1), {7, 8}, 50);
    auto report = report_of(1'000);
    report.events = {{0, "kept", "7"}, {1, "kept", "8"}};
    report.next_event = 2;
    table.take_report("r0", report, 10);
    CHECK(table.cached_tokens(state, inference) == 100);
    auto gapped = report_of(1'000);
    gapped.first_event = 9;
    gapped.next_event = 10;
    gapped.events = {{9, "kept", "8"}};
    table.take_report("r0", gapped, 20);
    CHECK(table.cached_tokens(state, inference) == 100);  // chain 8 covers both parts and was reported after the gap
    auto cleared = report_of(1'000, "w2");
    cleared.first_event = cleared.next_event = 10;
    table.take_report("r0", cleared, 30);
    CHECK(table.cached_tokens(state, inference) == 0);
    auto late = report_of(1'000);
    late.events = {{11, "kept", "7"}};
    table.take_report("r0", late, 25);  // older than the last report: ignored
    CHECK(table.cached_tokens(state, inference) == 0);
}

TEST_CASE("a tenant that used less than its share scores higher, within bounds") {
    auto scheduler = make_scheduler(1);
    auto greedy = make_inference(1);
    greedy.tenant_path = "/root/greedy";
    auto light = make_inference(2);
    light.tenant_path = "/root/light";
    scheduler.usage["/root/greedy"] = {10'000.0, 0, 1};
    scheduler.usage["/root/light"] = {100.0, 0, 1};
    auto const greedy_score = scheduler.score({greedy, 0, {}}, 1);
    auto const light_score = scheduler.score({light, 0, {}}, 1);
    CHECK(light_score > greedy_score);
    CHECK(light_score / greedy_score <= 4.0 + 1e-9);
}

TEST_CASE("a full queue sheds the lowest rank first, and requests past their deadline are shed") {
    auto scheduler = make_scheduler(1, 1, 10);  // nothing fits
    scheduler.queue_limit = 2;
    auto low = make_inference(1);
    low.rank = 1;
    auto middle = make_inference(2);
    middle.rank = 5;
    auto high = make_inference(3);
    high.rank = 9;
    CHECK(enqueue(scheduler, middle, 0).sheds.empty());
    CHECK(enqueue(scheduler, low, 0).sheds.empty());
    auto const outranked = enqueue(scheduler, high, 0).sheds;
    REQUIRE(outranked.size() == 1);
    CHECK(outranked[0].request_number == 1);
    CHECK(outranked[0].retry_after >= 1);
    low.number = 4;
    CHECK(enqueue(scheduler, low, 0).sheds.at(0).reason == ShedReason::buffer_full);
    CHECK(schedule(scheduler, 100 * one_second).sheds.size() == 2);  // their deadline has come
    CHECK(scheduler.waiting_count() == 0);
}

TEST_CASE("with an old freshness proof nothing is placed, and with a lost one all requests are shed at once") {
    auto scheduler = make_scheduler(1);
    enqueue(scheduler, make_inference(1), 0);
    CHECK(schedule(scheduler, one_second, proof_limit + 1).placements.empty());
    CHECK(scheduler.waiting_count() == 1);
    auto const lost = schedule(scheduler, 5 * one_second, proof_shed_limit + 1);
    REQUIRE(lost.sheds.size() == 1);
    CHECK(lost.sheds[0].reason == ShedReason::not_fresh);
}

TEST_CASE(
    "retries stay within a fifth of the requests plus one; a retry over the budget waits a second, then is shed") {
    auto scheduler = make_scheduler(2, 1'000, 100'000'000);
    auto placed = std::size_t{0};
    auto told = std::size_t{0};
    for (auto number = std::uint64_t{1}; number <= 1'000; ++number) {
        auto const now = static_cast<Microseconds>(number) * 20 * one_millisecond;
        enqueue(scheduler, make_inference(number), now);
        scheduler.withdraw(number);
        scheduler.enqueue_retry(make_inference(number), "r0", now);
        auto const decisions = schedule(scheduler, now);
        for (auto const& item : decisions.placements) {
            CHECK(item.replica == "r1");
            scheduler.load_table.release("r1", item.request_number);
        }
        placed += decisions.placements.size();
        for (auto const& item : decisions.sheds) CHECK(item.reason == ShedReason::budget);
        told += decisions.sheds.size();
    }
    CHECK(placed <= 201);
    CHECK(placed >= 195);
    CHECK(scheduler.extra_tries == placed);
    CHECK(scheduler.waiting_count() + placed + told == 1'000);
    CHECK(scheduler.waiting_count() <= 51);  // none waits for the budget longer than a second
}

TEST_CASE("without a usable replica a request is shed within two seconds, not at its deadline") {
    auto scheduler = make_scheduler(1);
    scheduler.load_table.replicas.at("r0").entry.drain = true;
    enqueue(scheduler, make_inference(1), 0);
    CHECK(schedule(scheduler, 1).sheds.empty());
    CHECK(schedule(scheduler, 2 * one_second).sheds.at(0).reason == ShedReason::no_replica);
}

TEST_CASE("a fetch is planned only from the same weights and where it beats recomputing") {
    auto scheduler = make_scheduler(2);
    auto& table = scheduler.load_table;
    auto report = report_of(100'000);
    report.events = {{0, "kept", "7"}};
    report.next_event = 1;
    table.take_report("r1", report, 10);
    table.place("r1", make_inference(50), 1, 11);  // r0 is less busy
    enqueue(scheduler, with_prefix(make_inference(1), {7}, 5'000), 20);
    auto const planned = schedule(scheduler, 20).placements.at(0);
    CHECK(planned.replica == "r0");
    CHECK(planned.fetch.source == "127.0.0.1:9001");
    CHECK(planned.fetch.limit > 0);
    table.release("r0", 1);
    auto const planned_at = [&](std::uint64_t number, Microseconds now) {
        enqueue(scheduler, with_prefix(make_inference(number), {7}, 5'000), now);
        auto const placement = schedule(scheduler, now).placements.at(0);
        table.release(placement.replica, number);
        return placement.fetch.source;
    };
    scheduler.record_fetch(
        "127.0.0.1:9001", "another", 50, 5 * one_second, 30);  // another link's speed does not count for this one
    CHECK(planned_at(2, 30) == "127.0.0.1:9001");
    for (auto count = 0; count < 5; ++count) scheduler.record_fetch("127.0.0.1:9001", "r0", 50, 5 * one_second, 30);
    CHECK(planned_at(3, 30).empty());  // a slow link: recompute
    scheduler.store_address = "127.0.0.1:9500";
    CHECK(planned_at(4, 30) == "127.0.0.1:9500");
    for (auto count = 0; count < 5; ++count)
        scheduler.record_fetch("127.0.0.1:9500", "r0", 0, 1'000, 30);  // an empty store
    CHECK(planned_at(5, 30).empty());
    CHECK(planned_at(6, 31 * one_second) == "127.0.0.1:9001");  // tried again after a while
}

TEST_CASE("the last place at a replica goes to the node with the fewest requests there, whatever its name") {
    for (auto const* name : {"a", "b", "c", "d", "e", "f"}) {
        auto scheduler = make_scheduler(1, 2);
        scheduler.load_table.self = name;
        scheduler.load_table.take_digest("other", 1, R"({"r0":{"count":8,"slots":8,"memory":0,"recent":0}})", 1'000);
        enqueue(scheduler, make_inference(1), 2'000);
        CHECK(schedule(scheduler, 2'000).placements.size() == 1);  // this node has none there, so it gets the place
        auto crowded = make_scheduler(1, 2);
        crowded.load_table.self = name;
        for (auto number = std::uint64_t{10}; number < 14; ++number)
            crowded.load_table.place("r0", make_inference(number), 0, 1'000);
        crowded.load_table.make_digest(1'500);
        crowded.load_table.take_digest("other", 1, R"({"r0":{"count":4,"slots":4,"memory":0,"recent":0}})", 1'600);
        crowded.load_table.take_digest("third", 1, R"({"r1":{"count":1,"slots":1,"memory":0,"recent":0}})", 1'600);
        enqueue(crowded, make_inference(1), 2'000);
        CHECK(schedule(crowded, 2'000).placements.empty());  // "third" has none there yet
    }
}

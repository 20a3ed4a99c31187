// Choice of the least busy replica by outstanding prefill work. docs/design.md section 9.7.
#include "scheduling/placement_cost.hpp"

#include "helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

// A scheduler that chooses by outstanding work, as on nodes that relay requests.
auto make_work_scheduler(std::size_t replicas, std::int64_t capacity = 128) -> Scheduler {
    auto scheduler = make_scheduler(replicas, capacity, 1'000'000);
    auto options = scheduler.options;
    options.work_outstanding = true;
    options.idle_open = true;
    options.copy_cost = 0.3;
    options.recompute_tokens_each_second = 50'000.0;
    options.fetch_tokens_each_second = 1'000'000.0;
    scheduler.set_options(options);
    return scheduler;
}

// A request whose prompt has one shared part and one of its own.
auto long_prompt(std::uint64_t number, std::uint64_t shared_part, std::int64_t shared, std::int64_t own)
    -> InferenceRequest {
    auto inference = make_inference(number, 10);
    inference.independent_parts = true;
    inference.chain = {shared_part, 1'000'000 + number};
    inference.body.prefix = {{"shared", shared}, {"own", own}};
    inference.prefix_tokens = shared + own;
    inference.affinity = shared_part;
    return inference;
}

auto placed_at(Scheduler& scheduler, InferenceRequest const& inference, Microseconds now) -> std::string {
    enqueue(scheduler, inference, now);
    return schedule(scheduler, now).placements.at(0).replica;
}

}  // namespace

TEST_CASE("work before the first token: outstanding prompts, prefill, transfers, and copies of shared prefixes") {
    auto view = PlacementView{.outstanding = 500, .prompt = 10'000, .shared = 8'000, .home = true};
    auto const rates = PlacementRates{0.1, 0.25};
    CHECK(work_before_first_token(view, rates) == Approx(10'500));  // cached nowhere, and this is its home replica
    view.home = false;
    CHECK(work_before_first_token(view, rates) == Approx(12'500));
    view.best_cached = view.movable = 8'000;  // transferred from a peer: a further copy
    CHECK(work_before_first_token(view, rates) == Approx(500 + 2'000 + 800 + 2'000));
    view.cached = 8'000;
    CHECK(work_before_first_token(view, rates) == Approx(2'500));
    view.queued = 2;  // waits until two requests have ended
    CHECK(work_before_first_token(view, rates) == Approx(22'500));
}

TEST_CASE("an idle replica gets a prompt whose prefix a busy one has cached, unless the wait there is short") {
    auto scheduler = make_work_scheduler(2);
    scheduler.load_table.take_part("r0", 7, "w1", true);
    scheduler.load_table.take_weights("r0", "w1", false);
    scheduler.load_table.take_weights("r1", "w1", false);
    scheduler.load_table.take_part("r0", 7, "w1", true);
    scheduler.load_table.place("r0", make_inference(50), 1, 5, 1'000);
    CHECK(
        placed_at(scheduler, long_prompt(1, 7, 8'000, 1'000), 10) ==
        "r0");  // 1,000 tokens outstanding cost less than a copy
    scheduler.load_table.place("r0", make_inference(51), 1, 11, 9'000);
    CHECK(placed_at(scheduler, long_prompt(2, 7, 8'000, 1'000), 12) == "r1");
}

TEST_CASE("a prefix cached nowhere is placed first at the same home replica, whichever node decides") {
    auto first = make_work_scheduler(9);
    auto second = make_work_scheduler(9);
    second.load_table.self = "another";
    for (auto part = std::uint64_t{1}; part < 20; ++part)
        CHECK(
            placed_at(first, long_prompt(part, part, 8'000, 100), 10) ==
            placed_at(second, long_prompt(100 + part, part, 8'000, 100), 10));
}

TEST_CASE("the first output ends a request's prefill; its place is held until the request ends") {
    auto scheduler = make_work_scheduler(1);
    enqueue(scheduler, long_prompt(1, 7, 8'000, 1'000), 10);
    auto const placement = schedule(scheduler, 10).placements.at(0);
    auto const& state = scheduler.load_table.replicas.at("r0");
    CHECK(placement.tokens_to_read == 9'000);
    CHECK(scheduler.load_table.unread(state, 10) == 9'000);
    scheduler.first_output(placement, long_prompt(1, 7, 8'000, 1'000), 100'000);
    CHECK(scheduler.load_table.unread(state, 20) == 0);
    CHECK(scheduler.load_table.running(state, 20) == 1);
    scheduler.load_table.release("r0", 1);
    CHECK(scheduler.load_table.unread(state, 30) == 0);
    CHECK(scheduler.load_table.running(state, 30) == 0);
}

TEST_CASE("work placed by other nodes counts, reported by digests and through relays") {
    auto sender = make_work_scheduler(2);
    sender.load_table.self = "teller";
    sender.load_table.place("r0", make_inference(1), 1, 10, 6'400);
    auto receiver = make_work_scheduler(2);
    receiver.load_table.take_digest("teller", 1, sender.load_table.make_digest(20), 20);
    CHECK(receiver.load_table.unread(receiver.load_table.replicas.at("r0"), 30) == 6'400);
    auto summed = make_work_scheduler(2);
    summed.load_table.relayed = true;
    auto const told = sender.load_table.make_load_report(5, 20);
    summed.load_table.take_sum("relay", LoadSumUpdate{1, 0, 0, 0, 1, told}, 30);
    CHECK(summed.load_table.unread(summed.load_table.replicas.at("r0"), 40) == 6'400);
}

TEST_CASE("a mostly idle small service is open to every node of a large fleet") {
    auto scheduler = make_scheduler(3, 6);
    auto& table = scheduler.load_table;
    for (auto node = 0; node < 72; ++node)
        table.take_digest(
            "node" + std::to_string(node), 1,
            R"({"r9":{"count":1,"slots":1,"memory":1,"recent":1,"unread":0,"ended":0,"failed":0}})", 10);
    auto const open_replicas = [&] {
        auto count = 0;
        for (auto const& [name, state] : table.replicas) count += table.has_room(state, 20) ? 1 : 0;
        return count;
    };
    table.options.idle_open = true;
    CHECK(open_replicas() == 3);
    // With more than half of the places taken, they are rationed again: one for each node, by rank.
    for (auto& [name, state] : table.replicas)
        for (auto number = std::uint64_t{0}; number < 13; ++number) table.place(name, make_inference(number), 1, 15);
    auto const rationed = open_replicas();
    table.options.idle_open = false;
    CHECK(open_replicas() == rationed);
}

TEST_CASE("requests without a prompt go to the least busy replica, and not all to the first by hash") {
    auto scheduler = make_work_scheduler(3, 6);
    std::set<std::string> used;
    for (auto number = std::uint64_t{1}; number <= 3; ++number) {
        auto inference = make_inference(number, 1);
        inference.independent_parts = true;
        inference.affinity = 1;
        used.insert(placed_at(scheduler, inference, 10));
    }
    CHECK(used.size() == 3);
}

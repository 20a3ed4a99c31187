#include "helpers.hpp"
#include "interleaving.hpp"
#include "ticket/admission_table.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

using Table = AdmissionTable<CheckedPrimitives>;

struct Scene {
    Table table;
    int woken = 0;
    int placed = 0;
    Scene() { table.scheduler = make_scheduler(1, 1); }
};

// Nothing is left behind: no entry, nothing waiting, no place held by nobody.
auto nothing_left(Scene& scene, std::size_t held) -> bool {
    auto const& state = scene.table.scheduler.load_table.replicas.at("r0");
    return scene.table.entries.empty() && scene.table.scheduler.waiting_count() == 0 && state.placed.size() == held;
}

// As careless code would do it: look, let go of the lock, then take out.
auto careless_abandon(Table& table, std::uint64_t number) -> void {
    auto placement = std::optional<Placement>();
    table.with([&](Scheduler&) {
        if (auto const found = table.entries.find(number); found != table.entries.end())
            placement = found->second.placement;
    });
    if (placement) table.with([&](Scheduler& scheduler) { scheduler.load_table.release(placement->replica, number); });
    table.leave(number);
}

template <typename Abandon>
auto caller_goes_while_matched(Abandon abandon) -> Explored {
    return explore([&] {
        auto scene = std::make_shared<Scene>();
        auto inference = make_inference(1);
        scene->table.scheduler.load_table.replicas.at("r0").entry.drain = true;  // nothing is placed at entry
        scene->table.enqueue(
            inference, std::nullopt, [] {}, 10, 0);
        scene->table.scheduler.load_table.replicas.at("r0").entry.drain = false;
        auto bodies = std::vector<std::function<void()>>{
            [scene, abandon] { abandon(scene->table, 1); },
            [scene] { scene->table.schedule(20, 0); },
            [scene] {
                scene->table.with(
                    [](Scheduler& scheduler) { scheduler.load_table.take_report("r0", report_of(50'000), 15); });
            },
        };
        return std::pair(bodies, std::function<bool()>([scene] { return nothing_left(*scene, 0); }));
    });
}

}  // namespace

TEST_CASE("every interleaving of a caller that goes, a match and a report leaves nothing behind") {
    auto const explored = caller_goes_while_matched([](Table& table, std::uint64_t number) { table.abandon(number); });
    CHECK(explored.executions == 90);  // a start and a section each: all orders
    CHECK(explored.bad == 0);
}

TEST_CASE("planted: letting go of the lock between looking and taking is caught") {
    auto const explored =
        caller_goes_while_matched([](Table& table, std::uint64_t number) { careless_abandon(table, number); });
    CHECK(explored.executions == 231);  // the careless one has two or three sections
    CHECK(explored.bad > 0);
    CHECK(explored.bad < explored.executions);
}

TEST_CASE("every interleaving of two entries and a finish places each ticket once and wakes it") {
    auto const explored = explore([] {
        auto scene = std::make_shared<Scene>();
        auto& table = scene->table;
        for (auto number = std::uint64_t{100}; number < 105; ++number)
            table.scheduler.load_table.place("r0", make_inference(number), 1, 1);  // full: 5 of 4 x 1
        auto const one = [scene](std::uint64_t number) {
            scene->table.enqueue(
                make_inference(number), std::nullopt, [scene] { ++scene->woken; }, 10, 0);
            auto const entry = scene->table.leave(number);
            if (entry.placement) ++scene->placed;
        };
        auto bodies = std::vector<std::function<void()>>{
            [one] { one(1); },
            [one] { one(2); },
            [scene] {
                scene->table.with(
                    [](Scheduler& scheduler) { scheduler.finished("r0", make_inference(100), 10, 10, true); });
                scene->table.schedule(11, 0);
            },
        };
        return std::pair(bodies, std::function<bool()>([scene] {
                             return scene->placed == scene->woken && scene->placed <= 1 &&
                                 nothing_left(*scene, 4U + static_cast<std::size_t>(scene->placed));
                         }));
    });
    CHECK(explored.executions == 1680);  // a start and two sections each
    CHECK(explored.bad == 0);
}

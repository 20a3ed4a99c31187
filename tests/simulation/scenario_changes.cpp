// Changes that race, whose answers are lost, through takeovers and restarts; and many changes while a member is away.
#include "scenario.hpp"

namespace dockrock::simulation {

namespace {
constexpr auto lost_answers_most = std::uint64_t{70};  // of a hundred
constexpr auto changes_under_way = 8;
constexpr auto changes_of_a_day = std::size_t{240};
constexpr Microseconds race_length = 30 * one_second;
constexpr Microseconds away_length = 16 * one_second;
}  // namespace

auto Scenario::race() -> void {
    operators.answers_lost = static_cast<double>(random.below(lost_answers_most + 1)) / 100.0;
    auto const end = world.now + race_length;
    while (world.now < end) {
        auto const node = any_node();
        for (auto count = 0; count < changes_under_way; ++count) {
            if (random.below(2) == 0) operators.change();
            else if (world.nodes[node]->running) operators.race(node);
        }
        run_for(static_cast<Microseconds>(random.below(600'000)));
        auto const away = 300 * one_millisecond + static_cast<Microseconds>(random.below(2'000'000));
        switch (random.below(8)) {
            case 0: lose(members().front(), false, away); break;
            case 1: lose(any_core(), false, away); break;
            case 2: slow_disks(); break;
            case 3:
                if (random.below(3) == 0) lose_power({}, away);
                break;
            case 4: world.freeze(any_core(), away); break;
            default: break;
        }
        run_for(static_cast<Microseconds>(random.below(1'500'000)));
    }
}

auto Scenario::many() -> void {
    change_interval = 120 * one_millisecond;
    run_until([&] { return operators.orders.size() > changes_of_a_day / 4; }, 60 * one_second);
    auto const group = members();
    auto const away = group[random.below(group.size())];
    lose(away, random.below(3) == 0, away_length);
    if (random.below(2) == 0) slow_disks();
    run_for(away_length);
    auto const returned = world.now;
    auto const current = [&] {
        auto const& node = *world.nodes[away];
        return node.control.views[configuration_partition].copy.sequence >= world.highest_acknowledged;
    };
    if (!run_until(current, catch_up_limit()))
        world.violation("a machine that was away is not current within the time to catch up");
    await_bearable(returned + catch_up_limit() - world.now);
    run_until([&] { return operators.orders.size() > changes_of_a_day; }, 60 * one_second);
    lose(members().front(), false, one_second);
    run_for(static_cast<Microseconds>(random.below(3'000'000)));
    lose_power({}, one_second);
    run_for(2 * one_second);
}

}  // namespace dockrock::simulation

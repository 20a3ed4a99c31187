#include "slopes.hpp"

#include <algorithm>

#include "meter.hpp"

namespace dockrock::hollow {

namespace {
constexpr auto measured_account = 1;
}

// One node's table beside all others' digests, which come as they would in a
// fleet: each of the others tells once in a digest interval.
auto measure_placement(LoadShape const& shape, std::uint64_t seed, SlopeOptions const& options) -> Run {
    auto random = Random{seed * 7'919};
    auto const list = replica_list(shape, random);
    auto const whole = processor_nanoseconds();
    auto const before = live_bytes(measured_account);
    auto setting_up = std::int64_t{0};
    auto measured = Scheduler();
    {
        auto const watch = Stopwatch(setting_up, measured_account);
        measured = ready_granting(shape, list);
    }
    std::vector<std::string> told;  // some nodes' digests, told under every other name
    for (auto index = std::size_t{1}; index < std::min<std::size_t>(shape.nodes, 64); ++index) {
        LoadSource source;
        source.start(shape, list, node_name(index), seed + index);
        source.run_until(10 * one_second);
        source.run_until(12 * one_second);
        told.push_back(source.table.make_digest(12 * one_second));
    }
    auto run = Run{"placement", "", shape.nodes, shape.replicas, seed, {}};
    auto now = 20 * one_second;
    auto taking = std::int64_t{0};
    auto digests = std::int64_t{0};
    auto const tell = [&](std::size_t node) {
        auto const& body = told[(node + random.below(told.size())) % told.size()];
        auto const watch = Stopwatch(taking, measured_account);
        measured.load_table.take_digest(node_name(node), static_cast<std::uint64_t>(now), body, now);
        ++digests;
    };
    for (auto node = std::size_t{1}; node < shape.nodes; ++node) tell(node);
    taking = digests = 0;
    auto const step = static_cast<Microseconds>(1'000'000.0 / shape.requests);
    auto const each_step =
        static_cast<double>(shape.nodes - 1) * static_cast<double>(step) / static_cast<double>(200 * one_millisecond);
    auto due = 0.0;
    auto next = std::size_t{1};
    std::vector<double> placing;
    std::vector<std::pair<std::string, std::uint64_t>> under_way;
    auto placed = 0;
    auto making = std::int64_t{0};
    auto made = 0;
    auto bytes = std::size_t{0};
    for (auto count = 0; count < options.placements; ++count) {
        now += step;
        for (due += each_step; due >= 1.0; due -= 1.0) {
            tell(next);
            next = next + 1 == shape.nodes ? 1 : next + 1;
        }
        auto const request = request_of(shape, static_cast<std::uint64_t>(count) + 1, random);
        Decisions decisions;
        auto spent = std::int64_t{0};
        {
            auto const watch = Stopwatch(spent, measured_account);
            measured.enqueue(request, now, decisions);
            measured.schedule(now, 0, decisions);
        }
        placing.push_back(static_cast<double>(spent));
        measured.withdraw(request.number);
        for (auto const& item : decisions.placements) under_way.emplace_back(item.replica, item.request_number);
        placed += static_cast<int>(decisions.placements.size());
        if (under_way.size() > static_cast<std::size_t>(shape.requests / 2.0)) {
            measured.load_table.release(under_way.front().first, under_way.front().second);
            under_way.erase(under_way.begin());
        }
        if (count % 7 == 0) {
            auto const watch = Stopwatch(making, measured_account);
            bytes += measured.load_table.make_digest(now).size();
            ++made;
        }
        if (processor_nanoseconds() - whole > options.time_limit || live_bytes(measured_account) > options.bytes_limit)
            break;
    }
    auto const spread = spread_of(placing);
    run.figures["placement_microseconds"] = spread.median / 1'000.0;
    run.figures["placement_microseconds_most"] = spread.most / 1'000.0;
    run.figures["placements"] = static_cast<double>(placing.size());
    run.figures["placed"] = placed;
    run.figures["take_digest_microseconds"] =
        static_cast<double>(taking) / 1'000.0 / static_cast<double>(std::max<std::int64_t>(1, digests));
    run.figures["make_digest_microseconds"] = static_cast<double>(making) / 1'000.0 / std::max(1, made);
    run.figures["digest_bytes"] = static_cast<double>(bytes) / std::max(1, made);
    run.figures["state_bytes"] = static_cast<double>(live_bytes(measured_account) - before);
    // Of one core, for a node's placements and for the digests that reach it.
    run.figures["placing_percent"] = spread.median * shape.requests / 1e7;
    run.figures["digests_percent"] =
        run.figures["take_digest_microseconds"] * static_cast<double>(shape.nodes - 1) * 5.0 / 1e4;
    return run;
}

auto measure_index(std::size_t blocks, std::size_t replicas, std::uint64_t seed) -> Run {
    auto run = Run{"index", "", blocks, replicas, seed, {}};
    auto random = Random{seed * 31};
    auto shape = LoadShape();
    shape.replicas = replicas;
    auto const list = replica_list(shape, random);
    auto measured = ready_granting(shape, list);
    auto const before = live_bytes(measured_account);
    auto const each = std::max<std::size_t>(1, blocks / replicas);
    auto spent = std::int64_t{0};
    for (auto const& entry : list.replicas) {
        auto const watch = Stopwatch(spent, measured_account);
        for (auto count = std::size_t{0}; count < each; ++count)
            measured.load_table.take_part(entry.name, random.next(), "1", true);
    }
    auto const held = static_cast<double>(each * replicas);
    run.figures["bytes_a_block"] = static_cast<double>(live_bytes(measured_account) - before) / held;
    run.figures["added_nanoseconds"] = static_cast<double>(spent) / held;
    auto looking = std::int64_t{0};
    auto const rounds = 200;
    for (auto count = 0; count < rounds; ++count) {
        auto const request = request_of(shape, 1, random);
        auto const watch = Stopwatch(looking, measured_account);
        for (auto const& [name, state] : measured.load_table.replicas)
            measured.load_table.cached_tokens(state, request);
    }
    run.figures["lookup_nanoseconds"] = static_cast<double>(looking) / rounds / static_cast<double>(replicas);
    return run;
}

}  // namespace dockrock::hollow

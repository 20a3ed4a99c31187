// What the simulated fleet could bear and do at a moment, seen from outside; and a polite stop.
#include <algorithm>

#include "world.hpp"

namespace dockrock::simulation {

namespace {
constexpr Microseconds slow_link = 100 * one_millisecond;
constexpr Microseconds handing_limit = 3 * one_second;  // as of a node (process/node_run.cpp)
constexpr Microseconds step_interval = 50 * one_millisecond;
}  // namespace

auto World::is_core(std::size_t index) const -> bool {
    return index < options.cores || index >= options.cores + options.edges;
}

auto World::node_of(std::string const& identity) const -> std::size_t {
    auto const found = std::find_if(nodes.begin(), nodes.end(), [&](auto const& node) {
        return node->running && node->control.membership.self.identity == identity;
    });
    return static_cast<std::size_t>(found - nodes.begin());
}

auto World::in_order(std::size_t index) const -> bool {
    if (index >= nodes.size()) return false;
    auto const& node = *nodes[index];
    return node.running && node.frozen_until <= now && node.disk.mode != DiskMode::stalled && !node.disk.broken;
}

// What is left of the voters over a majority, and of the group's synced copies over one.
auto World::bearable(int partition, std::size_t holder) -> std::size_t {
    auto const& machine = nodes[holder]->control.partitions[static_cast<std::size_t>(partition)];
    if (!machine.committed) return 0;
    auto const& record = machine.votes.decided;
    auto const lives = [&](std::string const& identity) { return in_order(node_of(identity)); };
    auto const voters = static_cast<std::size_t>(std::count_if(record.voters.begin(), record.voters.end(), lives));
    auto const copied = [&](std::string const& identity) {
        if (!lives(identity)) return false;
        auto const& saved = nodes[node_of(identity)]->disk.synced;
        return std::any_of(saved.begin(), saved.end(), [&](auto const& item) {
            return item.partition == partition && item.copy && item.copy->sequence >= machine.committed->sequence;
        });
    };
    auto const copies =
        static_cast<std::size_t>(std::count_if(record.followers.begin(), record.followers.end(), copied));
    auto const majority = majority_of(record.voters.size());
    return std::min(copies, voters > majority ? voters - majority : std::size_t{0});
}

auto World::bearable() -> std::size_t {
    auto least = options.losses;
    for (auto partition = 0; partition < static_cast<int>(partition_count); ++partition) {
        auto const holder = leader(partition);
        least = std::min(least, holder ? bearable(partition, *holder) : std::size_t{0});
    }
    return least;
}

auto World::led() -> bool { return leader(configuration_partition).has_value(); }

auto World::newest_record(int partition) const -> Record {
    auto newest = Record{};
    for (auto const& node : nodes) {
        if (!node->running) continue;
        auto const& decided = node->control.partitions[static_cast<std::size_t>(partition)].votes.decided;
        if (decided.term > newest.term) newest = decided;
    }
    return newest;
}

auto World::named(std::string const& identity, bool as_voter) const -> bool {
    for (auto partition = 0; partition < static_cast<int>(partition_count); ++partition) {
        auto const record = newest_record(partition);
        if (record.has_member(identity)) return true;
        if (as_voter && std::find(record.voters.begin(), record.voters.end(), identity) != record.voters.end())
            return true;
    }
    return false;
}

auto World::could_be_led() -> bool {
    auto const record = newest_record(configuration_partition);
    auto const linked = [&](std::size_t from, std::size_t to) {
        auto const slow = slowed.find({from, to});
        return !cuts.contains({from, to}) && (slow == slowed.end() || slow->second < slow_link);
    };
    auto const in_touch = [&](std::string const& member) {
        auto const index = node_of(member);
        if (!in_order(index)) return false;
        auto const count = std::count_if(record.voters.begin(), record.voters.end(), [&](auto const& voter) {
            auto const other = node_of(voter);
            return in_order(other) && linked(index, other) && linked(other, index);
        });
        return static_cast<std::size_t>(count) >= majority_of(record.voters.size());
    };
    return in_touch(record.leader) || std::any_of(record.followers.begin(), record.followers.end(), in_touch);
}

// As a node stops (process/node_run.cpp): duties handed over for a time, then out.
auto World::stop_gracefully(std::size_t index, Microseconds limit, std::function<void()> then) -> void {
    note("polite stop " + nodes[index]->address);
    stop_step(index, nodes[index]->life, now + std::min(limit, handing_limit), std::move(then));
}

auto World::stop_step(std::size_t index, std::uint64_t life, Microseconds handing_end, std::function<void()> then)
    -> void {
    auto& node = *nodes[index];
    if (!node.running || node.life != life) return;
    auto pending = false;
    if (now < handing_end) act(index, node.control.hand_over(local(node), pending));
    if (pending)
        return at(now + step_interval, [this, index, life, handing_end, then = std::move(then)]() mutable {
            stop_step(index, life, handing_end, std::move(then));
        });
    act(index, node.control.leave());
    if (then) then();
}

}  // namespace dockrock::simulation

#pragma once
// Nodes that place and relays that sum their load, in steps of ten milliseconds.
#include "helpers.hpp"
#include "control/load_relay.hpp"

namespace dockrock::testing {

// Nodes that place and relays that sum, with nothing else between them.
struct Net {
    struct Node {
        Member self;
        ReplicaLoadTable table;
        LoadRelayChoice choice;
        Microseconds told_at = 0;
        std::vector<std::pair<std::string, std::uint64_t>> placed;
    };
    struct Relay {
        Member self;
        LoadRelay relay;
        bool running = true;
        Microseconds frozen_until = 0;
        std::vector<std::function<void()>> held;  // what came while frozen
    };
    Random random;
    Microseconds now = 100 * one_second;
    double loss = 0.0;
    std::vector<Node> nodes;
    std::vector<Relay> relays;
    std::multimap<Microseconds, std::function<void()>> under_way;
    std::uint64_t next_request = 1;

    Net(std::uint64_t seed, std::size_t node_count, std::size_t relay_count, std::size_t replicas) {
        random.state = seed;
        auto const list = make_scheduler(replicas, 8, 1'000'000);
        auto entries = ReplicaList();
        for (auto const& [name, state] : list.load_table.replicas) entries.replicas.push_back(state.entry);
        for (auto index = std::size_t{0}; index < node_count; ++index) {
            auto& node = nodes.emplace_back();
            node.self.identity = node.table.self = "node-" + std::to_string(index);
            node.table.relayed = true;
            node.table.fleet_nodes = static_cast<std::int64_t>(node_count);
            node.table.take_list(entries);
            for (auto const& entry : entries.replicas) node.table.take_report(entry.name, report_of(1'000'000), now);
        }
        for (auto index = std::size_t{0}; index < relay_count; ++index) {
            auto& relay = relays.emplace_back();
            relay.self.identity = "relay-" + std::to_string(index);
            relay.self.core = true;
            relay.relay.number = random.next() >> 12U;
        }
    }
    auto send(std::function<void()> work) -> void {
        if (static_cast<double>(random.below(1'000)) < loss * 1'000.0) return;
        under_way.emplace(now + 500 + static_cast<Microseconds>(random.below(25'000)), std::move(work));
    }
    auto at_relay(std::size_t index, std::function<void(Relay&)> work) -> void {
        auto& relay = relays[index];
        if (!relay.running) return;
        if (relay.frozen_until <= now) return work(relay);
        relay.held.push_back([this, index, work] { work(relays[index]); });
    }
    auto tell(std::size_t index) -> void {
        auto& node = nodes[index];
        node.told_at = now;
        auto const number = static_cast<std::uint64_t>(now);
        auto body = node.table.make_load_report(number, now);
        std::vector<Member> cores;
        for (auto const& relay : relays) cores.push_back(relay.self);  // membership has noticed nothing
        auto const* chosen = node.choice.choose(node.self, cores, now);
        if (chosen == nullptr) return;
        auto const& held = node.table.summed;
        auto const told = LoadReport{number, held.relay == chosen->identity ? held.number : 0, std::move(body)};
        auto const target = static_cast<std::size_t>(chosen - cores.data());
        send([this, index, target, told] {
            at_relay(target, [this, index, told](Relay& relay) {
                auto const answer = relay.relay.take(nodes[index].self.identity, told, now);
                if (!answer) return;
                send([this, index, from = relay.self.identity, sum = *answer] {
                    nodes[index].choice.record_answer(from, now);
                    nodes[index].table.take_sum(
                        from, {sum.number, sum.base, sum.echo, sum.echo_age, sum.nodes, sum.body}, now);
                });
            });
        });
    }
    auto tick() -> void {
        now += 10 * one_millisecond;
        while (!under_way.empty() && under_way.begin()->first <= now) {
            auto const work = std::move(under_way.begin()->second);
            under_way.erase(under_way.begin());
            work();
        }
        for (auto index = std::size_t{0}; index < relays.size(); ++index) {
            auto& relay = relays[index];
            if (!relay.running || relay.frozen_until > now) continue;
            auto held = std::move(relay.held);
            relay.held.clear();
            for (auto const& work : held) work();
            auto const share = relay.relay.tick(now);
            if (!share) continue;
            for (auto other = std::size_t{0}; other < relays.size(); ++other)
                if (other != index)
                    send([this, other, from = relay.self.identity, told = *share] {
                        at_relay(other, [this, from, told](Relay& to) { to.relay.take(from, told, now); });
                    });
        }
        for (auto index = std::size_t{0}; index < nodes.size(); ++index)
            if (now - nodes[index].told_at >= 200 * one_millisecond) tell(index);
    }
    auto run(Microseconds length, bool busy) -> void {
        for (auto const end = now + length; now < end; tick()) {
            if (!busy) continue;
            auto& node = nodes[random.below(nodes.size())];
            if (random.below(2) == 0 || node.placed.empty()) {
                auto const name = "r" + std::to_string(random.below(node.table.replicas.size()));
                node.table.place(name, make_inference(next_request), 100, now);
                node.placed.emplace_back(name, next_request++);
            } else {
                node.table.release(node.placed.back().first, node.placed.back().second);
                node.placed.pop_back();
            }
        }
    }
    auto truth(std::string const& name) const -> std::int64_t {
        auto sum = std::int64_t{0};
        for (auto const& node : nodes) sum += node.table.replicas.at(name).placed_slots;
        return sum;
    }
    // The greatest difference between what a node counts and what is so.
    auto error() const -> std::int64_t {
        auto most = std::int64_t{0};
        for (auto const& node : nodes)
            for (auto const& [name, state] : node.table.replicas)
                most = std::max(most, std::abs(node.table.running(state, now) - truth(name)));
        return most;
    }
    auto nodes_placing() const -> std::int64_t {
        return std::count_if(nodes.begin(), nodes.end(), [](auto const& node) { return !node.placed.empty(); });
    }
    auto relay_of(std::size_t node) -> Relay& {
        return *std::find_if(relays.begin(), relays.end(), [&](auto const& relay) {
            return relay.self.identity == nodes[node].choice.relay;
        });
    }
};

}  // namespace dockrock::testing

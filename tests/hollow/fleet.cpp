#include "fleet.hpp"

#include <algorithm>
#include <stdexcept>

#include "meter.hpp"
#include "base/frame.hpp"
#include "sequence/changes.hpp"

namespace dockrock::hollow {

namespace {

constexpr Microseconds disk_sync = 3 * one_millisecond;
constexpr Microseconds platform_answer = 20 * one_millisecond;

auto empty_snapshot() -> SnapshotPointer {
    auto empty = std::make_shared<Snapshot>();
    empty->rules = std::make_shared<Rules>();
    return empty;
}

}  // namespace

HollowFleet::HollowFleet(FleetShape const& given, std::uint64_t seed) : shape(given) {
    random.state = seed * 104'729 + 17;
    for (auto index = std::size_t{0}; index < given.nodes; ++index) {
        auto node = std::make_unique<HollowNode>();
        node->index = index;
        node->core = index < given.cores;
        node->area = "zone-" + std::to_string(index % given.zones);
        node->region = index % given.zones % given.regions;
        node->address =
            "10." + std::to_string(index % given.zones) + ".0." + std::to_string(index / given.zones) + ":7360";
        node->snapshot = empty_snapshot();
        by_address[node->address] = index;
        nodes.push_back(std::move(node));
    }
    list = replica_list(given.load, random);
    list_text = json::serialize(write_json(list));
}

auto HollowFleet::at(Microseconds when, std::function<void()> work) -> void {
    events.push_back({when, next_order++, std::move(work)});
    std::push_heap(events.begin(), events.end());
}

auto HollowFleet::run_until(Microseconds when) -> void {
    while (!events.empty() && events.front().at <= when) {
        std::pop_heap(events.begin(), events.end());
        auto const event = std::move(events.back());
        events.pop_back();
        now = std::max(now, event.at);
        event.work();
    }
    now = std::max(now, when);
}

auto HollowFleet::run_until_true(std::function<bool()> const& condition, Microseconds limit) -> bool {
    auto const end = now + limit;
    while (now < end && !condition()) run_until(now + 20 * one_millisecond);
    return condition();
}

auto HollowFleet::delay(HollowNode const& from, HollowNode const& to) -> Microseconds {
    auto const base = from.area == to.area ? 250 : from.region == to.region ? 1'200 : 35'000;
    return base + static_cast<Microseconds>(random.below(static_cast<std::uint64_t>(base) / 5));
}

// What a node does with one event, measured with the writing of what it sends.
auto HollowFleet::act(HollowNode& node, std::function<ControlOutput()> const& work) -> void {
    std::vector<std::pair<std::string, std::shared_ptr<std::string const>>> frames;
    ControlOutput output;
    {
        auto const watch = Stopwatch(node.traffic.processor, node.account());
        output = work();
        auto const& self = node.control.membership.self;
        for (auto const& send : output.sends) {
            auto frame = std::make_shared<std::string const>(
                pack_frame({"dockrock", self.identity, node.address, self.incarnation, write_message(send.message)}));
            frames.emplace_back(send.address, std::move(frame));
        }
        for (auto const& [from, digest] : output.digests)
            if (requests) node.load.table.take_digest(from, digest.number, digest.body, now);
        for (auto const& [from, sum] : output.load_sums)
            node.load.table.take_sum(from, {sum.number, sum.base, sum.echo, sum.echo_age, sum.nodes, sum.body}, now);
        if (output.snapshot_changed) {
            node.snapshot = make_snapshot(node.control, *node.snapshot);
            if (requests) node.load.table.take_list(node.snapshot->list);
        }
    }
    for (auto place = std::size_t{0}; place < frames.size(); ++place) {
        auto const kind = std::string(message_names[output.sends[place].message.index()]);
        ++kind_messages[kind];
        kind_bytes[kind] += frames[place].second->size();
        send(node, frames[place].first, std::move(frames[place].second));
    }
    for (auto& save : output.saves) node.unsynced.push_back(std::move(save));
    if (!node.unsynced.empty()) work_disk(node);
    for (auto& result : output.results) call_results[result.token] = std::move(result);
    if (output.snapshot_changed && when_news) when_news(node);
}

auto HollowFleet::send(HollowNode& node, std::string const& address, std::shared_ptr<std::string const> frame) -> void {
    ++node.traffic.messages_out;
    node.traffic.bytes_out += frame->size();
    auto const found = by_address.find(address);
    if (found == by_address.end()) return;
    auto const target = found->second;
    at(now + delay(node, *nodes[target]), [this, target, life = nodes[target]->life, frame = std::move(frame)] {
        auto& to = *nodes[target];
        if (!to.running || to.life != life) return;
        ++to.traffic.messages_in;
        to.traffic.bytes_in += frame->size();
        act(to, [&] {
            auto const read = unpack_frame(*frame);
            auto const message = read ? read_message(read->body) : std::nullopt;
            return message ? to.control.receive(now, read->sender, read->sender_address, *message) : ControlOutput();
        });
    });
}

auto HollowFleet::work_disk(HollowNode& node) -> void {
    if (node.disk_busy) return;
    node.disk_busy = true;
    at(now + disk_sync, [this, &node, life = node.life] {
        if (!node.running || node.life != life) return;
        node.disk_busy = false;
        auto const batch = std::move(node.unsynced);
        node.unsynced.clear();
        for (auto const& save : batch)
            if (!take_saved(node.synced, save.saved))
                throw std::logic_error("a change was logged of a copy that the disk does not hold");
        for (auto const& save : batch) act(node, [&] { return node.control.saved(now, save.token, true); });
        if (!node.unsynced.empty()) work_disk(node);
    });
}

auto HollowFleet::start(std::size_t index) -> void {
    auto& node = *nodes[index];
    if (node.running) return;
    node.running = true;
    ++node.life;
    node.unsynced.clear();
    node.disk_busy = false;
    auto const had_state = node.core && !node.identity.empty();
    if (!had_state) node.identity = node_name(index) + std::to_string(node.life);
    node.incarnation = had_state ? node.incarnation + 1 : static_cast<std::uint64_t>(now);
    ControlSettings settings;
    settings.control_address = node.address;
    settings.area = node.area;
    settings.core = node.core;
    settings.core_count = shape.cores;
    settings.load_relays_from = shape.load_relays_from;
    for (auto seed = std::size_t{0}; seed < 3 && seed < nodes.size(); ++seed)
        settings.seeds.push_back(nodes[seed]->address);
    {
        auto const watch = Stopwatch(node.traffic.processor, node.account());
        node.control = Control{};
        node.control.start(
            settings, node.identity, node.incarnation, random.next(),
            node.core ? node.synced : std::vector<SavedPartition>{}, had_state, now);
        for (auto part = std::size_t{0}; part < partition_count; ++part)
            node.control.partitions[part].apply =
                part == configuration_partition ? ApplyChange(apply_configuration) : ApplyChange(apply_service);
        node.snapshot = empty_snapshot();
        node.list_polling = ListPolling();
        node.load = LoadSource();
        if (requests) node.load.start(shape.load, list, node.identity, random.next());
    }
    at(now + static_cast<Microseconds>(random.below(100'000)), [this, index, life = node.life] { tick(index, life); });
}

auto HollowFleet::kill(std::size_t index) -> void { nodes[index]->running = false; }

auto HollowFleet::tick(std::size_t index, std::uint64_t life) -> void {
    auto& node = *nodes[index];
    if (!node.running || node.life != life) return;
    act(node, [&] { return node.control.tick(now); });
    ListView view;
    view.leader = node.control.leads(configuration_partition, now);
    view.list_at = node.control.views[configuration_partition].live_at;
    if (!view.leader && now - view.list_at > node.list_polling.fallback)
        view.members = node.control.membership.alive_members(false).size();
    if (node.list_polling.due(view, now, node.control.random)) read_list(node);
    if (requests && !node.core && now - node.last_digest >= node.load.table.options.digest_interval) report_load(node);
    auto const interval = (requests && !node.core ? 25 : node.core ? 50 : 100) * one_millisecond;
    at(now + interval, [this, index, life] { tick(index, life); });
}

auto HollowFleet::read_list(HollowNode& node) -> void {
    node.list_polling.record_start(now);
    ++platform_calls;
    at(now + platform_answer, [this, &node, life = node.life, asked = now, text = list_text] {
        if (!node.running || node.life != life) return;
        node.list_polling.record_success(1);
        act(node, [&] { return node.control.list_read(now, asked, text); });
    });
}

auto HollowFleet::report_load(HollowNode& node) -> void {
    node.last_digest = now;
    auto const before = use_account(node.account());
    node.load.run_until(now);  // the requests themselves are not measured here
    use_account(before);
    act(node, [&] {
        auto& table = node.load.table;
        auto const number = static_cast<std::uint64_t>(now);
        table.relayed = node.control.update_load_relaying();
        table.fleet_nodes = node.control.nodes_placing();
        if (table.relayed)
            return node.control.report_load(
                now, number, table.make_load_report(number, now), table.summed.relay, table.summed.number);
        return node.control.digest(table.make_digest(now), number, node.snapshot->resting);
    });
}

auto HollowFleet::call(std::size_t index, Call const& asked) -> std::uint64_t {
    auto const token = next_call++;
    act(*nodes[index], [&] { return nodes[index]->control.call(now, token, asked); });
    return token;
}

auto HollowFleet::change_list(std::size_t entries) -> void {
    for (auto count = std::size_t{0}; count < entries; ++count) {
        auto& entry = list.replicas[random.below(list.replicas.size())];
        entry.drain = !entry.drain;
    }
    list_text = json::serialize(write_json(list));
}

}  // namespace dockrock::hollow

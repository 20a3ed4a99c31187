#include "platform.hpp"

namespace dockrock::platform_stand_in {

namespace {
constexpr auto far_future = Milliseconds{1} << 60U;

auto chosen(Platform& platform, json::object const& call) -> std::vector<ReplicaPointer> {
    auto found = std::vector<ReplicaPointer>();
    auto const id = text_of(call, "replica"), service = text_of(call, "svc"), address = text_of(call, "addr");
    for (auto const& replica : platform.replicas) {
        auto const fits = (id.empty() || id == replica->id) &&
            (service.empty() || service == replica->options.service) &&
            (address.empty() || address == replica->options.address);
        if (replica->alive && fits) found.push_back(replica);
    }
    return found;
}

auto told(std::vector<ReplicaPointer> const& replicas) -> Answered {
    auto list = json::array();
    for (auto const& replica : replicas) {
        auto item = replica->report();
        item["id"] = replica->id;
        item["svc"] = replica->options.service;
        item["addr"] = replica->options.address;
        item["draining"] = replica->draining;
        item["connections"] = replica->connections.size();
        item["runs"] = replica->runs;
        list.push_back(item);
    }
    auto object = json::object();
    object["replicas"] = list;
    return {200, object};
}

auto take_off_list(Platform& platform, std::string id, Milliseconds after) -> awaitable<void> {
    co_await pause(after);
    platform.list.remove(id);
}

auto do_start(Platform& platform, json::object call) -> awaitable<Answered> {
    auto started = std::vector<ReplicaPointer>();
    for (auto const& item : list_of(call, "replicas")) {
        auto const replica = add_replica(platform, item.as_object());
        if (!replica) co_return Answered{409, {}};
        started.push_back(replica);
    }
    co_return told(started);
}
auto do_state(Platform& platform, json::object call) -> awaitable<Answered> { co_return told(chosen(platform, call)); }
auto do_crash(Platform& platform, json::object call) -> awaitable<Answered> {
    auto const replicas = chosen(platform, call);
    for (auto const& replica : replicas) {
        replica->end();
        asio::co_spawn(platform.context, take_off_list(platform, replica->id, platform.crashed_listed), asio::detached);
    }
    co_return told(replicas);
}
// Shown as leaving, served for a while yet, gone; then the address may go to another service.
auto leave(Platform& platform, ReplicaPointer replica, json::object successor) -> awaitable<void> {
    co_await pause(platform.list.options.lag + platform.bounds.drain + platform.drain_linger);
    replica->end();
    platform.list.remove(replica->id);
    if (successor.empty()) co_return;
    co_await pause(number_of(successor, "reuseMs", 2000));
    successor["addr"] = replica->options.address;
    add_replica(platform, successor);
}
auto do_drain(Platform& platform, json::object call) -> awaitable<Answered> {
    auto const replicas = chosen(platform, call);
    for (auto const& replica : replicas) {
        replica->draining = true;
        platform.list.put(listed(*replica));
        platform.record.leaving.push_back({replica->id, now() + platform.list.options.lag});
        asio::co_spawn(platform.context, leave(platform, replica, object_of(call, "successor")), asio::detached);
    }
    co_return told(replicas);
}
auto do_faults(Platform& platform, json::object call) -> awaitable<Answered> {
    auto const replicas = chosen(platform, call);
    for (auto const& replica : replicas) {
        read_fields(call, replica->faults, fault_fields);
        read_fields(call, replica->kept.options, kept_fields);
    }
    co_return told(replicas);
}
auto do_list(Platform& platform, json::object call) -> awaitable<Answered> {
    read_fields(call, platform.list.options, list_fields);
    co_return Answered{200, {}};
}
auto do_bounds(Platform& platform, json::object call) -> awaitable<Answered> {
    read_fields(call, platform.bounds, bound_fields);
    co_return Answered{200, {}};
}
auto do_nodes(Platform& platform, json::object call) -> awaitable<Answered> {
    for (auto const& item : list_of(call, "edges")) {
        auto const place = platform.entry->nodes.size();
        platform.entry->nodes.push_back({text_of(item.as_object(), "front"), text_of(item.as_object(), "ready")});
        auto const goes_on = [&platform] { return platform.running; };
        asio::co_spawn(platform.context, watch_node(platform.entry, place, goes_on), asio::detached);
    }
    for (auto const& item : list_of(call, "controls")) platform.caller.options.nodes.emplace_back(item.as_string());
    auto object = json::object();
    auto ready = json::array();
    for (auto const& node : platform.entry->nodes) ready.push_back(json::value(node.missed < 2));
    object["ready"] = ready;
    co_return Answered{200, object};
}
auto do_away(Platform& platform, json::object call) -> awaitable<Answered> {
    platform.caller.away.clear();
    for (auto const& item : list_of(call, "controls")) platform.caller.away.emplace(item.as_string());
    co_return Answered{200, {}};
}
auto settled(Settled const& result) -> Answered {
    auto object = json::object();
    object["status"] = result.status;
    object["took"] = result.took;
    return {200, object};
}
auto do_change(Platform& platform, json::object call) -> awaitable<Answered> {
    auto asked = Asked();
    asked.whole = !call.contains("patch");
    asked.base = number_of(call, "base");
    asked.document = object_of(call, asked.whole ? "document" : "patch");
    asked.valid = flag_of(call, "valid", true);
    auto const result = co_await send_change(platform.caller, asked);
    co_return settled(result);
}
auto do_version(Platform& platform, json::object call) -> awaitable<Answered> {
    auto const model = text_of(call, "model");
    auto const version = number_of(call, "ver");
    platform.around.newest[model] = std::max(platform.around.newest[model], version);
    auto const result = co_await name_version(platform.caller, model, version);
    co_return settled(result);
}
auto do_read(Platform& platform, json::object call) -> awaitable<Answered> {
    auto const limit = number_of(call, "limitMs", platform.bounds.contact);
    auto const found = co_await read_back(platform.caller, limit, !flag_of(call, "midway"));
    co_return Answered{found ? 200 : 504, found.value_or(json::object())};
}
auto do_traffic(Platform& platform, json::object call) -> awaitable<Answered> {
    auto& clients = platform.clients;
    clients.kinds.clear();
    for (auto const& item : list_of(call, "kinds")) {
        auto& kind = clients.kinds.emplace_back();
        read_fields(item.as_object(), kind, kind_fields);
        for (auto const& key : list_of(item.as_object(), "keys")) kind.keys.emplace_back(key.as_string());
    }
    clients.keys.clear();
    for (auto const& key : list_of(call, "keys")) clients.keys.emplace_back(key.as_string());
    clients.rate = share_of(call, "rate", clients.rate);
    clients.reuse = share_of(call, "reuse", clients.reuse);
    clients.hasty = flag_of(call, "hasty");
    auto const idle = clients.until < now();
    clients.until = now() + number_of(call, "forMs", 5000);
    if (idle) asio::co_spawn(platform.context, send_traffic(clients), asio::detached);
    co_return Answered{200, {}};
}
auto do_counts(Platform& platform, json::object) -> awaitable<Answered> {
    auto object = json::object();
    for (auto const& [outcome, count] : platform.clients.outcomes) object[outcome] = count;
    auto paths = json::object();
    for (auto const& [path, outcomes] : platform.clients.by_path) paths[path] = json::value_from(outcomes);
    object["paths"] = paths;
    auto times = platform.clients.first_pieces;
    std::sort(times.begin(), times.end());
    object["open"] = platform.clients.open;
    object["sending"] = platform.clients.until > now();
    object["medianFirstMs"] = times.empty() ? 0 : times[times.size() / 2];
    object["runs"] = platform.record.runs.size();
    object["arrivals"] = platform.record.arrivals.size();
    object["early"] = platform.record.early.size();
    auto forgotten = std::int64_t{0};
    for (auto const& replica : platform.replicas) forgotten += replica->forgotten;
    object["forgotten"] = forgotten;
    auto spoiled = std::int64_t{0};
    for (auto const& replica : platform.replicas) spoiled += replica->spoiled;
    object["spoiled"] = spoiled;
    co_return Answered{200, object};
}
auto do_trouble(Platform& platform, json::object call) -> awaitable<Answered> {
    auto& troubles = platform.record.troubles;
    if (flag_of(call, "begin")) troubles.push_back({now(), far_future});
    else
        for (auto& trouble : troubles) trouble.to = std::min(trouble.to, now());
    co_return Answered{200, {}};
}
auto do_started(Platform& platform, json::object call) -> awaitable<Answered> {
    platform.record.starts.push_back({text_of(call, "front"), now()});
    co_return Answered{200, {}};
}
auto do_verdicts(Platform& platform, json::object call) -> awaitable<Answered> {
    auto object = json::object();
    object["rules"] = write_verdicts(judge(platform.record, platform.bounds), number_of(call, "most", first_words));
    co_return Answered{200, object};
}

constexpr auto steers = std::array<std::pair<std::string_view, Steer>, 16>{{
    {"start", do_start},
    {"state", do_state},
    {"crash", do_crash},
    {"drain", do_drain},
    {"faults", do_faults},
    {"list", do_list},
    {"bounds", do_bounds},
    {"nodes", do_nodes},
    {"away", do_away},
    {"change", do_change},
    {"version", do_version},
    {"read", do_read},
    {"traffic", do_traffic},
    {"counts", do_counts},
    {"trouble", do_trouble},
    {"started", do_started},
}};
}  // namespace

auto add_replica(Platform& platform, json::object const& options) -> ReplicaPointer {
    auto read = ReplicaOptions();
    auto kept = KeptOptions();
    read_fields(options, read, replica_fields);
    read_fields(options, kept, kept_fields);
    auto& newest = platform.around.newest[read.model];
    if (!options.contains("ver")) read.version = std::max<std::int64_t>(1, newest);
    newest = std::max(newest, read.version);
    auto const replica = start_replica(platform.context, platform.around, read, kept);
    if (!replica) return nullptr;
    platform.replicas.push_back(replica);
    if (!read.store) platform.list.put(listed(*replica));
    return replica;
}

auto control(Platform& platform, json::object call) -> awaitable<Answered> {
    auto const name = text_of(call, "do");
    if (name == "verdicts") co_return co_await do_verdicts(platform, std::move(call));
    for (auto const& [known, steer] : steers)
        if (known == name) co_return co_await steer(platform, std::move(call));
    if (auto const steer = soak_steer(name); steer != nullptr) co_return co_await steer(platform, std::move(call));
    co_return Answered{404, {}};
}

auto control_names() -> std::vector<std::string_view> {
    auto names = std::vector<std::string_view>();
    for (auto const& [name, steer] : steers) names.push_back(name);
    return names;
}

}  // namespace dockrock::platform_stand_in

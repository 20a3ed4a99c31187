#include "list.hpp"

namespace dockrock::platform_stand_in {

namespace {
constexpr auto history_held = std::size_t{1000};

auto write_entry(Listed const& entry) -> json::object {
    auto model = json::object();
    model["name"] = entry.model;
    model["ver"] = entry.version;
    model["loras"] = json::array();
    auto object = json::object();
    object["svc"] = entry.service;
    object["addr"] = entry.address;
    object["zone"] = entry.zone;
    object["ver"] = entry.software;
    object["slots"] = entry.slots;
    object["state"] = entry.draining ? "drain" : "ready";
    object["coldLeftMs"] = 0;
    object["phase"] = "both";
    object["models"] = entry.model.empty() ? json::array() : json::array{model};
    object["id"] = entry.id;
    return object;
}
}  // namespace

auto listed(Replica const& replica) -> Listed {
    auto const& options = replica.options;
    return {replica.id,    options.service, options.address, options.zone,    options.software,
            options.model, replica.version, options.slots,   replica.draining};
}

auto ReplicaList::put(Listed const& entry) -> void {
    auto const place =
        std::find_if(entries.begin(), entries.end(), [&](auto const& item) { return item.id == entry.id; });
    if (place == entries.end()) entries.push_back(entry);
    else *place = entry;
    change();
}

auto ReplicaList::remove(std::string const& id) -> void {
    std::erase_if(entries, [&](auto const& item) { return item.id == id; });
    change();
}

auto ReplicaList::shown(Milliseconds at) const -> std::vector<Listed> {
    auto entries_then = std::vector<Listed>();
    for (auto const& [since, then] : history)
        if (since + options.lag <= at) entries_then = then;
    return entries_then;
}

auto ReplicaList::answer(std::string const& target, Milliseconds at) -> std::pair<std::int64_t, json::object> {
    while (!calls.empty() && calls.front() + 1000 <= at) calls.pop_front();
    if (options.down) return {503, {}};
    if (static_cast<double>(calls.size()) >= options.per_second) return {429, {}};
    calls.push_back(at);
    while (history.size() > history_held) history.pop_front();
    auto in_zone = shown(at);
    if (auto const zone = query_value(target, "zone"); !zone.empty())
        std::erase_if(in_zone, [&](auto const& entry) { return entry.zone != zone; });
    auto const token = query_value(target, "pageToken");
    auto const first = token.starts_with("p-") ? std::strtoull(token.c_str() + 2, nullptr, 10) : 0U;
    auto const end = std::min<std::size_t>(in_zone.size(), first + static_cast<std::size_t>(options.page));
    auto replicas = json::array();
    for (auto place = static_cast<std::size_t>(first); place < end; ++place)
        replicas.push_back(write_entry(in_zone[place]));
    auto object = json::object();
    object["replicas"] = replicas;
    object["nextToken"] = end < in_zone.size() ? json::value("p-" + std::to_string(end)) : json::value(nullptr);
    return {200, object};
}

}  // namespace dockrock::platform_stand_in

#include "kept.hpp"

namespace dockrock::platform_stand_in {

auto read_parts(std::string_view text) -> std::vector<Partition> {
    auto parts = std::vector<Partition>();
    for (auto const& item : split(text, ',')) {
        auto const colon = item.find(':');
        if (colon == std::string::npos) continue;
        parts.push_back({item.substr(0, colon), std::strtoll(item.c_str() + colon + 1, nullptr, 10)});
    }
    return parts;
}

auto Kept::leading(std::string const& salt, std::string const& model, std::vector<Partition> const& prompt)
    -> std::vector<KeptPart> {
    auto found = std::vector<KeptPart>();
    for (auto const& part : prompt) {
        auto const place = parts.find({salt, model, part.identity});
        if (place == parts.end()) break;
        place->second.used = ++uses;
        found.push_back(place->second);
    }
    return found;
}

auto Kept::keep(PartName const& name, KeptPart part, Random& random) -> void {
    if (part.tokens > options.tokens || parts.contains(name)) return;
    while (held + part.tokens > options.tokens) {
        auto const oldest = std::min_element(parts.begin(), parts.end(), [](auto const& left, auto const& right) {
            return left.second.used < right.second.used;
        });
        drop(PartName(oldest->first), random);
    }
    part.used = ++uses;
    held += part.tokens;
    tell(true, name, part.tokens, random);
    parts[name] = std::move(part);
}

auto Kept::drop(PartName const& name, Random& random) -> void {
    auto const place = parts.find(name);
    if (place == parts.end()) return;
    held -= place->second.tokens;
    parts.erase(place);
    tell(false, name, 0, random);
}

auto Kept::drop_model(std::string const& model, Random& random) -> void {
    auto names = std::vector<PartName>();
    for (auto const& [name, part] : parts)
        if (name.model == model) names.push_back(name);
    for (auto const& name : names) drop(name, random);
}

auto Kept::tell(bool added, PartName const& name, std::int64_t tokens, Random& random) -> void {
    auto const lost = chance(random, options.events_lost);
    events.push_back({next_event++, added, name, tokens, now() + options.events_lag, lost});
    while (static_cast<std::int64_t>(events.size()) > options.events) events.pop_front();
}

auto Kept::shown_since(std::int64_t started) const -> json::object {
    auto answer = json::object();
    auto shown = json::array();
    auto const at = now();
    auto next = std::max<std::int64_t>(started, 1);
    auto const oldest = events.empty() ? next_event : events.front().number;
    auto const dropped = next < oldest;
    next = std::max(next, oldest);
    for (auto const& event : events) {
        if (event.number < next) continue;
        if (event.shown > at) break;
        next = event.number + 1;
        if (event.lost) continue;
        shown.push_back(json::array{
            event.number, event.added ? "+" : "-", event.name.salt, event.name.identity, event.tokens,
            event.name.model});
    }
    answer["bootId"] = boot;
    answer["nextToken"] = next;
    answer["dropped"] = dropped;
    answer["events"] = shown;
    return answer;
}

auto Kept::list() const -> json::object {
    auto answer = json::object();
    auto pinned = json::array();
    for (auto const& [name, part] : parts)
        pinned.push_back(json::array{name.salt, name.identity, part.tokens, name.model});
    answer["bootId"] = boot;
    answer["nextToken"] = next_event;
    answer["pinned"] = pinned;
    return answer;
}

}  // namespace dockrock::platform_stand_in

#include "configuration.hpp"

namespace dockrock::platform_stand_in {

namespace {
constexpr auto item_lists = std::array<std::string_view, 3>{"routes", "svcs", "orgs"};

auto read_route(json::object const& object) -> Route {
    auto route =
        Route{text_of(object, "name"),   text_of(object, "host"),  text_of(object, "pfx"), text_of(object, "type"), {},
              flag_of(object, "public"), flag_of(object, "resume")};
    if (auto const service = text_of(object, "svc"); !service.empty()) route.services.push_back(service);
    for (auto const& part : list_of(object, "split"))
        if (part.is_object() && share_of(part.as_object(), "wt") > 0.0)
            route.services.push_back(text_of(part.as_object(), "svc"));
    return route;
}

auto put_item(json::array& items, json::object const& item) -> void {
    auto const name = text_of(item, "name");
    for (auto& present : items)
        if (present.is_object() && text_of(present.as_object(), "name") == name) {
            present = item;
            return;
        }
    items.push_back(item);
}
}  // namespace

auto read_configuration(json::object const& document) -> Configuration {
    auto configuration = Configuration();
    configuration.version = number_of(document, "ver");
    for (auto const& item : list_of(document, "routes"))
        if (item.is_object()) configuration.routes.push_back(read_route(item.as_object()));
    configuration.keyed = document.contains("orgs");
    for (auto const& item : list_of(document, "orgs")) {
        if (!item.is_object()) continue;
        auto tenant = Tenant{text_of(item.as_object(), "name"), {}, flag_of(item.as_object(), "isolated")};
        for (auto const& key : list_of(item.as_object(), "apiKeys"))
            if (key.is_string()) tenant.keys.emplace_back(key.as_string());
        configuration.tenants.push_back(tenant);
    }
    return configuration;
}

auto patched(json::object document, json::object const& patch) -> json::object {
    document["ver"] = number_of(patch, "ver");
    auto const added = object_of(patch, "upsert");
    auto const removed = object_of(patch, "remove");
    for (auto const name : item_lists) {
        if (!added.contains(name) && !removed.contains(name)) continue;
        auto items = list_of(document, name);
        for (auto const& item : list_of(added, name))
            if (item.is_object()) put_item(items, item.as_object());
        auto left = json::array();
        auto const gone = list_of(removed, name);
        for (auto const& item : items) {
            auto const named = json::value(text_of(item.as_object(), "name"));
            if (std::find(gone.begin(), gone.end(), named) == gone.end()) left.push_back(item);
        }
        document[name] = left;
    }
    if (added.contains("caps")) document["caps"] = added.at("caps");
    return document;
}

auto route_of(Configuration const& configuration, std::string_view host, std::string_view target) -> Route const* {
    auto const path = target.substr(0, target.find('?'));
    Route const* best = nullptr;
    for (auto const& route : configuration.routes)
        if (route.host == host && path.starts_with(route.prefix) &&
            (best == nullptr || route.prefix.size() > best->prefix.size()))
            best = &route;
    return best;
}

auto tenant_of(Configuration const& configuration, std::string_view key) -> Tenant const* {
    for (auto const& tenant : configuration.tenants)
        if (std::find(tenant.keys.begin(), tenant.keys.end(), key) != tenant.keys.end()) return &tenant;
    return nullptr;
}

auto tenant_named(Configuration const& configuration, std::string_view name) -> Tenant const* {
    for (auto const& tenant : configuration.tenants)
        if (tenant.name == name) return &tenant;
    return nullptr;
}

auto allows_service(
    Configuration const& configuration, std::string_view host, std::string_view target, std::string const& service)
    -> bool {
    auto const* route = route_of(configuration, host, target);
    if (route == nullptr) return false;
    return std::find(route->services.begin(), route->services.end(), service) != route->services.end();
}

auto allows_key(
    Configuration const& configuration, std::string_view host, std::string_view target, std::string_view key) -> bool {
    auto const* route = route_of(configuration, host, target);
    if (!configuration.keyed || (route != nullptr && route->open)) return true;
    return tenant_of(configuration, key) != nullptr;
}

}  // namespace dockrock::platform_stand_in

#include "version/services.hpp"

#include <algorithm>
#include <cctype>
#include <set>

#include "sequence/configuration.hpp"
#include "sequence/sharing_scope.hpp"

namespace dockrock {

namespace {

constexpr auto max_weight = std::int64_t{1'000'000'000};

auto lower_case(std::string_view text) -> std::string {
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return lower;
}

// The host without its port; an IPv6 address keeps its brackets.
auto without_port(std::string_view host) -> std::string_view {
    auto const from = host.starts_with('[') ? host.find(']') : std::size_t{0};
    return from == std::string_view::npos ? host : host.substr(0, host.find(':', from));
}

struct Checker {
    ServiceDocument const& document;
    Problems problems;

    auto problem(std::string const& path, std::string what) -> void { problems.push_back({path, std::move(what)}); }

    auto at_least(std::int64_t value, std::int64_t least, std::string const& path) -> void {
        if (value < least) problem(path, "must be at least " + std::to_string(least));
    }

    template <typename Item>
    auto names(std::vector<Item> const& items, std::string const& section) -> void {
        std::map<std::string_view, std::size_t> places;
        for (auto index = std::size_t{0}; index < items.size(); ++index) {
            auto const path = section + "/" + std::to_string(index) + "/name";
            if (items[index].name.empty()) problem(path, "must not be empty");
            auto const [place, fresh] = places.emplace(items[index].name, index);
            if (!fresh) problem(path, "the same name is at " + section + "/" + std::to_string(place->second));
        }
    }

    auto split(Route const& route, std::set<std::string_view> const& services, std::string const& path) -> void {
        auto sum = std::int64_t{0};
        for (auto index = std::size_t{0}; index < route.split.size(); ++index) {
            auto const place = path + "/" + std::to_string(index);
            auto const& entry = route.split[index];
            if (!services.contains(entry.service)) problem(place + "/service", "no service of this name");
            if (entry.weight < 0 || entry.weight > max_weight)
                problem(place + "/weight", "must be 0 to " + std::to_string(max_weight));
            else sum += entry.weight;
        }
        if (sum == 0) problem(path, "the weights must not sum to 0");
    }

    auto routes() -> void {
        std::set<std::string_view> services;
        for (auto const& service : document.services) services.insert(service.name);
        std::map<std::pair<std::string, std::string_view>, std::size_t> places;
        for (auto index = std::size_t{0}; index < document.routes.size(); ++index) {
            auto const& route = document.routes[index];
            auto const path = "/routes/" + std::to_string(index);
            if (route.host.empty()) problem(path + "/host", "must not be empty");
            if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/'))
                problem(path + "/prefix", "must begin and end with '/'");
            auto const [place, fresh] =
                places.emplace(std::pair(lower_case(route.host), std::string_view(route.prefix)), index);
            if (!fresh)
                problem(path + "/prefix", "the same host and prefix are at /routes/" + std::to_string(place->second));
            at_least(route.timeout, 1, path + "/timeout");
            at_least(route.target, 0, path + "/target");
            at_least(route.pause_limit, 0, path + "/pause_limit");
            at_least(route.tries, 0, path + "/tries");
            at_least(route.rank, 0, path + "/rank");
            split(route, services, path + "/split");
        }
    }

    auto services() -> void {
        for (auto index = std::size_t{0}; index < document.services.size(); ++index) {
            auto const& service = document.services[index];
            auto const path = "/services/" + std::to_string(index);
            at_least(service.connections, 0, path + "/connections");
            at_least(service.capacity, 0, path + "/capacity");
            at_least(service.memory, 0, path + "/memory");
            at_least(service.token_bytes, 0, path + "/token_bytes");
            at_least(service.event_calls, 0, path + "/event_calls");
            if (!(service.link_megabits >= 0.0)) problem(path + "/link_megabits", "must be at least 0");
        }
    }

    // Problems never contain the keys themselves.
    auto keys() -> void {
        std::map<std::string_view, std::size_t> holders;
        for (auto index = std::size_t{0}; index < document.tenants.size(); ++index) {
            auto const& tenant = document.tenants[index];
            auto const path = "/tenants/" + std::to_string(index);
            at_least(tenant.rank, 0, path + "/rank");
            for (auto number = std::size_t{0}; number < tenant.keys.size(); ++number) {
                auto const place = path + "/keys/" + std::to_string(number);
                if (tenant.keys[number].empty()) problem(place, "must not be empty");
                auto const [holder, fresh] = holders.emplace(tenant.keys[number], index);
                if (!fresh && holder->second != index)
                    problem(place, "/tenants/" + std::to_string(holder->second) + " has the same key");
            }
        }
    }
};

}  // namespace

auto check_document(ServiceDocument const& document) -> Problems {
    auto checker = Checker{document, {}};
    checker.at_least(document.version, 1, "/version");
    checker.names(document.routes, "/routes");
    checker.names(document.services, "/services");
    checker.names(document.tenants, "/tenants");
    checker.routes();
    checker.services();
    checker.at_least(document.limits.header_bytes, 1, "/limits/header_bytes");
    checker.at_least(document.limits.body_bytes, 1, "/limits/body_bytes");
    checker.at_least(document.limits.header_time, 1, "/limits/header_time");
    checker.at_least(document.limits.idle_time, 1, "/limits/idle_time");
    checker.keys();
    return std::move(checker.problems);
}

auto compile_services(ServiceDocument document) -> std::shared_ptr<ServiceRules const> {
    auto rules = std::make_shared<ServiceRules>();
    rules->document = std::move(document);
    auto& routes = rules->document.routes;
    for (auto index = std::size_t{0}; index < routes.size(); ++index) {
        routes[index].tries = std::max<std::int64_t>(1, routes[index].tries);
        rules->routes_by_host[lower_case(routes[index].host)].push_back(index);
    }
    for (auto& [host, indexes] : rules->routes_by_host)
        std::stable_sort(indexes.begin(), indexes.end(), [&](auto left, auto right) {
            return routes[left].prefix.size() > routes[right].prefix.size();
        });
    for (auto index = std::size_t{0}; index < rules->document.tenants.size(); ++index)
        for (auto const& key : rules->document.tenants[index].keys)
            rules->tenants_by_key.emplace(sha256_of(key), index);
    for (auto index = std::size_t{0}; index < rules->document.services.size(); ++index)
        rules->services_by_name.emplace(rules->document.services[index].name, index);
    std::set<std::string> isolated;
    for (auto const& tenant : rules->document.tenants)
        if (tenant.isolated) isolated.insert(tenant.name);
    rules->shared_scope = sharing_scope("", isolated);
    return rules;
}

auto ServiceRules::route_of(std::string_view host, std::string_view path) const -> Route const* {
    auto const found = routes_by_host.find(lower_case(without_port(host)));
    if (found == routes_by_host.end()) return nullptr;
    for (auto const index : found->second)
        if (path.starts_with(document.routes[index].prefix)) return &document.routes[index];
    return nullptr;
}

auto ServiceRules::tenant_of(std::string_view key) const -> ServiceTenant const* {
    auto const found = tenants_by_key.find(sha256_of(key));
    return found == tenants_by_key.end() ? nullptr : &document.tenants[found->second];
}

auto ServiceRules::service(std::string_view name) const -> Service const* {
    auto const found = services_by_name.find(std::string(name));
    return found == services_by_name.end() ? nullptr : &document.services[found->second];
}

auto ServiceRules::scope_of(ServiceTenant const* tenant) const -> std::string {
    return tenant != nullptr && tenant->isolated ? isolated_scope(tenant->name) : shared_scope;
}

auto rank_of(Route const& route, ServiceTenant const* tenant) -> std::int64_t {
    return tenant != nullptr && tenant->ranked ? tenant->rank : route.rank;
}

auto choose_service(Route const& route, std::uint64_t number) -> std::string const& {
    static auto const none = std::string();
    auto sum = std::uint64_t{0};
    for (auto const& entry : route.split) sum += static_cast<std::uint64_t>(std::max<std::int64_t>(0, entry.weight));
    if (sum == 0) return none;
    auto left = number % sum;
    for (auto const& entry : route.split) {
        auto const weight = static_cast<std::uint64_t>(std::max<std::int64_t>(0, entry.weight));
        if (left < weight) return entry.service;
        left -= weight;
    }
    return none;
}

}  // namespace dockrock

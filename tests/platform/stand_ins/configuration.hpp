#pragma once
// What a configuration of the platform's operator allows; read anew here, so
// that the product's own reading is checked by another.
#include "common.hpp"

namespace dockrock::platform_stand_in {

struct Route {
    std::string name, host, prefix, type;
    std::vector<std::string> services;  // those with a weight above 0
    bool open = false, resume = false;  // open: without a key
};
struct Tenant {
    std::string name;
    std::vector<std::string> keys;
    bool isolated = false;
};
struct Configuration {
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<Tenant> tenants;
    bool keyed = false;  // whether requests carry keys at all
};

auto read_configuration(json::object const& document) -> Configuration;
auto patched(json::object document, json::object const& patch) -> json::object;
auto route_of(Configuration const& configuration, std::string_view host, std::string_view target) -> Route const*;
auto tenant_of(Configuration const& configuration, std::string_view key) -> Tenant const*;
auto tenant_named(Configuration const& configuration, std::string_view name) -> Tenant const*;
auto allows_service(
    Configuration const& configuration, std::string_view host, std::string_view target, std::string const& service)
    -> bool;
auto allows_key(
    Configuration const& configuration, std::string_view host, std::string_view target, std::string_view key) -> bool;

}  // namespace dockrock::platform_stand_in

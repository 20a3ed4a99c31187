#pragma once
// The operator's document of services: routes by host and prefix, services,
// tenants and limits, under the operator's own version. docs/platform.md.
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/json_structs.hpp"

namespace dockrock {

struct SplitEntry {
    std::string service;
    std::int64_t weight = 0;
};
struct Route {
    std::string name;
    std::string host;
    std::string prefix;  // begins and ends with a slash
    bool stream = false;
    bool repeatable = false;  // may run more than once (resumable streams are)
    bool resumable = false;   // a stream that goes on elsewhere after a last event
    bool open = false;        // needs no key
    std::int64_t tries = 1;   // replicas that one request may be sent to
    std::int64_t rank = 0;    // 0 is the highest
    Microseconds timeout = 0;
    Microseconds target = 0;
    Microseconds pause_limit = 0;  // between events, 0: none
    std::vector<SplitEntry> split;
};
struct Service {
    std::string name;
    std::string health_path;
    std::int64_t connections = 100;  // that a replica takes from all nodes together
    std::int64_t capacity = 1;       // requests at once
    std::int64_t memory = 0;         // tokens of kept and running prompts
    std::int64_t token_bytes = 0;
    double link_megabits = 0.0;
    std::int64_t event_calls = 1;  // held at once by a replica
    std::vector<std::string> models;
    std::string store_address;  // a store of kept prompts, where not empty
    std::string zone;           // of the store
};
struct RequestLimits {
    std::int64_t header_bytes = 16'384;
    std::int64_t body_bytes = 4'194'304;
    Microseconds header_time = 3 * one_second;
    Microseconds idle_time = 15 * one_second;
};
struct ServiceTenant {
    std::string name;
    std::vector<std::string> keys;
    std::int64_t rank = 0;  // goes before the route's
    bool ranked = true;     // else the route's rank counts
    bool isolated = false;  // shares no kept prompt with others
};
struct ServiceDocument {
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    RequestLimits limits;
    std::vector<ServiceTenant> tenants;
    bool keyed = false;  // the document names tenants: requests carry keys
};

// The two functions of a fleet's form (process/wire_protocol.hpp) that know documents.
struct DocumentFormat {
    // Into the product's own structure; empty: it can't be read.
    std::function<std::optional<ServiceDocument>(std::string_view text, Problems& problems)> read_document;
    // The whole document that a change of named items results in.
    std::function<std::optional<std::string>(std::string_view current, std::string_view change, Problems& problems)>
        merge_document;
};

// Every reason why it can't be in force, with its path (as the product names things).
auto check_document(ServiceDocument const& document) -> Problems;

// Compiled for one version: immutable.
struct ServiceRules {
    ServiceDocument document;
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;  // longest prefix first
    std::unordered_map<std::string, std::size_t> tenants_by_key;               // SHA-256 -> place in tenants
    std::unordered_map<std::string, std::size_t> services_by_name;
    std::string shared_scope;  // of all requests but those of isolated tenants

    auto route_of(std::string_view host, std::string_view path) const -> Route const*;
    auto tenant_of(std::string_view key) const -> ServiceTenant const*;  // nullptr: unknown key
    auto service(std::string_view name) const -> Service const*;
    // Within which scope a tenant's prompts are shared; nullptr: a request without a tenant.
    auto scope_of(ServiceTenant const* tenant) const -> std::string;
};
auto compile_services(ServiceDocument document) -> std::shared_ptr<ServiceRules const>;

// The rank under which a tenant's request on a route waits; without a tenant the route's.
auto rank_of(Route const& route, ServiceTenant const* tenant) -> std::int64_t;

// Which service of a split takes a request: by weight, from a number that
// stays the same for one request.
auto choose_service(Route const& route, std::uint64_t number) -> std::string const&;

}  // namespace dockrock

#pragma once
// The operator's service document: routes by host and path prefix, services, tenants and limits, with a version
// that the operator sets. docs/platform.md.
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
    bool repeatable = false;  // a request may run more than once (resumable streams are repeatable)
    bool resumable = false;   // another replica can resume the stream after its last event
    bool open = false;        // no API key required
    std::int64_t tries = 1;   // maximum number of replicas that one request is sent to
    std::int64_t rank = 0;    // 0 is the highest
    Microseconds timeout = 0;
    Microseconds target = 0;
    Microseconds pause_limit = 0;  // longest pause between events; 0: no limit
    std::vector<SplitEntry> split;
};
struct Service {
    std::string name;
    std::string health_path;
    std::int64_t connections = 100;  // that a replica accepts from all nodes together
    std::int64_t capacity = 1;       // concurrent requests of a replica
    std::int64_t memory = 0;         // tokens of cached and running prompts
    std::int64_t token_bytes = 0;
    double link_megabits = 0.0;
    std::int64_t event_calls = 1;  // concurrent event calls that a replica holds open
    std::vector<std::string> models;
    std::string store_address;  // store of cached prompts; empty: none
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
    std::int64_t rank = 0;  // takes precedence over the route's rank
    bool ranked = true;     // false: only the route's rank counts
    bool isolated = false;  // shares no cached prompt with other tenants
};
struct ServiceDocument {
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    RequestLimits limits;
    std::vector<ServiceTenant> tenants;
    bool keyed = false;  // the document lists tenants: requests need API keys
};

// The functions of the wire protocol (process/wire_protocol.hpp) that read and change service documents.
struct DocumentFormat {
    // Parses a document of the fleet's own format; nullopt if it can't be read.
    std::function<std::optional<ServiceDocument>(std::string_view text, Problems& problems)> read_document;
    // The whole document after a change of single items.
    std::function<std::optional<std::string>(std::string_view current, std::string_view change, Problems& problems)>
        merge_document;
};

// Every reason why the document is invalid, with its path in the field names used here.
auto check_document(ServiceDocument const& document) -> Problems;

// A document compiled for lookups. Immutable; one for each version.
struct ServiceRules {
    ServiceDocument document;
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;  // longest prefix first
    std::unordered_map<std::string, std::size_t> tenants_by_key;               // SHA-256 of the key -> index in tenants
    std::unordered_map<std::string, std::size_t> services_by_name;
    std::string shared_scope;  // cache sharing scope of all requests but those of isolated tenants

    auto route_of(std::string_view host, std::string_view path) const -> Route const*;
    auto tenant_of(std::string_view key) const -> ServiceTenant const*;  // nullptr: unknown key
    auto service(std::string_view name) const -> Service const*;
    // The scope within which cached prompts of a tenant are shared; nullptr: a request without a tenant.
    auto scope_of(ServiceTenant const* tenant) const -> std::string;
};
auto compile_services(ServiceDocument document) -> std::shared_ptr<ServiceRules const>;

// The rank of a tenant's request on a route: the tenant's if it has one, else the route's.
auto rank_of(Route const& route, ServiceTenant const* tenant) -> std::int64_t;

// Chooses a service of the route's split by weight. `number` is a hash that stays the same for one request, so
// that its choice does too.
auto choose_service(Route const& route, std::uint64_t number) -> std::string const&;

}  // namespace dockrock

#pragma once
// The operator's configuration: a tree of groups and tenants that inherit isolation, rank, share, keys and models.
// It is always validated as a whole. docs/design.md section 7.
#include "base/json_structs.hpp"

namespace dockrock {

struct Key {
    std::string identity;
    std::string sha256;
};
// Every setting is optional and is otherwise inherited from the parent branch.
struct TenantBranch {
    std::string name;
    std::optional<std::string> wall;
    std::optional<int> rank;
    std::optional<int> share;
    std::optional<std::vector<Key>> keys;
    std::optional<std::vector<std::string>> models;
};
struct GroupBranch {
    std::string name;
    std::optional<std::string> wall;
    std::optional<int> rank;
    std::optional<int> share;
    std::optional<std::vector<Key>> keys;
    std::optional<std::vector<std::string>> models;
    std::vector<GroupBranch> groups;
    std::vector<TenantBranch> tenants;
};
struct ModelEntry {
    std::string name;
    std::string weights;  // the initial weights; later ones are set through the service's partition
};
struct KindEntry {
    std::string name;
    std::int64_t deadline_milliseconds = 10'000;
};
struct MappingEntry {
    std::string path;
    std::string to;  // "models" or "application"
};
struct Limits {
    std::int64_t body_bytes = 262'144;
    std::int64_t prefix_parts = 64;
    std::int64_t max_tokens = 8'192;
    std::int64_t buffer_length = 256;
};
struct Configuration {
    std::vector<ModelEntry> models;
    std::vector<KindEntry> kinds;
    std::vector<MappingEntry> mappings;
    Limits limits;
    GroupBranch root;
};

// Within what a tenant's prefix cache is shared: its surroundings, its group, or nothing.
enum class Isolation : int { shared, group, isolated };

// A tenant with its inherited settings.
struct Tenant {
    std::string path;
    std::string name;
    Isolation wall = Isolation::shared;
    std::string isolation_domain;  // the prefix cache is shared only within one domain
    std::string sharing_scope;     // the domain, and the domains isolated from it (sequence/sharing_scope.hpp)
    int rank = 0;
    int share = 1;
    std::vector<Key> keys;
    std::string keys_from;  // path of the branch that sets them
    std::vector<std::string> models;
};

struct CheckedConfiguration {
    Configuration configuration;
    std::vector<Tenant> tenants;
    Problems problems;
};

inline constexpr auto configuration_limit = std::size_t{1} << 20U;

// Parses and validates a configuration; `problems` lists every error with its path.
auto check_configuration(std::string_view text) -> CheckedConfiguration;
auto sha256_of(std::string_view text) -> std::string;  // lower-case hexadecimal
auto equal_in_constant_time(std::string_view left, std::string_view right) -> bool;

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(dockrock::Key, identity, sha256);
BOOST_HANA_ADAPT_STRUCT(dockrock::TenantBranch, name, wall, rank, share, keys, models);
BOOST_HANA_ADAPT_STRUCT(dockrock::GroupBranch, name, wall, rank, share, keys, models, groups, tenants);
BOOST_HANA_ADAPT_STRUCT(dockrock::ModelEntry, name, weights);
BOOST_HANA_ADAPT_STRUCT(dockrock::KindEntry, name, deadline_milliseconds);
BOOST_HANA_ADAPT_STRUCT(dockrock::MappingEntry, path, to);
BOOST_HANA_ADAPT_STRUCT(dockrock::Limits, body_bytes, prefix_parts, max_tokens, buffer_length);
BOOST_HANA_ADAPT_STRUCT(dockrock::Configuration, models, kinds, mappings, limits, root);

#include "sequence/configuration.hpp"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>
#include <set>

#include "sequence/sharing_scope.hpp"

namespace dockrock {

namespace {

inline constexpr auto isolation_names = std::to_array<std::string_view>({"shared", "group", "isolated"});
inline constexpr auto fleet_domain = std::string_view("fleet");
inline constexpr auto max_tree_depth = 16;
inline constexpr auto max_tenants = std::size_t{4'096};

auto group_domain(std::string_view path) -> std::string { return "group:" + std::string(path); }

struct Inherited {
    Isolation wall = Isolation::shared;
    std::string isolation_domain = std::string(fleet_domain);
    int rank = 0;
    int share = 1;
    std::vector<Key> keys;
    std::string keys_from;
    std::vector<std::string> models;
};

struct Checker {
    CheckedConfiguration& result;
    std::set<std::string> model_names;
    std::set<std::string> tenant_names;
    std::map<std::string, std::string> key_places;

    auto problem(std::string const& path, std::string what) -> void {
        result.problems.push_back({path, std::move(what)});
    }

    auto name(std::string const& value, std::string const& path) -> void {
        auto const good = !value.empty() && value.size() <= 64 &&
            std::all_of(value.begin(), value.end(), [](unsigned char character) {
                return std::isalnum(character) != 0 || character == '-' || character == '_' || character == '.';
            });
        if (!good) problem(path + "/name", "must be 1 to 64 letters, digits, '-', '_' or '.'");
    }

    template <typename Branch>
    auto inherit(Branch const& branch, Inherited from, std::string const& path, std::string const& tree_path)
        -> Inherited {
        name(branch.name, path);
        if (branch.wall) {
            auto const found = std::find(isolation_names.begin(), isolation_names.end(), *branch.wall);
            if (found == isolation_names.end()) {
                problem(path + "/wall", "must be shared, group or isolated");
            } else if (auto const wall = static_cast<Isolation>(found - isolation_names.begin()); wall < from.wall) {
                problem(
                    path + "/wall",
                    "walls only tighten downward: a branch above sets " +
                        std::string(isolation_names[static_cast<std::size_t>(from.wall)]));
            } else {
                if (wall == Isolation::group) from.isolation_domain = group_domain(tree_path);
                from.wall = wall;
            }
        }
        if (branch.rank) {
            if (*branch.rank < 0 || *branch.rank > 9) problem(path + "/rank", "must be 0 to 9");
            from.rank = *branch.rank;
        }
        if (branch.share) {
            if (*branch.share < 1 || *branch.share > 1'000) problem(path + "/share", "must be 1 to 1000");
            from.share = *branch.share;
        }
        if (branch.keys) {
            from.keys = *branch.keys;
            from.keys_from = tree_path;
            for (auto index = std::size_t{0}; index < branch.keys->size(); ++index)
                key((*branch.keys)[index], path + "/keys/" + std::to_string(index));
        }
        if (branch.models) {
            from.models = *branch.models;
            for (auto index = std::size_t{0}; index < branch.models->size(); ++index)
                if (!model_names.contains((*branch.models)[index]))
                    problem(path + "/models/" + std::to_string(index), "no model of this name");
        }
        return from;
    }

    auto key(Key const& entry, std::string const& path) -> void {
        if (entry.identity.empty() || entry.identity.size() > 64)
            problem(path + "/identity", "must be 1 to 64 characters");
        auto const good =
            entry.sha256.size() == 64 && std::all_of(entry.sha256.begin(), entry.sha256.end(), [](char character) {
                return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
            });
        if (!good) return problem(path + "/sha256", "must be 64 lower-case hexadecimal digits");
        auto const [place, fresh] = key_places.emplace(entry.sha256, path);
        if (!fresh) problem(path + "/sha256", "the same key is set at " + place->second);
    }

    auto group(
        GroupBranch const& branch, Inherited const& above, std::string const& path, std::string const& tree_path,
        int depth) -> void {
        if (depth > max_tree_depth) return problem(path, "the tree is deeper than 16 groups");
        auto const here = inherit(branch, above, path, tree_path);
        std::set<std::string> names;
        for (auto index = std::size_t{0}; index < branch.groups.size(); ++index) {
            auto const place = path + "/groups/" + std::to_string(index);
            if (!names.insert(branch.groups[index].name).second)
                problem(place + "/name", "another group here has this name");
            group(branch.groups[index], here, place, tree_path + "/" + branch.groups[index].name, depth + 1);
        }
        for (auto index = std::size_t{0}; index < branch.tenants.size(); ++index) {
            auto const& tenant = branch.tenants[index];
            auto const place = path + "/tenants/" + std::to_string(index);
            auto const tenant_path = tree_path + "/" + tenant.name;
            auto const mine = inherit(tenant, here, place, tenant_path);
            if (!tenant_names.insert(tenant.name).second) problem(place + "/name", "another tenant has this name");
            if (result.tenants.size() >= max_tenants) return problem(place, "more than 4096 tenants");
            auto const domain = mine.wall == Isolation::isolated ? isolated_scope(tenant_path) : mine.isolation_domain;
            result.tenants.push_back(
                {tenant_path, tenant.name, mine.wall, domain, domain, mine.rank, mine.share, mine.keys, mine.keys_from,
                 mine.models});
        }
    }
};

// The domains of all branches above a path of the tree, whether or not they are isolated.
auto enclosing_domains(std::string const& path) -> std::vector<std::string> {
    auto domains = std::vector<std::string>(1, std::string(fleet_domain));
    for (auto end = path.find('/', 1); end != std::string::npos; end = path.find('/', end + 1))
        domains.push_back(group_domain(path.substr(0, end)));
    return domains;
}

auto set_scopes(std::vector<Tenant>& tenants) -> void {
    // By domain in which tenants share: the domains within it that are isolated.
    std::map<std::string, std::set<std::string>> isolated_domains;
    for (auto const& tenant : tenants) isolated_domains[tenant.isolation_domain];
    for (auto const& tenant : tenants)
        for (auto const& domain : enclosing_domains(tenant.path))
            if (auto const found = isolated_domains.find(domain);
                found != isolated_domains.end() && domain != tenant.isolation_domain)
                found->second.insert(tenant.isolation_domain);
    for (auto& tenant : tenants)
        tenant.sharing_scope = sharing_scope(tenant.isolation_domain, isolated_domains[tenant.isolation_domain]);
}

auto check_range(Checker& checker, std::int64_t value, std::int64_t least, std::int64_t most, std::string const& path)
    -> void {
    if (value < least || value > most)
        checker.problem(path, "must be " + std::to_string(least) + " to " + std::to_string(most));
}

}  // namespace

auto check_configuration(std::string_view text) -> CheckedConfiguration {
    CheckedConfiguration result;
    auto const parsed = parse_json(text);
    if (!parsed) {
        result.problems.push_back({"", "not JSON"});
        return result;
    }
    read_json(*parsed, result.configuration, "", result.problems);
    auto const& configuration = result.configuration;
    auto checker = Checker{result, {}, {}, {}};
    for (auto index = std::size_t{0}; index < configuration.models.size(); ++index) {
        auto const place = "/models/" + std::to_string(index);
        checker.name(configuration.models[index].name, place);
        if (!checker.model_names.insert(configuration.models[index].name).second)
            checker.problem(place + "/name", "another model has this name");
        if (configuration.models[index].weights.empty() || configuration.models[index].weights.size() > 128)
            checker.problem(place + "/weights", "must be 1 to 128 characters");
    }
    std::set<std::string> kinds;
    for (auto index = std::size_t{0}; index < configuration.kinds.size(); ++index) {
        auto const place = "/kinds/" + std::to_string(index);
        checker.name(configuration.kinds[index].name, place);
        if (!kinds.insert(configuration.kinds[index].name).second)
            checker.problem(place + "/name", "another kind has this name");
        check_range(
            checker, configuration.kinds[index].deadline_milliseconds, 10, 600'000, place + "/deadline_milliseconds");
    }
    std::set<std::string> paths;
    for (auto index = std::size_t{0}; index < configuration.mappings.size(); ++index) {
        auto const& mapping = configuration.mappings[index];
        auto const place = "/mappings/" + std::to_string(index);
        if (mapping.path.empty() || mapping.path.front() != '/' || mapping.path.size() > 256)
            checker.problem(place + "/path", "must begin with '/' and be 256 characters at most");
        if (mapping.path.starts_with("/control/"))
            checker.problem(place + "/path", "paths below /control/ are the node's own");
        if (!paths.insert(mapping.path).second) checker.problem(place + "/path", "another mapping has this path");
        if (mapping.to != "models" && mapping.to != "application")
            checker.problem(place + "/to", "must be models or application");
    }
    check_range(checker, configuration.limits.body_bytes, 1'024, 16'777'216, "/limits/body_bytes");
    check_range(checker, configuration.limits.prefix_parts, 0, 1'024, "/limits/prefix_parts");
    check_range(checker, configuration.limits.max_tokens, 1, 1'000'000, "/limits/max_tokens");
    check_range(checker, configuration.limits.buffer_length, 1, 10'000, "/limits/buffer_length");
    checker.group(configuration.root, Inherited{}, "/root", "/" + configuration.root.name, 1);
    set_scopes(result.tenants);
    return result;
}

auto sha256_of(std::string_view text) -> std::string {
    auto bytes = std::array<unsigned char, SHA256_DIGEST_LENGTH>{};
    SHA256(reinterpret_cast<unsigned char const*>(text.data()), text.size(), bytes.data());
    std::string digits;
    for (auto byte : bytes) {
        digits.push_back("0123456789abcdef"[byte >> 4U]);
        digits.push_back("0123456789abcdef"[byte & 15U]);
    }
    return digits;
}

auto equal_in_constant_time(std::string_view left, std::string_view right) -> bool {
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace dockrock

#include "sequence/plan.hpp"

#include <algorithm>
#include <array>
#include <set>

#include "control/control.hpp"

namespace dockrock {

namespace {

inline constexpr auto isolation_words = std::to_array<char const*>({"shared", "group", "isolated"});
inline constexpr auto subjects =
    std::to_array<char const*>({"models", "kinds", "mappings", "limits", "tenants", "keys", "walls", "partitions"});

using Facts = std::map<std::string, json::object>;  // name -> its properties

// Lists the differences by name: added, removed, or changed with the old and new values.
auto compare(Facts const& before, Facts const& after) -> json::array {
    json::array moves;
    for (auto const& [name, facts] : before) {
        auto const found = after.find(name);
        if (found == after.end()) {
            moves.push_back(json::object{{"name", name}, {"move", "removed"}, {"from", facts}});
            continue;
        }
        json::object from;
        json::object to;
        for (auto const& item : facts) {
            auto const* other = found->second.if_contains(item.key());
            if (other != nullptr && *other == item.value()) continue;
            from[item.key()] = item.value();
            to[item.key()] = other != nullptr ? *other : json::value(nullptr);
        }
        if (!from.empty())
            moves.push_back(json::object{{"name", name}, {"move", "changed"}, {"from", from}, {"to", to}});
    }
    for (auto const& [name, facts] : after)
        if (!before.contains(name)) moves.push_back(json::object{{"name", name}, {"move", "added"}, {"to", facts}});
    return moves;
}

auto tenant_facts(CheckedConfiguration const& checked) -> Facts {
    Facts facts;
    for (auto const& tenant : checked.tenants)
        facts[tenant.path] = {
            {"rank", tenant.rank},
            {"share", tenant.share},
            {"keys_from", tenant.keys_from},
            {"models", write_json(tenant.models)}};
    return facts;
}

auto isolation_facts(CheckedConfiguration const& checked) -> Facts {
    Facts facts;
    for (auto const& tenant : checked.tenants)
        facts[tenant.path] = {
            {"wall", isolation_words[static_cast<std::size_t>(tenant.wall)]},
            {"memory_shared_within", tenant.isolation_domain}};
    return facts;
}

auto key_facts(CheckedConfiguration const& checked) -> Facts {
    std::map<std::string, std::set<std::string>> tenants;
    std::map<std::string, std::string> hashes;
    for (auto const& tenant : checked.tenants) {
        for (auto const& key : tenant.keys) {
            auto const name = tenant.keys_from + "#" + key.identity;
            tenants[name].insert(tenant.path);
            hashes[name] = key.sha256.substr(0, 8);
        }
    }
    Facts facts;
    for (auto const& [name, paths] : tenants)
        facts[name] = {
            {"opens", write_json(std::vector<std::string>(paths.begin(), paths.end()))},
            {"sha256_begins", hashes[name]}};
    return facts;
}

auto model_facts(CheckedConfiguration const& checked) -> Facts {
    Facts facts;
    for (auto const& model : checked.configuration.models) facts[model.name] = {{"weights", model.weights}};
    return facts;
}

auto kind_facts(CheckedConfiguration const& checked) -> Facts {
    Facts facts;
    for (auto const& kind : checked.configuration.kinds)
        facts[kind.name] = {{"deadline_milliseconds", kind.deadline_milliseconds}};
    return facts;
}

auto mapping_facts(CheckedConfiguration const& checked) -> Facts {
    Facts facts;
    for (auto const& mapping : checked.configuration.mappings) facts[mapping.path] = {{"to", mapping.to}};
    return facts;
}

auto limit_facts(CheckedConfiguration const& checked) -> Facts {
    Facts facts;
    auto const written = write_json(checked.configuration.limits);
    for (auto const& item : written.as_object()) facts[std::string(item.key())] = {{"value", item.value()}};
    return facts;
}

// A service is stored in the partition that its name hashes to, and so on that partition's leader and followers.
auto partition_facts(CheckedConfiguration const& checked, std::vector<PlanPartition> const& partitions) -> Facts {
    Facts facts;
    for (auto const& model : checked.configuration.models) {
        auto const name = std::string(partition_names[static_cast<std::size_t>(partition_of_service(model.name))]);
        auto& entry = facts[model.name];
        entry = {{"partition", name}};
        for (auto const& partition : partitions)
            if (partition.name == name) {
                auto members = partition.leader;
                for (auto const& follower : partition.followers) members += ", " + follower;
                entry["pair"] = std::move(members);
            }
    }
    return facts;
}

}  // namespace

auto plan_change(
    CheckedConfiguration const& before, CheckedConfiguration const& after, std::vector<PlanPartition> const& partitions)
    -> json::object {
    json::object plan;
    plan["models"] = compare(model_facts(before), model_facts(after));
    plan["kinds"] = compare(kind_facts(before), kind_facts(after));
    plan["mappings"] = compare(mapping_facts(before), mapping_facts(after));
    plan["limits"] = compare(limit_facts(before), limit_facts(after));
    plan["tenants"] = compare(tenant_facts(before), tenant_facts(after));
    plan["keys"] = compare(key_facts(before), key_facts(after));
    plan["walls"] = compare(isolation_facts(before), isolation_facts(after));
    plan["partitions"] = compare(partition_facts(before, partitions), partition_facts(after, partitions));
    return plan;
}

auto plan_text(json::object const& plan) -> std::string {
    std::string text;
    for (auto const* subject : subjects) {
        for (auto const& item : plan.at(subject).as_array()) {
            auto const& move = item.as_object();
            text += std::string(subject) + ": " + std::string(move.at("name").as_string()) + " " +
                std::string(move.at("move").as_string());
            if (move.contains("from")) text += " from " + json::serialize(move.at("from"));
            if (move.contains("to")) text += " to " + json::serialize(move.at("to"));
            text += "\n";
        }
    }
    return text.empty() ? "nothing would move\n" : text;
}

}  // namespace dockrock

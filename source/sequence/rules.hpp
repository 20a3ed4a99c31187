#pragma once
// Rules compiled from one version (sequence) of the configuration: the snapshot that requests are checked against.
// docs/design.md section 9.1.
#include <array>
#include <memory>
#include <set>

#include "base/messages.hpp"
#include "sequence/configuration.hpp"
#include "version/services.hpp"

namespace dockrock {

enum class Operation : int {
    method,
    body_limit,
    read_inference,
    check_key,
    match_tenant,
    check_kind,
    check_model,
    check_sizes,
    enqueue,
    forward_application
};
inline constexpr auto operation_names = std::to_array<std::string_view>(
    {"method", "body-limit", "read-ticket", "check-key", "match-tenant", "check-kind", "check-model", "check-sizes",
     "enter-buffer", "forward-application"});

// One step of processing a request, with its argument.
struct Rule {
    Operation operation;
    std::string text;
    std::int64_t number = 0;
};
struct Mapping {
    std::string path;
    std::vector<Rule> rules;
};

// Immutable; replaced as a whole when a newer configuration arrives.
struct Rules {
    Sequence sequence;
    CheckedConfiguration checked;
    std::vector<Mapping> mappings;                                   // longest path first
    std::map<std::string, std::vector<std::size_t>> tenants_by_key;  // SHA-256 -> indexes in checked.tenants
    std::map<std::string, std::int64_t> deadlines;                   // by kind, microseconds
    std::set<std::string> models;
    std::shared_ptr<ServiceRules const> services;  // set if this fleet relays requests
    auto empty() const -> bool { return mappings.empty() && !services; }
};

auto compile_rules(Sequence const& sequence, std::string_view document) -> std::shared_ptr<Rules const>;

}  // namespace dockrock

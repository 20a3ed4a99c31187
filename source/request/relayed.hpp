#pragma once
// A request that is relayed as it is: judged by the rules of the document of
// services, and turned into what granting entry works on. docs/platform.md section 4.
#include "sequence/rules.hpp"
#include "ticket/interpreter.hpp"
#include "version/services.hpp"

namespace dockrock {

// What the connection saw, as views into the request's head.
struct RelayArrival {
    std::string_view method, path, host, identity, key, deadline, model, tokens, prefix, last_event;
    Microseconds now = 0;  // when it had been read whole
};

struct RelayVerdict {
    Verdict verdict;  // kind `enqueue`, or an answer with its status and reason
    Route const* route = nullptr;
    ServiceTenant const* tenant = nullptr;
    std::shared_ptr<ServiceRules const> rules;  // keeps route and tenant alive
};

auto judge_relayed(std::shared_ptr<ServiceRules const> rules, RelayArrival const& arrival) -> RelayVerdict;

// Under what text kept prompts are found: the wall and the weights' version, so
// that memory behind another wall or of other weights is never found.
auto salt_of(std::string_view isolation_domain, std::string_view weights) -> std::string;
// The parts of a salt again; nothing where it is not one of ours.
auto read_salt(std::string_view salt) -> std::optional<std::pair<std::string, std::string>>;
// One part under one wall, as the index of kept prompts knows it.
auto part_hash(std::string_view isolation_domain, std::string_view part) -> std::uint64_t;
// Tenant before route; 0 first, 9 last.
auto urgency_of(ServiceTenant const* tenant, Route const& route) -> int;

}  // namespace dockrock

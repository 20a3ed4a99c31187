#pragma once
// Admission of a request that is relayed unchanged: checks it against the rules of the service document, and
// derives what the scheduler needs from its head. docs/platform.md section 4.
#include "sequence/rules.hpp"
#include "ticket/interpreter.hpp"
#include "version/services.hpp"

namespace dockrock {

// The request's head, as views into the connection's buffer.
struct RelayedRequest {
    std::string_view method, path, host, identity, key, deadline, model, tokens, prefix, last_event;
    Microseconds now = 0;  // when the head had been read whole
};

struct RelayVerdict {
    Verdict verdict;  // Kind::enqueue, or an answer with its status and reason
    Route const* route = nullptr;
    ServiceTenant const* tenant = nullptr;
    std::shared_ptr<ServiceRules const> rules;  // keeps route and tenant alive
};

auto interpret_relayed(std::shared_ptr<ServiceRules const> rules, RelayedRequest const& arrival) -> RelayVerdict;

// The prefix cache salt: isolation domain and weights version, so that a lookup never finds cache entries of
// another domain or of other weights.
auto salt_of(std::string_view isolation_domain, std::string_view weights) -> std::string;
// Isolation domain and weights of a salt; nullopt if the text is not a salt.
auto read_salt(std::string_view salt) -> std::optional<std::pair<std::string, std::string>>;
// Hash of one prefix part within one isolation domain: its key in the index of cached prompts.
auto part_hash(std::string_view isolation_domain, std::string_view part) -> std::uint64_t;
// Priority from the tenant's rank, then the route's: 0 is the most urgent, 9 the least.
auto urgency_of(ServiceTenant const* tenant, Route const& route) -> int;

}  // namespace dockrock

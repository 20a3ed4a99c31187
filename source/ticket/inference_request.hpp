#pragma once
// An inference request as the nodes queue, place and retry it. docs/design.md section 9.
#include "base/json_structs.hpp"

namespace dockrock {

// One named part of a prompt's prefix, and its length in tokens.
struct PrefixPart {
    std::string name;
    std::int64_t tokens = 0;
};

// The JSON body that a client posts to a path mapped to models.
struct InferenceBody {
    std::string model;
    std::string kind;
    std::string prompt;
    std::string tenant;    // required if the API key belongs to several tenants
    std::string weights;   // optional: place it only on replicas with these weights
    std::string identity;  // optional: the client's idempotency key
    std::vector<PrefixPart> prefix;
    std::int64_t max_tokens = 0;
    std::int64_t slots = 1;                  // capacity slots that it occupies on a replica
    std::int64_t deadline_milliseconds = 0;  // optional: used if shorter than the kind's
    bool run_once = true;
};

inline constexpr auto unlimited_tries = std::int64_t{1} << 30;

// A request with what its key, its tenant and the configuration add to its body.
struct InferenceRequest {
    std::uint64_t number = 0;
    InferenceBody body;
    std::string key_hash;
    std::string tenant_path;
    std::string isolation_domain;
    int rank = 0;
    int share = 1;
    Microseconds arrived_at = 0;
    Microseconds deadline = 0;  // absolute
    std::int64_t prompt_tokens = 0;
    std::int64_t prefix_tokens = 0;
    std::int64_t tries = unlimited_tries;  // maximum number of replicas that it is sent to
    bool in_retry_budget = false;          // queued before: adds nothing more to the retry budget
    std::vector<std::uint64_t> chain;      // hash of each prefix of the parts, with isolation and model mixed in
    bool independent_parts = false;        // `chain` has one hash for each single part instead
    std::uint64_t affinity = 0;            // equal for requests that share a prefix; 0: no prefix
    // Tokens of memory that it needs at most: prompt, prefix and output.
    auto declared() const -> std::int64_t { return prompt_tokens + prefix_tokens + body.max_tokens; }
};

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(dockrock::PrefixPart, name, tokens);
BOOST_HANA_ADAPT_STRUCT(
    dockrock::InferenceBody, model, kind, prompt, tenant, weights, identity, prefix, max_tokens, slots,
    deadline_milliseconds, run_once);

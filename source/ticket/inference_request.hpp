#pragma once
// A ticket is one request of a caller. docs/design.md section 9.
#include "base/json_structs.hpp"

namespace dockrock {

struct PrefixPart {
    std::string name;
    std::int64_t tokens = 0;
};

// What a caller sends to a models mapping.
struct InferenceBody {
    std::string model;
    std::string kind;
    std::string prompt;
    std::string tenant;    // needed where a key serves several
    std::string weights;   // optional: only these weights will do
    std::string identity;  // optional: the caller's name for this ticket
    std::vector<PrefixPart> prefix;
    std::int64_t max_tokens = 0;
    std::int64_t slots = 1;                  // how much capacity it takes
    std::int64_t deadline_milliseconds = 0;  // optional: shorter than the kind's
    bool run_once = true;
};

inline constexpr auto unlimited_tries = std::int64_t{1} << 30;

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
    std::int64_t tries = unlimited_tries;  // replicas that it may be sent to
    bool counted = false;                  // entered before: earns no second share of extra tries
    std::vector<std::uint64_t> chain;      // hash of each leading run of prefix parts, wall and model included
    bool parts_alone = false;              // the hashes are of single parts: kept is a leading run of them
    std::uint64_t affinity = 0;            // tickets that share a prefix have the same; 0: none
    auto declared() const -> std::int64_t { return prompt_tokens + prefix_tokens + body.max_tokens; }
};

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(dockrock::PrefixPart, name, tokens);
BOOST_HANA_ADAPT_STRUCT(
    dockrock::InferenceBody, model, kind, prompt, tenant, weights, identity, prefix, max_tokens, slots,
    deadline_milliseconds, run_once);

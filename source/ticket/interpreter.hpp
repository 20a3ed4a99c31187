#pragma once
// The small interpreter a ticket goes through. docs/design.md section 9.1.
#include "sequence/rules.hpp"
#include "ticket/inference_request.hpp"

namespace dockrock {

struct Arrival {  // what the connection saw
    std::string method;
    std::string path;
    std::string key;
    std::string_view body;
    std::string tenant;  // from the header, for mappings without a ticket body
    Microseconds now = 0;
};

struct Verdict {
    enum class Kind : int { answer, enqueue, forward };
    Kind kind = Kind::answer;
    int status = 500;
    std::string reason;
    Problems problems;
    InferenceRequest inference;
    std::string forward_path;
};

auto interpret(Rules const& rules, Arrival const& arrival) -> Verdict;

// Whether the key still opens the tenant under these rules (design 8.3).
auto key_holds(Rules const& rules, std::string const& key_hash, std::string const& tenant_path) -> bool;

}  // namespace dockrock

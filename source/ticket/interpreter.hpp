#pragma once
// Applies the compiled rules to an incoming request. docs/design.md section 9.1.
#include "sequence/rules.hpp"
#include "ticket/inference_request.hpp"

namespace dockrock {

// An incoming HTTP request.
struct IncomingRequest {
    std::string method;
    std::string path;
    std::string key;
    std::string_view body;
    std::string tenant;  // from the header, for mappings without a JSON body
    Microseconds now = 0;
};

// What to do with the request: answer with `status`, queue the request, or forward it.
struct Verdict {
    enum class Kind : int { answer, enqueue, forward };
    Kind kind = Kind::answer;
    int status = 500;
    std::string reason;
    Problems problems;
    InferenceRequest inference;
    std::string forward_path;
};

auto interpret(Rules const& rules, IncomingRequest const& arrival) -> Verdict;

// Whether these rules still let the key use the tenant (design 8.3).
auto key_is_valid(Rules const& rules, std::string const& key_hash, std::string const& tenant_path) -> bool;

}  // namespace dockrock

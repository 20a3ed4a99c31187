#pragma once
// A complete platform document, and a helper to read it in tests.
#include "../helpers.hpp"
#include "platform/document.hpp"

namespace dockrock::testing {

inline auto const full_document =
    std::string(R"({"ver":7,"routes":[{"name":"r-long","host":"desk.example","pfx":"/long/","type":"stream",)"
                R"("timeoutMs":8000,"targetMs":400,"prio":1,"split":[{"svc":"plan-a","wt":90},{"svc":"plan-a",)"
                R"("wt":10}],"tries":2,"public":false,"sticky":true,"resume":true,"gapTargetMs":250},)"
                R"({"name":"r-check","host":"desk.example","pfx":"/check/","type":"stream","timeoutMs":4000,)"
                R"("targetMs":300,"prio":0,"svc":"plan-a","tries":1,"public":false,"sticky":true,"resume":false,)"
                R"("gapTargetMs":250}],"svcs":[{"name":"plan-a","healthPath":"/health","maxConns":630,"proto":"h1",)"
                R"("tls":false,"backend":{"slots":128,"kvToks":300000,"kvTokBytes":18432,"netMbps":360000.0,)"
                R"("chunk":5,"maxInflight":12,"models":[{"name":"model-a"}]}},{"name":"shelf-a",)"
                R"("kvAddr":"10.9.0.2:8700","zone":"harbour","kvToks":5000000,"netMbps":140000.0,)"
                R"("maxInflight":12}],"caps":{"hdrBytes":16384,"bodyBytes":4194304,"hdrMs":3000,"idleMs":15000},)"
                R"("orgs":[{"name":"north","apiKeys":["key-north-one","key-north-two"],"prio":1,"isolated":true}]})");

inline auto read_platform(std::string const& text) -> ServiceDocument {
    Problems problems;
    auto const document = platform::read_document(text, problems);
    INFO(json::serialize(write_problems(problems)));
    REQUIRE(document);
    REQUIRE(problems.empty());
    return *document;
}
inline auto read_paths(std::string const& text) -> std::set<std::string> {
    Problems problems;
    CHECK_FALSE(platform::read_document(text, problems));
    std::set<std::string> paths;
    for (auto const& problem : problems) paths.insert(problem.path);
    return paths;
}
using Paths = std::set<std::string>;

}  // namespace dockrock::testing

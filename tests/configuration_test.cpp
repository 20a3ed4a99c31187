#include "helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {
auto tenant_of(CheckedConfiguration const& checked, std::string const& name) -> Tenant {
    for (auto const& tenant : checked.tenants)
        if (tenant.name == name) return tenant;
    FAIL("no tenant " << name);
    return {};
}
auto problem_paths(std::string const& text) -> std::set<std::string> {
    std::set<std::string> paths;
    for (auto const& problem : check_configuration(text).problems) paths.insert(problem.path);
    return paths;
}
}  // namespace

TEST_CASE("a change near the root flows to every branch that does not override it") {
    auto const before = check_configuration(tree());
    REQUIRE(before.problems.empty());
    auto const north = tenant_of(before, "north");
    CHECK(north.rank == 7);
    CHECK(north.keys_from == "/root");
    CHECK(north.isolation_domain == "group:/root/clerks");
    CHECK(tenant_of(before, "south").rank == 9);
    CHECK(tenant_of(before, "south").keys.front().identity == "k1");
    CHECK(tenant_of(before, "citizens").rank == 2);
    CHECK(tenant_of(before, "citizens").isolation_domain == "tenant:/root/portal/citizens");
    auto const after = check_configuration(replaced(tree(), "\"rank\":2", "\"rank\":4"));
    CHECK(tenant_of(after, "citizens").rank == 4);
    CHECK(tenant_of(after, "north").rank == 7);
}

TEST_CASE("a bad configuration is answered with every error and its path") {
    auto text = replaced(tree(), "\"rank\":7", "\"rank\":70");
    text = replaced(text, "\"wall\":\"isolated\"", "\"wall\":\"iron\"");
    text = replaced(text, "\"models\":[\"small\"]", "\"models\":[\"huge\"]");
    text = replaced(text, "\"deadline_milliseconds\":8000", "\"deadline_milliseconds\":\"soon\"");
    text = replaced(text, "\"buffer_length\":8", "\"buffer_length\":0,\"colour\":1");
    CHECK(
        problem_paths(text) ==
        std::set<std::string>{
            "/root/groups/0/rank", "/root/groups/1/wall", "/root/groups/1/tenants/0/models/0",
            "/kinds/0/deadline_milliseconds", "/limits/buffer_length", "/limits/colour"});
    CHECK(problem_paths("{\"models\":") == std::set<std::string>{""});
    CHECK(problem_paths(replaced(tree(), "\"name\":\"south\"", "\"name\":\"north\""))
              .contains("/root/groups/0/tenants/1/name"));
}

TEST_CASE("walls only tighten downward") {
    auto const text = replaced(tree(), "\"name\":\"citizens\"", "\"name\":\"citizens\",\"wall\":\"shared\"");
    CHECK(problem_paths(text) == std::set<std::string>{"/root/groups/1/tenants/0/wall"});
}

TEST_CASE("numbers out of range and keys that are no hashes are told") {
    CHECK(problem_paths(replaced(tree(), "\"rank\":2", "\"rank\":99999999999999999999")).contains("/root/rank"));
    CHECK(problem_paths(replaced(tree(), sha256_of("secret-1"), "abc"))
              .contains("/root/groups/0/tenants/1/keys/0/sha256"));
    CHECK(problem_paths(replaced(tree(), sha256_of("secret-1"), sha256_of("secret-0"))).size() == 1);
}

// Validation and lookups of the operator's service document. docs/platform.md.
#include "services_helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

template <typename Spoil>
auto paths_of(Spoil spoil) -> std::set<std::string> {
    auto document = services_document();
    spoil(document);
    std::set<std::string> paths;
    for (auto const& problem : check_document(document)) paths.insert(problem.path);
    return paths;
}
using Paths = std::set<std::string>;

}  // namespace

TEST_CASE("a valid document has no problems") {
    CHECK(check_document(services_document()).empty());
    CHECK(paths_of([](auto& document) { document.version = 0; }) == Paths{"/version"});
    CHECK(paths_of([](auto& document) { document.version = -4; }) == Paths{"/version"});
}

TEST_CASE("problems of invalid routes are reported by path") {
    CHECK(paths_of([](auto& document) {
              document.routes[0].split[1].service = "west";
          }) == Paths{"/routes/0/split/1/service"});
    CHECK(paths_of([](auto& document) {
              document.routes[1].host = "ONE.example";
              document.routes[1].prefix = "/a/";
          }) == Paths{"/routes/1/prefix"});
    CHECK(paths_of([](auto& document) { document.routes[1].prefix = "/a/"; }) == Paths{"/routes/1/prefix"});
    CHECK(paths_of([](auto& document) { document.routes[2].split[1].weight = 0; }) == Paths{"/routes/2/split"});
    CHECK(paths_of([](auto& document) { document.routes[2].split.clear(); }) == Paths{"/routes/2/split"});
    CHECK(
        paths_of([](auto& document) { document.routes[0].split[0].weight = -1; }) == Paths{"/routes/0/split/0/weight"});
    CHECK(paths_of([](auto& document) {
              for (auto& entry : document.routes[0].split) entry.weight = std::numeric_limits<std::int64_t>::max();
          }).contains("/routes/0/split/0/weight"));
    CHECK(paths_of([](auto& document) { document.routes[0].timeout = 0; }) == Paths{"/routes/0/timeout"});
    CHECK(paths_of([](auto& document) { document.routes[0].timeout = -1; }) == Paths{"/routes/0/timeout"});
    for (auto const* prefix : {"", "a/", "/a", "a"})
        CHECK(paths_of([&](auto& document) { document.routes[0].prefix = prefix; }) == Paths{"/routes/0/prefix"});
    CHECK(paths_of([](auto& document) { document.routes[0].host = ""; }) == Paths{"/routes/0/host"});
}

TEST_CASE("names and keys are not empty and unique") {
    CHECK(paths_of([](auto& document) { document.routes[0].name = ""; }) == Paths{"/routes/0/name"});
    CHECK(paths_of([](auto& document) { document.routes[2].name = "whole"; }) == Paths{"/routes/2/name"});
    CHECK(paths_of([](auto& document) { document.services.push_back({"north"}); }) == Paths{"/services/2/name"});
    CHECK(paths_of([](auto& document) { document.services.push_back({""}); }) == Paths{"/services/2/name"});
    CHECK(paths_of([](auto& document) { document.tenants[1].name = "clerks"; }) == Paths{"/tenants/1/name"});
    CHECK(paths_of([](auto& document) { document.tenants[1].name = ""; }) == Paths{"/tenants/1/name"});
    CHECK(paths_of([](auto& document) { document.tenants[1].keys = {"key-two"}; }) == Paths{"/tenants/1/keys/0"});
    CHECK(paths_of([](auto& document) { document.tenants[1].keys = {""}; }) == Paths{"/tenants/1/keys/0"});
    CHECK(paths_of([](auto& document) { document.tenants[1].keys = {"key-three", "key-three"}; }).empty());
    auto document = services_document();
    document.tenants[1].keys = {"key-two"};
    for (auto const& problem : check_document(document)) CHECK(problem.what.find("key-two") == std::string::npos);
}

TEST_CASE("a route is found by host and longest prefix") {
    auto const rules = compile_services(services_document());
    auto const name_at = [&](std::string_view host, std::string_view path) -> std::string {
        auto const* route = rules->route_of(host, path);
        return route == nullptr ? "" : route->name;
    };
    CHECK(name_at("one.example", "/a/x") == "whole");
    CHECK(name_at("ONE.example:8080", "/a/") == "whole");
    CHECK(name_at("one.EXAMPLE", "/a/b/") == "inner");
    CHECK(name_at("one.example", "/a/b/c/d") == "inner");
    CHECK(name_at("one.example", "/a/b") == "whole");
    CHECK(name_at("one.example", "/a") == "");
    CHECK(name_at("one.example", "/A/x") == "");
    CHECK(name_at("one.example", "") == "");
    CHECK(name_at("two.example", "/anything") == "other");
    CHECK(name_at("three.example", "/a/x") == "");
    CHECK(name_at("", "/a/x") == "");
    CHECK(name_at(":80", "/a/x") == "");
    auto bracketed = services_document();
    bracketed.routes[2].host = "[::1]";
    CHECK(compile_services(bracketed)->route_of("[::1]:80", "/") != nullptr);
    CHECK(compile_services(bracketed)->route_of("[::1]", "/") != nullptr);
    CHECK(compile_services(bracketed)->route_of("[::1", "/") == nullptr);
}

TEST_CASE("tenants are found by the key itself only, services by name") {
    auto const rules = compile_services(services_document());
    REQUIRE(rules->tenant_of("key-two") != nullptr);
    CHECK(rules->tenant_of("key-two")->name == "clerks");
    CHECK(rules->tenant_of("key-three")->name == "portal");
    CHECK(rules->tenant_of("key-four") == nullptr);
    CHECK(rules->tenant_of("") == nullptr);
    CHECK(rules->tenant_of(sha256_of("key-two")) == nullptr);
    CHECK_FALSE(rules->tenants_by_key.contains("key-two"));
    REQUIRE(rules->service("south") != nullptr);
    CHECK(rules->service("south")->name == "south");
    CHECK(rules->service("west") == nullptr);
    auto const& route = rules->document.routes[0];
    CHECK(rank_of(route, rules->tenant_of("key-one")) == 1);
    CHECK(rank_of(route, rules->tenant_of("key-three")) == 3);
    CHECK(rank_of(route, nullptr) == 3);
}

TEST_CASE("a split distributes requests by weight, and always sends the same request to the same service") {
    auto const document = services_document();
    auto taken = std::map<std::string, int>();
    for (auto number = std::uint64_t{0}; number < 1'000; ++number) ++taken[choose_service(document.routes[0], number)];
    CHECK(taken == std::map<std::string, int>{{"north", 900}, {"south", 100}});
    CHECK(
        choose_service(document.routes[0], 95) ==
        choose_service(document.routes[0], 95 + 100 * std::uint64_t{1'000'000'000}));
    for (auto number = std::uint64_t{0}; number < 20; ++number)
        CHECK(choose_service(document.routes[2], number) == "south");
    CHECK(choose_service(Route{}, 7).empty());
}

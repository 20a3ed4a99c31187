// Kept prompts and walls that go up, come down and move. docs/design.md section 7.
#include "base/basics.hpp"
#include "helpers.hpp"
#include "request/relayed.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

using Makers = std::map<std::string, std::set<std::string>>;  // what a replica keeps: its key -> who made it

auto document_of(std::vector<ServiceTenant> tenants) -> ServiceDocument {
    auto document = ServiceDocument();
    document.version = 1;
    document.services.emplace_back().name = "llm";
    auto& route = document.routes.emplace_back();
    route.name = route.host = "r";
    route.prefix = "/";
    route.timeout = one_second;
    route.split = {{"llm", 1}};
    document.tenants = std::move(tenants);
    document.keyed = true;
    return document;
}

auto tenant_named(std::string const& name, bool isolated) -> ServiceTenant {
    auto tenant = ServiceTenant();
    tenant.name = name;
    tenant.keys = {"key-" + name};
    tenant.isolated = isolated;
    return tenant;
}

using Services = std::shared_ptr<ServiceRules const>;

auto services_of(std::vector<std::pair<std::string, bool>> const& tenants) -> Services {
    std::vector<ServiceTenant> made;
    for (auto const& [name, isolated] : tenants) made.push_back(tenant_named(name, isolated));
    return compile_services(document_of(made));
}

// Under what a replica keeps the shared part of a tenant's request: by salt, and as the nodes' index has it.
auto kept_under(Services const& rules, std::string const& tenant) -> std::string {
    auto const key = "key-" + tenant;
    auto arrival = RelayArrival();
    arrival.method = "POST";
    arrival.path = "/a";
    arrival.host = "r";
    arrival.identity = "id-1";
    arrival.key = key;
    arrival.prefix = "5c:800,e4:250";
    auto const inference = judge_relayed(rules, arrival).verdict.inference;
    REQUIRE(inference.chain.size() == 2);
    CHECK(inference.chain[0] == part_hash(inference.isolation_domain, "5c"));
    return salt_of(inference.isolation_domain, "1");
}

auto walled(Services const& rules, std::string const& tenant) -> bool {
    auto const* const found = rules->tenant_of("key-" + tenant);
    return found != nullptr && found->isolated;
}

// A request of the tenant finds what is kept, and leaves a part of its own. Whether it used what a wall forbids.
auto breaks_a_wall(Services const& rules, std::string const& tenant, Makers& kept) -> bool {
    auto& makers = kept[kept_under(rules, tenant)];
    auto broken = false;
    for (auto const& maker : makers)
        broken = broken || (maker != tenant && (walled(rules, maker) || walled(rules, tenant)));
    makers.insert(tenant);
    return broken;
}

}  // namespace

// Guards against parts that a tenant left before it became isolated and that others go on using.
TEST_CASE("what a tenant left before it became isolated is found by nobody else, and by itself no more") {
    auto const before = services_of({{"alpha", false}, {"beta", false}, {"gamma", false}});
    auto const after = services_of({{"alpha", true}, {"beta", false}, {"gamma", false}});
    REQUIRE(kept_under(before, "alpha") == kept_under(before, "beta"));
    CHECK(kept_under(after, "beta") != kept_under(before, "beta"));
    CHECK(kept_under(after, "alpha") != kept_under(before, "alpha"));
    CHECK(kept_under(after, "beta") == kept_under(after, "gamma"));  // who is not walled off shares on
    auto const freed = services_of({{"gamma", false}, {"beta", false}, {"alpha", false}});
    CHECK(kept_under(freed, "beta") == kept_under(before, "beta"));  // by the set alone, in whatever order
    auto const unlike = services_of({{"alpha", false}, {"beta", true}, {"gamma", false}});
    CHECK(kept_under(unlike, "gamma") != kept_under(after, "gamma"));
}

TEST_CASE("no name of a tenant makes the text under which others share") {
    auto const shared = kept_under(services_of({{"alpha", true}, {"beta", false}}), "beta");
    auto const text = shared.substr(shared.find('/') + 1);
    for (auto const& name : {text, "tenant:" + text, std::string("~"), std::string("/")}) {
        auto const rules = services_of({{"alpha", true}, {"beta", false}, {name, true}});
        CHECK(kept_under(rules, name) != kept_under(rules, "beta"));
        CHECK(kept_under(rules, name) != shared);
    }
    // Two sets of names that read alike when they are put side by side.
    CHECK(
        kept_under(services_of({{"a", true}, {"bc", true}, {"d", false}}), "d") !=
        kept_under(services_of({{"ab", true}, {"c", true}, {"d", false}}), "d"));
}

TEST_CASE("no request finds a part across a wall, whatever walls change, on nodes of different versions") {
    for (auto seed = std::uint64_t{1}; seed <= 300; ++seed) {
        auto random = Random(seed);
        auto const names = std::vector<std::string>{"alpha", "beta", "gamma", "delta"};
        std::map<std::string, bool> tenants;
        auto versions = std::vector<Services>{services_of({})};
        Makers kept;
        for (auto step = 0; step < 60; ++step) {
            auto const& name = names[random.next() % names.size()];
            auto const action = random.next() % 6;
            if (action == 0) tenants.erase(name);  // removed, perhaps to come again
            if (action == 1) tenants[name] = random.next() % 2 == 0;
            if (action <= 1) versions.push_back(services_of({tenants.begin(), tenants.end()}));
            if (action == 2) kept.clear();  // the replicas were restarted
            auto const behind = std::min<std::size_t>(random.next() % 3, versions.size() - 1);
            auto const& rules = versions[versions.size() - 1 - behind];  // of a node that may lag
            if (rules->tenant_of("key-" + name) == nullptr) continue;
            INFO("seed " << seed << " step " << step << " " << name);
            REQUIRE_FALSE(breaks_a_wall(rules, name, kept));
        }
    }
}

namespace {

struct TreeWalls {
    bool group = false;     // the group has a wall of its own
    bool one = false;       // a tenant in it is isolated
    bool outsider = false;  // a tenant outside of it is
};

auto tree_of(TreeWalls const& walls) -> std::string {
    auto text = replaced(tree(), "\"rank\":7,\"wall\":\"group\"", walls.group ? "\"wall\":\"group\"" : "\"rank\":7");
    text =
        replaced(text, "\"name\":\"north\"", walls.one ? R"("name":"north","wall":"isolated")" : R"("name":"north")");
    auto const portal = std::string(R"("name":"portal","wall":")");
    text = replaced(text, portal + "isolated", portal + (walls.outsider ? "isolated" : "shared"));
    return replaced(text, ",\"models\":[\"small\"]", "");
}

// What the product's own replicas find a prompt by, for each tenant.
auto chain_of(std::string const& configuration, std::string const& tenant) -> std::uint64_t {
    auto const keys =
        std::map<std::string, std::string>{{"north", "secret-0"}, {"south", "secret-1"}, {"citizens", "secret-2"}};
    auto const rules = compile_rules({1, 1}, configuration);
    auto const body = R"({"model":"small","max_tokens":10,"prefix":[{"name":"a","tokens":100}],"tenant":")" + tenant;
    auto const verdict = interpret(*rules, Arrival{"POST", "/v1/generate", keys.at(tenant), body + "\"}", "", 0});
    REQUIRE(verdict.kind == Verdict::Kind::enqueue);
    return verdict.inference.chain.front();
}

auto domain_of(std::string const& configuration, std::string const& tenant) -> std::string {
    for (auto const& item : check_configuration(configuration).tenants)
        if (item.name == tenant) return item.isolation_domain;
    return {};
}

}  // namespace

// The same fault in the product's own tree: shared, then group or isolated.
TEST_CASE("walls of the tree: no part is found across one, whatever walls go up and come down") {
    for (auto seed = std::uint64_t{1}; seed <= 40; ++seed) {
        auto random = Random(seed);
        std::map<std::uint64_t, std::set<std::string>> kept;
        for (auto step = 0; step < 16; ++step) {
            auto const bits = random.next();
            auto const text = tree_of({(bits & 1U) != 0, (bits & 2U) != 0, (bits & 4U) != 0});
            REQUIRE(check_configuration(text).problems.empty());
            for (auto const* tenant : {"north", "south", "citizens"}) {
                INFO("seed " << seed << " step " << step << " " << tenant);
                auto& makers = kept[chain_of(text, tenant)];
                for (auto const& maker : makers) REQUIRE(domain_of(text, maker) == domain_of(text, tenant));
                makers.insert(tenant);
            }
        }
    }
    CHECK(chain_of(tree_of({false, false, false}), "north") == chain_of(tree_of({false, false, false}), "citizens"));
    CHECK(chain_of(tree_of({true, false, true}), "north") == chain_of(tree_of({true, false, false}), "south"));
}

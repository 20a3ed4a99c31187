// Sharing of cached prompts while the isolation of tenants changes. docs/design.md section 7.
#include "base/basics.hpp"
#include "helpers.hpp"
#include "request/relayed.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

using Creators =
    std::map<std::string, std::set<std::string>>;  // a replica's cache: key -> tenants that created entries

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

// The cache key of the shared part of a tenant's request: its salt. Also checks the key in the nodes' index.
auto cache_key_of(Services const& rules, std::string const& tenant) -> std::string {
    auto const key = "key-" + tenant;
    auto arrival = RelayedRequest();
    arrival.method = "POST";
    arrival.path = "/a";
    arrival.host = "r";
    arrival.identity = "id-1";
    arrival.key = key;
    arrival.prefix = "5c:800,e4:250";
    auto const inference = interpret_relayed(rules, arrival).verdict.inference;
    REQUIRE(inference.chain.size() == 2);
    CHECK(inference.chain[0] == part_hash(inference.isolation_domain, "5c"));
    return salt_of(inference.isolation_domain, "1");
}

auto is_isolated(Services const& rules, std::string const& tenant) -> bool {
    auto const* const found = rules->tenant_of("key-" + tenant);
    return found != nullptr && found->isolated;
}

// Runs a request of the tenant, which uses the cache and adds to it. Returns whether it used an entry of another
// tenant although one of the two is isolated.
auto crosses_isolation(Services const& rules, std::string const& tenant, Creators& kept) -> bool {
    auto& creators = kept[cache_key_of(rules, tenant)];
    auto broken = false;
    for (auto const& creator : creators)
        broken = broken || (creator != tenant && (is_isolated(rules, creator) || is_isolated(rules, tenant)));
    creators.insert(tenant);
    return broken;
}

}  // namespace

// Guards against cache entries that a tenant created before it was isolated and that other tenants go on using.
TEST_CASE("cache entries from before a tenant was isolated are no longer found, by others or by itself") {
    auto const before = services_of({{"alpha", false}, {"beta", false}, {"gamma", false}});
    auto const after = services_of({{"alpha", true}, {"beta", false}, {"gamma", false}});
    REQUIRE(cache_key_of(before, "alpha") == cache_key_of(before, "beta"));
    CHECK(cache_key_of(after, "beta") != cache_key_of(before, "beta"));
    CHECK(cache_key_of(after, "alpha") != cache_key_of(before, "alpha"));
    CHECK(cache_key_of(after, "beta") == cache_key_of(after, "gamma"));  // tenants that aren't isolated go on sharing
    auto const freed = services_of({{"gamma", false}, {"beta", false}, {"alpha", false}});
    CHECK(
        cache_key_of(freed, "beta") ==
        cache_key_of(before, "beta"));  // depends on the set of isolated tenants, not on order
    auto const unlike = services_of({{"alpha", false}, {"beta", true}, {"gamma", false}});
    CHECK(cache_key_of(unlike, "gamma") != cache_key_of(after, "gamma"));
}

TEST_CASE("no tenant name yields the scope text of other tenants") {
    auto const shared = cache_key_of(services_of({{"alpha", true}, {"beta", false}}), "beta");
    auto const text = shared.substr(shared.find('/') + 1);
    for (auto const& name : {text, "tenant:" + text, std::string("~"), std::string("/")}) {
        auto const rules = services_of({{"alpha", true}, {"beta", false}, {name, true}});
        CHECK(cache_key_of(rules, name) != cache_key_of(rules, "beta"));
        CHECK(cache_key_of(rules, name) != shared);
    }
    // Two sets of names that are the same text when concatenated.
    CHECK(
        cache_key_of(services_of({{"a", true}, {"bc", true}, {"d", false}}), "d") !=
        cache_key_of(services_of({{"ab", true}, {"c", true}, {"d", false}}), "d"));
}

TEST_CASE("no request uses cache entries across an isolation boundary while it changes and nodes lag behind") {
    for (auto seed = std::uint64_t{1}; seed <= 300; ++seed) {
        auto random = Random(seed);
        auto const names = std::vector<std::string>{"alpha", "beta", "gamma", "delta"};
        std::map<std::string, bool> tenants;
        auto versions = std::vector<Services>{services_of({})};
        Creators kept;
        for (auto step = 0; step < 60; ++step) {
            auto const& name = names[random.next() % names.size()];
            auto const action = random.next() % 6;
            if (action == 0) tenants.erase(name);  // removed; may be added again later
            if (action == 1) tenants[name] = random.next() % 2 == 0;
            if (action <= 1) versions.push_back(services_of({tenants.begin(), tenants.end()}));
            if (action == 2) kept.clear();  // the replicas were restarted
            auto const behind = std::min<std::size_t>(random.next() % 3, versions.size() - 1);
            auto const& rules =
                versions[versions.size() - 1 - behind];  // of a node that may be up to two versions behind
            if (rules->tenant_of("key-" + name) == nullptr) continue;
            INFO("seed " << seed << " step " << step << " " << name);
            REQUIRE_FALSE(crosses_isolation(rules, name, kept));
        }
    }
}

namespace {

struct TreeIsolation {
    bool group = false;     // the group is isolated from the rest
    bool one = false;       // a tenant in the group is isolated
    bool outsider = false;  // a tenant outside of the group is isolated
};

auto tree_of(TreeIsolation const& walls) -> std::string {
    auto text = replaced(tree(), "\"rank\":7,\"wall\":\"group\"", walls.group ? "\"wall\":\"group\"" : "\"rank\":7");
    text =
        replaced(text, "\"name\":\"north\"", walls.one ? R"("name":"north","wall":"isolated")" : R"("name":"north")");
    auto const portal = std::string(R"("name":"portal","wall":")");
    text = replaced(text, portal + "isolated", portal + (walls.outsider ? "isolated" : "shared"));
    return replaced(text, ",\"models\":[\"small\"]", "");
}

// The first prefix chain hash of a tenant's request, by which this project's own replicas look up their cache.
auto chain_of(std::string const& configuration, std::string const& tenant) -> std::uint64_t {
    auto const keys =
        std::map<std::string, std::string>{{"north", "secret-0"}, {"south", "secret-1"}, {"citizens", "secret-2"}};
    auto const rules = compile_rules({1, 1}, configuration);
    auto const body = R"({"model":"small","max_tokens":10,"prefix":[{"name":"a","tokens":100}],"tenant":")" + tenant;
    auto const verdict =
        interpret(*rules, IncomingRequest{"POST", "/v1/generate", keys.at(tenant), body + "\"}", "", 0});
    REQUIRE(verdict.kind == Verdict::Kind::enqueue);
    return verdict.inference.chain.front();
}

auto domain_of(std::string const& configuration, std::string const& tenant) -> std::string {
    for (auto const& item : check_configuration(configuration).tenants)
        if (item.name == tenant) return item.isolation_domain;
    return {};
}

}  // namespace

// The same failure with the configuration tree: shared at first, then isolated as a group or a tenant.
TEST_CASE("isolation in the configuration tree: no cache entry is used across a boundary while it changes") {
    for (auto seed = std::uint64_t{1}; seed <= 40; ++seed) {
        auto random = Random(seed);
        std::map<std::uint64_t, std::set<std::string>> kept;
        for (auto step = 0; step < 16; ++step) {
            auto const bits = random.next();
            auto const text = tree_of({(bits & 1U) != 0, (bits & 2U) != 0, (bits & 4U) != 0});
            REQUIRE(check_configuration(text).problems.empty());
            for (auto const* tenant : {"north", "south", "citizens"}) {
                INFO("seed " << seed << " step " << step << " " << tenant);
                auto& creators = kept[chain_of(text, tenant)];
                for (auto const& creator : creators) REQUIRE(domain_of(text, creator) == domain_of(text, tenant));
                creators.insert(tenant);
            }
        }
    }
    CHECK(chain_of(tree_of({false, false, false}), "north") == chain_of(tree_of({false, false, false}), "citizens"));
    CHECK(chain_of(tree_of({true, false, true}), "north") == chain_of(tree_of({true, false, false}), "south"));
}

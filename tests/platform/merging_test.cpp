// Changes of named items in the platform's documents. docs/platform.md section 3.
#include "document_helpers.hpp"
#include "version/changes.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

auto merged(std::string const& current, std::string const& change) -> std::string {
    Problems problems;
    auto const text = platform::merge_document(current, change, problems);
    INFO(change << json::serialize(write_problems(problems)));
    REQUIRE(text);
    return *text;
}
auto merge_paths(std::string const& current, std::string const& change) -> std::set<std::string> {
    Problems problems;
    INFO(change);
    CHECK_FALSE(platform::merge_document(current, change, problems));
    std::set<std::string> paths;
    for (auto const& problem : problems) paths.insert(problem.path);
    return paths;
}

}  // namespace

TEST_CASE("a change of named items adds, replaces and removes, and leaves the rest as given") {
    CHECK(merged(full_document, R"({"ver":9})") == replaced(full_document, "\"ver\":7", "\"ver\":9"));
    auto const moved = merged(
        full_document, R"({"ver":9,"upsert":{"routes":[{"name":"r-new","pfx":"/n/"},{"name":"r-check","pfx":"/q/"}],
                  "orgs":[{"name":"new","apiKeys":[]}]},"remove":{"routes":["r-old"],"svcs":["shelf-a"]}})");
    auto expected = replaced(full_document, "\"ver\":7", "\"ver\":9");
    auto const from = expected.find("{\"name\":\"r-check\"");
    expected.replace(
        from, expected.find("],\"svcs\"") - from, R"({"name":"r-check","pfx":"/q/"},{"name":"r-new","pfx":"/n/"})");
    auto const store = expected.find(",{\"name\":\"shelf-a\"");
    expected.erase(store, expected.find("],\"caps\"") - store);
    expected.insert(expected.size() - 2, R"(,{"name":"new","apiKeys":[]})");
    CHECK(moved == expected);
    auto const caps = merged(full_document, R"({"ver":9,"caps":{"hdrBytes":5}})");
    CHECK(caps.find("\"caps\":{\"hdrBytes\":5}") != std::string::npos);
    CHECK(caps == merged(full_document, R"({"ver":9,"upsert":{"caps":{"hdrBytes":5}}})"));
    // An item in both lists is replaced; of an item listed twice, the later one counts.
    auto const both = merged(
        full_document,
        R"({"ver":9,"upsert":{"orgs":[{"name":"north","a":1},{"name":"north","a":2}]},"remove":{"orgs":["north"]}})");
    CHECK(both.find(R"("orgs":[{"name":"north","a":2}])") != std::string::npos);
    // Without its last tenant the fleet still requires keys.
    auto const closed = merged(full_document, R"({"ver":9,"remove":{"orgs":["north"]}})");
    CHECK(read_platform(closed).keyed);
    CHECK(read_platform(closed).tenants.empty());
    CHECK_FALSE(read_platform(merged(R"({"ver":1,"routes":[],"svcs":[]})", R"({"ver":2,"upsert":{"orgs":[]}})")).keyed);
    CHECK(read_platform(merged("", R"({"ver":2,"upsert":{"svcs":[{"name":"s"}]}})")).services.size() == 1);
    auto const odd =
        std::string(R"({"ver":1,"routes":[],"svcs":[{"name":"s","x":360000.0,"y":18446744073709551615,"é":"\"\\"}]})");
    CHECK(merged(odd, R"({"ver":2})") == replaced(odd, "\"ver\":1", "\"ver\":2"));
}

TEST_CASE("invalid changes are reported with their path") {
    for (auto const& change :
         {std::string(), std::string("[]"), std::string("{\"ver\":9"), std::string("5"), std::string(1'000'000, '['),
          std::string(R"({"ver":1e999999})")})
        CHECK(merge_paths(full_document, change) == Paths{""});
    auto const deep = std::string(100, '[') + std::string(100, ']');  // valid JSON beyond the depth limit
    CHECK(merge_paths(full_document, R"({"ver":9,"x":)" + deep + "}") == Paths{""});
    CHECK(merge_paths(full_document, "{}") == Paths{"/ver"});
    CHECK(merge_paths(full_document, R"({"ver":9,"routes":[]})") == Paths{"/routes"});
    CHECK(merge_paths(full_document, R"({"ver":9,"upsert":[]})") == Paths{"/upsert"});
    CHECK(merge_paths(full_document, R"({"ver":9,"remove":"r"})") == Paths{"/remove"});
    CHECK(merge_paths(full_document, R"({"ver":9,"upsert":{"roads":[]}})") == Paths{"/upsert/roads"});
    CHECK(merge_paths(full_document, R"({"ver":9,"remove":{"caps":["a"]}})") == Paths{"/remove/caps"});
    CHECK(merge_paths(full_document, R"({"ver":9,"upsert":{"routes":{}}})") == Paths{"/upsert/routes"});
    for (auto const* item : {"{}", "5", "null", R"({"name":""})", R"({"name":5})", "[]"})
        CHECK(
            merge_paths(full_document, std::string(R"({"ver":9,"upsert":{"routes":[)") + item + "]}}") ==
            Paths{"/upsert/routes/0/name"});
    CHECK(merge_paths(full_document, R"({"ver":9,"remove":{"routes":[5]}})") == Paths{"/remove/routes"});
    CHECK(merge_paths(full_document, R"({"ver":9,"caps":5})") == Paths{"/caps"});
    CHECK(merge_paths("nonsense", R"({"ver":9})") == Paths{""});
    Problems problems;
    auto const text =
        platform::merge_document(full_document, R"({"ver":"x","upsert":{"routes":[{"name":"r","host":5}]}})", problems);
    REQUIRE(text);  // field types are checked by read_document
    CHECK(read_paths(*text).contains("/routes/2/host"));
}

TEST_CASE("a merged change passes the product's own checks") {
    auto const form = DocumentFormat{platform::read_document, platform::merge_document};
    Copy current;
    auto const status_of = [&](std::string const& operation, std::string const& base, std::string const& body) {
        auto result = apply_versioned(form, current, Call{0, "", operation, "", body, base});
        if (result.status == 200) current.document = result.document;
        return result.status;
    };
    CHECK(status_of("put", "0", full_document) == 200);
    CHECK(current.document == full_document);
    CHECK(status_of("put", "0", full_document) == 412);
    CHECK(status_of("patch", "7", R"({"ver":9,"remove":{"routes":["r-long"]}})") == 200);
    CHECK(read_platform(current.document).routes.size() == 1);
    CHECK(status_of("patch", "7", R"({"ver":10})") == 412);
    CHECK(status_of("patch", "9", R"({"ver":9})") == 400);
    CHECK(status_of("patch", "9", R"({"ver":10,"remove":{"svcs":["plan-a"]}})") == 400);
    CHECK(
        status_of("patch", "9", R"({"ver":10,"upsert":{"orgs":[{"name":"two","apiKeys":["key-north-one"]}]}})") == 400);
    CHECK(status_of("patch", "9", R"({"ver":10,"upsert":{"orgs":[{"name":"two","apiKeys":["other"]}]}})") == 200);
    CHECK(read_platform(current.document).tenants.size() == 2);
}

// Reading the platform's documents. docs/platform.md section 3.
#include "document_helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

TEST_CASE("a complete platform document is read into the product's structures") {
    auto const document = read_platform(full_document);
    CHECK(check_document(document).empty());
    CHECK(document.version == 7);
    REQUIRE(document.routes.size() == 2);
    auto const& first = document.routes[0];
    CHECK(first.name == "r-long");
    CHECK(first.host == "desk.example");
    CHECK(first.prefix == "/long/");
    CHECK((first.stream && first.resumable && first.repeatable && !first.open));
    CHECK(first.tries == 2);
    CHECK(first.rank == 1);
    CHECK(first.timeout == 8 * one_second);
    CHECK(first.target == 400 * one_millisecond);
    CHECK(first.pause_limit == 250 * one_millisecond);
    REQUIRE(first.split.size() == 2);
    CHECK(first.split[1].service == "plan-a");
    CHECK(first.split[1].weight == 10);
    auto const& second = document.routes[1];
    CHECK((second.stream && !second.resumable && !second.repeatable));
    REQUIRE(second.split.size() == 1);
    CHECK(second.split[0].service == "plan-a");
    CHECK(second.split[0].weight == 1);
    REQUIRE(document.services.size() == 2);
    auto const& service = document.services[0];
    CHECK(service.health_path == "/health");
    CHECK(service.connections == 630);
    CHECK(service.capacity == 128);
    CHECK(service.memory == 300'000);
    CHECK(service.token_bytes == 18'432);
    CHECK(service.link_megabits == 360'000.0);
    CHECK(service.event_calls == 12);
    CHECK(service.models == std::vector<std::string>{"model-a"});
    CHECK(service.store_address.empty());
    auto const& store = document.services[1];
    CHECK(store.store_address == "10.9.0.2:8700");
    CHECK(store.zone == "harbour");
    CHECK(store.memory == 5'000'000);
    CHECK(store.link_megabits == 140'000.0);
    CHECK(store.event_calls == 12);
    CHECK(document.limits.header_bytes == 16'384);
    CHECK(document.limits.body_bytes == 4'194'304);
    CHECK(document.limits.header_time == 3 * one_second);
    CHECK(document.limits.idle_time == 15 * one_second);
    REQUIRE(document.tenants.size() == 1);
    CHECK(document.keyed);
    CHECK(document.tenants[0].keys.size() == 2);
    CHECK(document.tenants[0].rank == 1);
    CHECK((document.tenants[0].ranked && document.tenants[0].isolated));
}

TEST_CASE("route types, absent fields and unknown fields") {
    auto const route_of = [](std::string const& fields) {
        return read_platform(
                   R"({"ver":1,"svcs":[],"routes":[{"name":"r","host":"h","pfx":"/","svc":"s","timeoutMs":1,)" +
                   fields + "}]}")
            .routes.front();
    };
    CHECK(route_of(R"("type":"idem")").repeatable);
    CHECK_FALSE(route_of(R"("type":"mutating")").repeatable);
    CHECK_FALSE(route_of(R"("type":"mutating","resume":true)").repeatable);
    CHECK_FALSE(route_of(R"("type":"mutating","resume":true)").resumable);
    CHECK_FALSE(route_of(R"("type":"idem","resume":true)").resumable);
    CHECK(route_of(R"("type":"stream","resume":true)").repeatable);
    CHECK_FALSE(route_of(R"("type":"stream")").repeatable);
    CHECK(route_of(R"("type":"idem","public":true)").open);
    auto const bare = route_of(R"("type":"idem","prio":null,"split":null,"colour":{"deep":[1]})");
    CHECK((bare.rank == 0 && bare.tries == 1 && bare.pause_limit == 0 && bare.split.size() == 1));
    CHECK(route_of(R"("type":"idem","prio":2.0)").rank == 2);
    auto const document = read_platform(R"({"ver":1,"svcs":[{"name":"s"}],"routes":[]})");
    CHECK_FALSE(document.keyed);
    CHECK((document.services[0].connections == 100 && document.services[0].capacity == 1));
    CHECK(document.limits.body_bytes == 4'194'304);
    CHECK_FALSE(read_platform(R"({"ver":1,"svcs":[],"routes":[],"orgs":null})").keyed);
    auto const tenants = read_platform(R"({"ver":1,"svcs":[],"routes":[],"orgs":[{"name":"t","apiKeys":["k"]}]})");
    CHECK((tenants.keyed && !tenants.tenants[0].ranked && !tenants.tenants[0].isolated));
    CHECK(read_platform(R"({"ver":1,"svcs":[],"routes":[],"orgs":[]})").keyed);
}

TEST_CASE("no truncated document is accepted, and invalid values do not crash the reader") {
    for (auto length = std::size_t{0}; length < full_document.size(); ++length) {
        Problems problems;
        REQUIRE_FALSE(platform::read_document(full_document.substr(0, length), problems));
        REQUIRE_FALSE(problems.empty());
    }
    for (auto const& text :
         {std::string("[]"), std::string("5"), std::string("null"), full_document + "x", full_document + full_document,
          std::string(1'000'000, '['), std::string("{\"ver\":\xff}"), std::string("\0", 1)})
        CHECK(read_paths(text) == Paths{""});
    auto deep = std::string();
    for (auto depth = 0; depth < 100'000; ++depth) deep += "{\"routes\":";
    CHECK(read_paths(deep) == Paths{""});
    CHECK(read_paths("{}") == Paths{"/ver", "/routes", "/svcs"});
    // Sets each field to each wrong kind of value: reported or ignored, never a crash.
    auto const values = {"null", "true", "-1", "0.5",  "1e999",  "-1e308", "99999999999999999999",
                         "\"\"", "[]",   "{}", "[[]]", "[null]", "[{}]",   "{\"name\":5}"};
    for (auto place = full_document.find("\":"); place != std::string::npos;
         place = full_document.find("\":", place + 1))
        for (auto const* value : values) {
            auto depth = 0;
            auto end = place + 2;
            for (; end < full_document.size(); ++end) {
                if (full_document[end] == '[' || full_document[end] == '{') ++depth;
                if (depth == 0 && (full_document[end] == ',' || full_document[end] == '}')) break;
                if (full_document[end] == ']' || full_document[end] == '}') --depth;
            }
            Problems problems;
            auto const document = platform::read_document(
                full_document.substr(0, place + 2) + value + full_document.substr(end), problems);
            REQUIRE(document.has_value() == problems.empty());
            if (document) check_document(*document);
        }
}

TEST_CASE("wrong types, missing fields and numbers out of range are reported with their path") {
    auto const told = [](std::string const& what, std::string const& with, std::string const& path) {
        INFO(with);
        CHECK(read_paths(replaced(full_document, what, with)) == Paths{path});
    };
    told("\"ver\":7", "\"ver\":\"7\"", "/ver");
    told("\"ver\":7", "\"ver\":7.5", "/ver");
    told("\"ver\":7", "\"ver\":-7", "/ver");
    told("\"ver\":7", "\"ver\":99999999999999999999", "/ver");
    told("\"ver\":7", "\"ver\":1e17", "/ver");  // doubles are exact integers only up to 2^53
    told("\"ver\":7", "\"ver\":1e30", "/ver");
    told("\"name\":\"r-long\",", "", "/routes/0/name");
    told("\"type\":\"stream\"", "\"type\":\"river\"", "/routes/0/type");
    told("\"type\":\"stream\"", "\"type\":4", "/routes/0/type");
    told("\"type\":\"stream\",", "", "/routes/0/type");
    told("\"timeoutMs\":8000,", "", "/routes/0/timeoutMs");
    told("\"timeoutMs\":8000", "\"timeoutMs\":9223372036854775807", "/routes/0/timeoutMs");
    told("\"timeoutMs\":8000", "\"timeoutMs\":true", "/routes/0/timeoutMs");
    told("\"svc\":\"plan-a\",\"tries\"", "\"tries\"", "/routes/1/svc");
    told(",\"wt\":90", "", "/routes/0/split/0/wt");
    told("\"wt\":90", "\"wt\":-90", "/routes/0/split/0/wt");
    told("{\"svc\":\"plan-a\",\"wt\":90}", "5", "/routes/0/split/0");
    told("\"public\":false", "\"public\":0", "/routes/0/public");
    told("\"resume\":true", "\"resume\":\"yes\"", "/routes/0/resume");
    told("\"slots\":128", "\"slots\":[128]", "/svcs/0/backend/slots");
    told("\"netMbps\":360000.0", "\"netMbps\":\"fast\"", "/svcs/0/backend/netMbps");
    told("{\"name\":\"model-a\"}", "\"model-a\"", "/svcs/0/backend/models/0");
    told("\"idleMs\":15000", "\"idleMs\":\"long\"", "/caps/idleMs");
    told("\"key-north-two\"", "5", "/orgs/0/apiKeys/1");
    told("\"isolated\":true", "\"isolated\":1", "/orgs/0/isolated");
}

TEST_CASE("a model version is read from the platform's request body") {
    auto const named = platform::read_weights_named(R"({"model":"model-a","ver":2,"note":null})");
    REQUIRE(named);
    CHECK(named->model == "model-a");
    CHECK(named->version == 2);
    for (auto const* body :
         {"", "{", "[]", "{}", R"({"model":"m"})", R"({"ver":2})", R"({"model":"","ver":2})",
          R"({"model":"m","ver":0})", R"({"model":"m","ver":-1})", R"({"model":"m","ver":"2"})",
          R"({"model":5,"ver":2})", R"({"model":"m","ver":2.5})", R"({"model":"m","ver":1e40})"})
        CHECK_FALSE(platform::read_weights_named(body));
}

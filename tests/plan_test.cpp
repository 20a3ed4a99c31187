#include "helpers.hpp"
#include "sequence/plan.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {
auto names(json::object const& plan, char const* subject) -> std::set<std::string> {
    std::set<std::string> result;
    for (auto const& item : plan.at(subject).as_array())
        result.insert(
            std::string(item.as_object().at("name").as_string()) + " " +
            std::string(item.as_object().at("move").as_string()));
    return result;
}
auto plan_for(std::string const& proposed) -> json::object {
    return plan_change(
        check_configuration(tree()), check_configuration(proposed),
        {{"service-0", "a", {"b"}}, {"service-1", "c", {"d"}}, {"service-2", "e", {"f"}}});
}
}  // namespace

TEST_CASE("a plan lists everything that a change near the root affects, and nothing else") {
    auto const plan = plan_for(replaced(tree(), "\"rank\":2", "\"rank\":5"));
    CHECK(names(plan, "tenants") == std::set<std::string>{"/root/portal/citizens changed"});
    CHECK(names(plan, "keys").empty());
    CHECK(names(plan, "walls").empty());
    CHECK(plan_text(plan).find("from {\"rank\":2} to {\"rank\":5}") != std::string::npos);
    CHECK(plan_text(plan_for(tree())) == "nothing would move\n");
}

TEST_CASE("a plan lists keys, isolation, mappings, partitions and their nodes") {
    auto text = replaced(tree(), "\"wall\":\"group\"", "\"wall\":\"isolated\"");
    text = replaced(text, sha256_of("secret-1"), sha256_of("fresh"));
    text = replaced(
        text, "{\"path\":\"/application/\",\"to\":\"application\"}", "{\"path\":\"/other/\",\"to\":\"application\"}");
    text = replaced(
        text, "{\"name\":\"large\",\"weights\":\"w1\"},",
        "{\"name\":\"large\",\"weights\":\"w1\"},{\"name\":\"third\",\"weights\":\"t1\"},");
    auto const plan = plan_for(text);
    CHECK(names(plan, "walls") == std::set<std::string>{"/root/clerks/north changed", "/root/clerks/south changed"});
    CHECK(names(plan, "keys") == std::set<std::string>{"/root/clerks/south#k1 changed"});
    CHECK(names(plan, "mappings") == std::set<std::string>{"/application/ removed", "/other/ added"});
    CHECK(names(plan, "partitions") == std::set<std::string>{"third added"});
    CHECK(plan.at("partitions").as_array()[0].as_object().at("to").as_object().contains("pair"));
}

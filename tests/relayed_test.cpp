// Relayed requests: admission, prefix cache names, the head for the replica, and streams. docs/platform.md 4, 5, 8.
#include <catch2/catch.hpp>

#include "connection/relay_session.hpp"
#include "relay_form.hpp"

using namespace dockrock;

namespace {

auto rules_for_tests() -> std::shared_ptr<ServiceRules const> {
    ServiceDocument document;
    document.version = 3;
    document.keyed = true;
    document.services = {Service{}};
    document.services[0].name = "plan";
    Route once;
    once.name = "once";
    once.host = "a.example";
    once.prefix = "/x/";
    once.stream = true;
    once.timeout = 4 * one_second;
    once.rank = 2;
    once.split = {{"plan", 1}};
    auto again = once;
    again.name = "again";
    again.prefix = "/x/again/";
    again.repeatable = again.resumable = true;
    again.tries = 2;
    auto open = once;
    open.name = "open";
    open.prefix = "/open/";
    open.open = true;
    document.routes = {once, again, open};
    ServiceTenant shared{"one", {"key-one"}};
    shared.rank = 1;
    ServiceTenant walled{"two", {"key-two"}};
    walled.isolated = true;
    document.tenants = {shared, walled};
    return compile_services(document);
}

auto arrival(std::string_view path, std::string_view key) -> RelayedRequest {
    RelayedRequest arrival;
    arrival.method = "POST";
    arrival.path = path;
    arrival.host = "A.example:8080";
    arrival.identity = "id-1";
    arrival.key = key;
    arrival.deadline = "3000";
    arrival.tokens = "1460,80";
    arrival.prefix = "5c:800, 91:410,e4:250";
    arrival.now = 10 * one_second;
    return arrival;
}

}  // namespace

TEST_CASE("a relayed request is admitted by route and key") {
    auto const rules = rules_for_tests();
    CHECK(interpret_relayed(nullptr, arrival("/x/1", "key-one")).verdict.status == 503);
    CHECK(interpret_relayed(rules, arrival("/y/1", "key-one")).verdict.status == 404);
    CHECK(interpret_relayed(rules, arrival("/x/1", "")).verdict.status == 401);
    CHECK(interpret_relayed(rules, arrival("/x/1", "key-thre")).verdict.status == 401);
    CHECK(interpret_relayed(rules, arrival("/open/1", "")).verdict.kind == Verdict::Kind::enqueue);
    auto nameless = arrival("/x/1", "key-one");
    nameless.identity = "";
    CHECK(interpret_relayed(rules, nameless).verdict.status == 400);
    auto const judged = interpret_relayed(rules, arrival("/x/again/1", "key-two"));
    REQUIRE(judged.verdict.kind == Verdict::Kind::enqueue);
    CHECK(judged.route->name == "again");
    auto const& inference = judged.verdict.inference;
    CHECK_FALSE(inference.body.run_once);
    CHECK(inference.deadline == 13 * one_second);  // the client's timeout, shorter than the route's
    CHECK(inference.body.prefix.size() == 3);
    CHECK(inference.prefix_tokens == 1'460);
    CHECK(inference.body.max_tokens == 80);
    CHECK(inference.isolation_domain == "tenant:two");
    CHECK(interpret_relayed(rules, arrival("/x/1", "key-one")).verdict.inference.body.run_once);
}

TEST_CASE("invalid optional values in a head do not stop a relayed request") {
    auto const rules = rules_for_tests();
    auto odd = arrival("/x/1", "key-one");
    odd.deadline = "-3";
    odd.tokens = "99999999999999999999,x";
    odd.prefix = "a:1,:5,b:x,c:7";
    auto const inference = interpret_relayed(rules, odd).verdict.inference;
    CHECK(inference.deadline == 14 * one_second);
    CHECK(inference.body.prefix.size() == 1);  // nothing after an invalid part is used
    CHECK(inference.body.max_tokens == 1);
}

TEST_CASE("the salt depends on isolation and weights, and affinity neither on the last part nor on the key") {
    CHECK(salt_of("two", "7") != salt_of("", "7"));
    CHECK(salt_of("", "7") != salt_of("", "8"));
    CHECK(read_salt(salt_of("two", "7")) == std::pair(std::string("two"), std::string("7")));
    CHECK_FALSE(read_salt("foreign"));
    auto const rules = rules_for_tests();
    auto first = arrival("/x/1", "key-one");
    auto second = first;
    second.prefix = "5c:800,91:410,ff:999";
    auto const one = interpret_relayed(rules, first).verdict.inference;
    auto const other = interpret_relayed(rules, second).verdict.inference;
    CHECK(one.affinity == other.affinity);
    CHECK(one.chain[1] == other.chain[1]);
    CHECK(one.chain[2] != other.chain[2]);
    auto const walled = interpret_relayed(rules, arrival("/x/1", "key-two")).verdict.inference;
    CHECK(walled.chain[0] != one.chain[0]);
}

TEST_CASE("the head for a replica has no client value in a header that the fleet sets") {
    auto const protocol = testing::relay_form();
    auto request = HttpRequest(http::verb::post, "/x/1?q=%20", 11);
    request.set(http::field::host, "a.example");
    request.set("Request-Name", "id-1");
    request.set("Secret", "key-one");
    request.set("group", "forged");
    request.set("Life", "forged");
    request.set("salt", "forged");
    request.set(http::field::connection, "keep-alive, X-Hop");
    request.set("X-Hop", "dropped");
    request.set("X-Kept", "kept");
    request.body() = "body";
    auto const judged = interpret_relayed(rules_for_tests(), arrival("/x/1", "key-one"));
    RequestLifecycle lifecycle;
    lifecycle.inference = judged.verdict.inference;
    lifecycle.placement.replica = "life-1";
    lifecycle.placement.weights = "4";
    auto const head = head_for_replica(protocol, request, judged, lifecycle, 12, 2 * one_second);
    CHECK(head.starts_with("POST /x/1?q=%20 HTTP/1.1\r\n"));
    CHECK(head.find("forged") == std::string::npos);
    CHECK(head.find("key-one") == std::string::npos);
    CHECK(head.find("dropped") == std::string::npos);
    for (auto const& line : std::vector<std::string>{
             "Request-Name: id-1\r\n", "Group: one\r\n", "Left: 2000\r\n", "Life: life-1\r\n", "Weights: 4\r\n",
             "Salt: 4/" + judged.rules->shared_scope + "\r\n", "After: 12\r\n", "X-Kept: kept\r\n",
             "Content-Length: 4\r\n", "Haste: 5\r\n"})
        CHECK(head.find(line) != std::string::npos);
    CHECK(head.ends_with("\r\n\r\n"));
}

TEST_CASE("events are passed on whole and in order, and a resumed stream continues after the last one") {
    EventReader reader;
    CHECK(reader.take("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(reader.last == 1);
    CHECK(reader.take("ta: b\n") == "");
    CHECK(reader.take("\n") == "id: 2\ndata: b\n\n");
    CHECK(reader.take("id: 3\ndata: cut") == "");
    reader.restart();  // another replica resumes, and repeats one event
    CHECK(reader.take("id: 2\ndata: b\n\nid: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
    CHECK(reader.last == 3);
    EventReader lines;
    CHECK(lines.take("id:5\r\ndata: x\r\n\r\n: note\n\n") == "id:5\r\ndata: x\r\n\r\n: note\n\n");
    CHECK(lines.last == 5);
}

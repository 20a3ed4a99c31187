#include <catch2/catch.hpp>

#include "platform/calls.hpp"

using namespace dockrock;
namespace calls = dockrock::platform;

namespace {

auto const list_body =
    std::string(R"({"replicas":[{"svc":"plan-a","addr":"10.128.0.9:8080","zone":"hill","ver":"v1","slots":128,)"
                R"("state":"ready","coldLeftMs":0,"phase":"both","models":[{"name":"model-a","ver":1,"loras":[]}],)"
                R"("id":"i-life-one"}],"nextToken":"p-50"})");
auto const report_body =
    std::string(R"({"phase":"both","models":[{"name":"model-a","ver":1,"loras":[]}],"busy":false,"seq":2,"queued":1,)"
                R"("active":12,"kvUse":41000,"kvCap":90000,"can":0})");
auto const events_body =
    std::string(R"({"bootId":77120,"nextToken":120,"dropped":false,"events":[[119,"+","s1","aa01",800,"model-a"],)"
                R"([120,"-","s1","aa02",128,"model-a"]]})");
auto const kept_body = std::string(R"({"bootId":77120,"nextToken":120,"pinned":[["s1","aa01",800,"model-a"]]})");

auto page_of(std::string const& entries) -> std::optional<ListPage> {
    return calls::read_list_page(R"({"replicas":[)" + entries + R"(],"nextToken":null})");
}

template <typename Read>
auto cut_bodies_are_unreadable(std::string const& body, Read read) -> void {
    REQUIRE(read(body).has_value());
    for (auto length = std::size_t{0}; length < body.size(); ++length) CHECK_FALSE(read(body.substr(0, length)));
}

}  // namespace

TEST_CASE("a page of the replica list is read") {
    auto const page = calls::read_list_page(list_body);
    REQUIRE(page);
    CHECK(page->next == "p-50");
    REQUIRE(page->replicas.size() == 1);
    auto const& entry = page->replicas[0];
    CHECK(entry.name == "i-life-one");
    CHECK(entry.address == "10.128.0.9:8080");
    CHECK(entry.model == "plan-a");
    CHECK(entry.area == "hill");
    CHECK(entry.capacity == 128);
    CHECK_FALSE(entry.drain);
    CHECK(entry.weights == std::map<std::string, std::int64_t>{{"model-a", 1}});
    CHECK(calls::list_call("").target == "/replicas");
    CHECK(calls::list_call("p-50/&").target == "/replicas?pageToken=p-50%2F%26");
}

TEST_CASE("only a list entry with an unusable name or address is skipped") {
    auto const page =
        page_of(R"({"id":"a","addr":"10.0.0.1:80","state":"drain"},)"
                R"({"id":"","addr":"10.0.0.1:80"},{"addr":"10.0.0.1:80"},{"id":7,"addr":"10.0.0.1:80"},)"
                R"({"id":"b\r\nX: 1","addr":"10.0.0.1:80"},{"id":"c","addr":"nowhere"},{"id":"d"},7,null,[],)"
                R"({"id":"e","addr":"10.0.0.2:80","slots":-4,"zone":3,"svc":null,"models":"none","state":5,"more":{}},)"
                R"({"id":"f","addr":"10.0.0.3:80","slots":99999999999999999999,"models":[3,{"name":"m"},{"ver":2},)"
                R"({"name":"n","ver":18446744073709551615},{"name":"o","ver":-1},{"name":"p","ver":7}]})");
    REQUIRE(page);
    REQUIRE(page->replicas.size() == 3);
    CHECK(page->replicas[0].drain);
    CHECK(page->replicas[0].weights.empty());
    CHECK(page->replicas[1].name == "e");
    CHECK(page->replicas[1].capacity == 1);
    CHECK(page->replicas[1].area.empty());
    CHECK_FALSE(page->replicas[1].drain);
    CHECK(page->replicas[2].capacity == 1);
    CHECK(page->replicas[2].weights == std::map<std::string, std::int64_t>{{"p", 7}});
}

TEST_CASE("a page in another format is rejected") {
    cut_bodies_are_unreadable(list_body, calls::read_list_page);
    for (auto const* body :
         {"", "[]", "7", "null", "{}", R"({"replicas":{}})", R"({"replicas":null})", R"({"replicas":[],"nextToken":7})",
          R"({"replicas":[]} more)"})
        CHECK_FALSE(calls::read_list_page(body));
    CHECK(calls::read_list_page(R"({"replicas":[]})"));
    CHECK_FALSE(calls::read_list_page(std::string(100'000, '[')));
}

TEST_CASE("a report is read, and one without its required fields is rejected") {
    auto const report = calls::read_report(report_body);
    REQUIRE(report);
    CHECK(report->versions.at("model-a") == 1);
    CHECK_FALSE(report->busy);
    CHECK(report->orders == 2);
    CHECK(report->waiting == 1);
    CHECK(report->running == 12);
    CHECK(report->memory_used == 41'000);
    CHECK(report->memory == 90'000);
    cut_bodies_are_unreadable(report_body, calls::read_report);
    CHECK_FALSE(calls::read_report(R"({"busy":false,"seq":2})"));
    CHECK_FALSE(calls::read_report(R"({"models":[],"seq":2})"));
    CHECK_FALSE(calls::read_report(R"({"models":[],"busy":true})"));
    CHECK_FALSE(calls::read_report(R"({"models":[],"busy":1,"seq":2})"));
    CHECK_FALSE(calls::read_report(R"({"models":[],"busy":true,"seq":-1})"));
    CHECK_FALSE(calls::read_report(R"({"models":[],"busy":true,"seq":99999999999999999999})"));
    auto const bare = calls::read_report(R"({"models":[],"busy":true,"seq":18446744073709551615,"kvUse":1e300})");
    REQUIRE(bare);
    CHECK(bare->orders == std::numeric_limits<std::uint64_t>::max());
    CHECK(bare->memory_used == 0);
}

TEST_CASE("an order has model, version, holder, fencing token and the replica instance it is for") {
    auto order = WeightsOrder{"model-a", 2, "node-7", 41, std::nullopt, "i-life-one"};
    auto const call = calls::order_call(order);
    CHECK(call.method == http::verb::post);
    CHECK(call.target == "/-/order");
    CHECK(call.content_type == "application/json");
    CHECK(
        parse_json(call.body) ==
        parse_json(R"({"op":"ver","model":"model-a","ver":2,"mode":"queue","holder":"node-7","fence":41})"));
    REQUIRE(call.headers.size() == 1);
    CHECK(call.headers[0] == std::pair<std::string, std::string>("Want-Replica", "i-life-one"));
    order.orders = 0;
    CHECK(parse_json(calls::order_call(order).body)->as_object().at("expect") == 0);
    CHECK(calls::report_call().target == "/-/report");
}

TEST_CASE("prefix cache events and lists are read, and an invalid event is a gap") {
    auto const events = calls::read_events(events_body);
    REQUIRE(events);
    CHECK(events->life == "77120");
    CHECK(events->next == 120);
    CHECK_FALSE(events->gap);
    REQUIRE(events->events.size() == 2);
    CHECK(events->events[0].cached);
    CHECK(events->events[0].number == 119);
    CHECK(events->events[0].salt == "s1");
    CHECK(events->events[0].part == "aa01");
    CHECK(events->events[0].tokens == 800);
    CHECK(events->events[0].model == "model-a");
    CHECK_FALSE(events->events[1].cached);
    CHECK(events->events[1].tokens == 128);
    cut_bodies_are_unreadable(events_body, calls::read_events);
    auto const odd = calls::read_events(
        R"({"bootId":"b","nextToken":9,"dropped":false,"events":[[1,"+",null,"aa",5,"m"],[2,"?","s","aa",5,"m"],)"
        R"([3,"+","s","aa",-5,"m"],[4,"+","s"],7,[],[99999999999999999999,"+","s","aa",5,"m"]]})");
    REQUIRE(odd);
    CHECK(odd->gap);
    REQUIRE(odd->events.size() == 1);
    CHECK(odd->events[0].salt.empty());
    CHECK_FALSE(calls::read_events(R"({"nextToken":9,"dropped":false,"events":[]})"));
    CHECK_FALSE(calls::read_events(R"({"bootId":1,"dropped":false,"events":[]})"));
    CHECK_FALSE(calls::read_events(R"({"bootId":1,"nextToken":9,"dropped":false})"));
    CHECK(calls::read_events(R"({"bootId":1,"nextToken":9,"events":[]})")->gap);
    auto const call = calls::events_call(118, 5 * one_second);
    CHECK(call.target == "/-/kv-events?started=118");
    CHECK(call.headers[0] == std::pair<std::string, std::string>("Wait-Ms", "1000"));
    CHECK(calls::events_call(0, 0).headers.empty());

    auto const cached = calls::read_cache(kept_body);
    REQUIRE(cached);
    CHECK(cached->next == 120);
    REQUIRE(cached->events.size() == 1);
    CHECK(cached->events[0].cached);
    CHECK(cached->events[0].part == "aa01");
    CHECK(cached->events[0].tokens == 800);
    cut_bodies_are_unreadable(kept_body, calls::read_cache);
    CHECK(calls::cache_call().target == "/-/kv-list");
}

// What a client receives when its request has not run and never will. docs/requests.md; docs/users-rules.md, REFUSED.
#include <catch2/catch.hpp>

#include "session_wire.hpp"

using namespace dockrock;
using namespace dockrock::testing;

TEST_CASE("every refusal has a Retry-After, and the client's connection stays usable") {
    struct Case {
        char const* what;
        std::function<void(Node&)> change;
        bool turned_away;
    };
    auto const no_rules = [](Node& node) {
        auto fresh = std::make_shared<Snapshot>(*node.snapshot.load());
        fresh->rules = std::make_shared<Rules>();
        node.snapshot = fresh;
        node.started_at = clock_now() - 60 * one_second;
    };
    auto const loading = [](Node& node) { node.table.scheduler.load_table.take_weights("life-1", "", true); };
    auto const no_replica = [](Node& node) {
        auto fresh = std::make_shared<Snapshot>(*node.snapshot.load());
        fresh->list.replicas.clear();
        node.snapshot = fresh;
        node.table.scheduler.load_table.take_list(fresh->list);
    };
    for (auto const& item : std::vector<Case>{
             {"no configuration", no_rules, false},
             {"no place", loading, false},
             {"no replica", no_replica, false},
             {"a node that stops", [](Node& node) { node.admission_ends = 1; }, false},
             {"turned away by the replica", [](Node&) {}, true}}) {
        INFO(item.what);
        auto requests = 0;
        auto const away = answer_text("one", "busy", "503 No", "Stamp: s\r\nUntouched: 1\r\nRetry-After: 77\r\n");
        auto session = SessionWire(
            item.turned_away ? saying(away, false, false) : answering(requests),
            Kind{.timeout = 400 * one_millisecond});
        item.change(*session.wire.node);
        session.say(post("one"));
        REQUIRE(session.hear("503 Service Unavailable"));
        session.run_for(20 * one_millisecond);
        session.listen();
        CHECK(session.answers("Retry-After: 0.3\r\n") == 1);
        CHECK(session.answers("Retry-After: ") == 1);
        CHECK(session.answers("Request-Name: one\r\n") == 1);
        CHECK(session.answers("Stamp: ") == 0);
        CHECK(requests == 0);
        CHECK_FALSE(session.session_over);
    }
}

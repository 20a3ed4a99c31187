// Each rule's check on a record made by hand: held where all is well, broken
// by a fault planted for it, and by that alone.
#include <catch2/catch.hpp>

#include "stand_in_story.hpp"

using namespace dockrock::platform_stand_in;
using namespace dockrock::platform_stand_in::testing;

namespace {
using Names = std::set<std::string>;

// A tenant becomes isolated, and one of its requests uses what another left.
auto wall_goes_up(Story& story, Milliseconds acknowledged_at) -> void {
    story.record.changes[0].configuration.tenants[0].isolated = false;
    story.record.changes[0].sent = story.record.changes[0].answered = -20'000;
    story.record.changes.push_back(acknowledged(2, "s1", "k1", acknowledged_at));
    story.record.runs[0].used[0].tenant = "t2";
    story.record.reads.clear();
}

struct Planted {
    std::string_view rule, what;
    void (*plant)(Story&);
};
constexpr auto planted = std::array{
    Planted{"MIXED", "no seal", [](Story& story) { story.single().seal.clear(); }},
    Planted{"MIXED", "a shorter body", [](Story& story) { story.single().body = "bod"; }},
    Planted{"MIXED", "another's answer", [](Story& story) { story.single().echoed = "q1"; }},
    Planted{"MIXED", "another's seal", [](Story& story) { story.single().seal = seal_of_body("i1-1", 200, "body"); }},
    Planted{"MIXED", "the replica failed", [](Story& story) { story.record.runs[1].status = 500; }},
    Planted{"MIXED", "extra bytes", [](Story& story) { story.stream().extra = true; }},
    Planted{"MIXED", "no answer in the protocol", [](Story& story) { story.stream().malformed = true; }},
    Planted{"MIXED", "an encoding", [](Story& story) { story.stream().encoding = "gzip"; }},
    Planted{"MIXED", "an event of nobody", [](Story& story) { story.stream().body += "id: 5\ndata: x\n\n"; }},
    Planted{
        "ORDER", "an event twice",
        [](Story& story) { story.stream().body = stream_body("i1-1", 1, 2, 4) + stream_body("i1-1", 2, 4, 4); }},
    Planted{
        "ORDER", "two runs joined",
        [](Story& story) {
            auto run = story.record.runs[0];
            run.name = "i2-1";
            run.last_event = 1;  // asked to go on elsewhere
            story.record.runs.push_back(run);
            story.stream().body = stream_body("i1-1", 1, 2, 4) + stream_body("i2-1", 3, 4, 4);
        }},
    Planted{
        "UNASKED", "never sent",
        [](Story& story) {
            auto run = story.record.runs[0];
            run.identity = "q9";
            run.name = "i1-9";
            story.record.runs.push_back(run);
        }},
    Planted{
        "UNASKED", "another request in place of a body",
        [](Story& story) {
            story.record.early.push_back({"q2", "i1", 8, true});
        }},
    Planted{"UNASKED", "the body changed", [](Story& story) { story.record.runs[0].body = 8; }},
    Planted{"UNASKED", "the path changed", [](Story& story) { story.record.runs[0].target = "/a/y"; }},
    Planted{"UNASKED", "the key handed on", [](Story& story) { story.record.runs[0].key_seen = true; }},
    Planted{
        "TWICE", "a second run",
        [](Story& story) {
            auto run = story.record.runs[1];
            run.name = "i1-3";
            story.record.runs.push_back(run);
        }},
    Planted{"REFUSED", "a promise and a run", [](Story& story) { story.single().status = 503; }},
    Planted{"ROUTE", "a service of no route", [](Story& story) { story.record.runs[0].service = "s9"; }},
    Planted{
        "ROUTE", "a key of nobody",
        [](Story& story) {
            story.record.sent[0].key = "k9";
            story.record.sent[0].host = "h.example";
            story.record.changes[0].configuration.tenants[0].keys = {"k1"};
        }},
    Planted{"STALE", "memory of older weights", [](Story& story) { story.record.runs[0].used[0].version = 0; }},
    Planted{"WALL", "memory of another", [](Story& story) { story.record.runs[0].used[0].tenant = "t2"; }},
    Planted{"WALL", "memory of another from before a wall", [](Story& story) { wall_goes_up(story, -9000); }},
    Planted{
        "VERSION", "older weights",
        [](Story& story) {
            story.record.versions.push_back({"m", 2, -20'000});
        }},
    Planted{"DRAIN", "a replica long gone", [](Story& story) { story.record.leaving[0].shown = -5000; }},
    Planted{
        "ONE", "two holders of a fence",
        [](Story& story) {
            story.record.orders.push_back({"i1", "n2", 4, 412, 901});
        }},
    Planted{
        "ONE", "a lower fence",
        [](Story& story) {
            story.record.orders.push_back({"i1", "n1", 3, 202, 901});
        }},
    Planted{
        "ONE", "turns within the lease",
        [](Story& story) {
            story.record.orders.push_back({"i1", "n2", 5, 202, 901});
        }},
    Planted{
        "BUDGET", "too many further arrivals",
        [](Story& story) {
            for (auto count = 0; count < 70; ++count) story.record.arrivals.push_back({"q1", "i1", "s1", 1011, 503});
        }},
    Planted{
        "CONFIG", "an older route",
        [](Story& story) {
            story.record.changes.push_back(acknowledged(2, "s2", "k1", -9000));
            story.record.reads.clear();
        }},
    Planted{
        "CONFIG", "a revoked key",
        [](Story& story) {
            story.record.changes.push_back(acknowledged(2, "s1", "k3", -9000));
            story.record.reads.clear();
        }},
    Planted{
        "CONFIG", "denied though allowed",
        [](Story& story) {
            story.record.sent.push_back({"q3", 1000, "n1", "POST", "h.example", "/a/z", "k1"});
            story.record.answers.push_back({"q3", 1010, 404});
        }},
    Planted{
        "CONFIG", "a refused one in force",
        [](Story& story) {
            story.record.changes.push_back(acknowledged(2, "s2", "k1", 500));
            story.record.changes.back().outcome = Outcome::refused;
            story.record.runs[0].service = "s2";
        }},
    Planted{"CONFIG", "an invalid one acknowledged", [](Story& story) { story.record.changes[0].valid = false; }},
    Planted{
        "CONFIG", "both sides of a race",
        [](Story& story) {
            story.record.changes.push_back(acknowledged(2, "s1", "k1", 1500));
            story.record.changes.back().base = story.record.changes.front().base;
            story.record.reads.clear();
        }},
    Planted{
        "CONFIG", "read back otherwise than sent",
        [](Story& story) { story.record.reads[0].document = document(1, "s2", "k1"); }},
    Planted{
        "CONFIG", "a node goes back",
        [](Story& story) {
            story.record.changes.push_back(acknowledged(2, "s2", "k1", 990));
            auto run = story.record.runs[0];
            run.name = "i2-1";
            run.service = "s2";
            run.identity = "q4";
            story.record.sent.push_back({"q4", 1000, "n1", "POST", "h.example", "/a/x", "k1", 7, true, true, true, 0});
            story.record.runs.push_back(run);  // version 2 shows at n1 at 1010
            run.name = "i1-4";
            run.service = "s1";
            run.identity = "q5";
            run.at = 1510;
            story.record.sent.push_back({"q5", 1500, "n1", "POST", "h.example", "/a/x", "k1", 7, true, true, true, 0});
            story.record.runs.push_back(run);
            story.record.reads.clear();
        }},
    Planted{
        "LOST", "read back older",
        [](Story& story) { story.record.changes.push_back(acknowledged(2, "s1", "k1", 1500)); }},
    Planted{"LOST", "does not come back", [](Story& story) { story.record.reads[0].document.reset(); }},
};
}  // namespace

TEST_CASE("a day with nothing wrong holds every rule") {
    auto const story = Story();
    auto const verdicts = judge(story.record, story.bounds);
    for (auto place = std::size_t{0}; place < verdicts.size(); ++place) {
        INFO(rule_names[place]);
        for (auto const& what : verdicts[place].broken) UNSCOPED_INFO(what);
        CHECK(state_of(verdicts[place]) == "held");
    }
}

TEST_CASE("nothing seen, nothing judged") {
    auto const verdicts = judge(Record(), Bounds());
    for (auto const& verdict : verdicts) CHECK(state_of(verdict) == "not judged");
}

TEST_CASE("each planted fault breaks its rule and no other") {
    for (auto const& fault : planted) {
        auto story = Story();
        fault.plant(story);
        INFO(fault.rule << ": " << fault.what);
        CHECK(story.broken() == Names{std::string(fault.rule)});
    }
    for (auto const name : rule_names) {
        INFO(name);
        CHECK(std::any_of(planted.begin(), planted.end(), [&](auto const& fault) { return fault.rule == name; }));
    }
}

TEST_CASE("a stream that goes on where it was cut is whole, and one that stops short is not") {
    auto story = Story();
    auto run = story.record.runs[0];
    run.name = "i2-1";
    run.last_event = 2;
    story.record.runs.push_back(run);
    story.stream().body = stream_body("i1-1", 1, 2, 4) + stream_body("i2-1", 3, 4, 4);
    CHECK(story.broken().empty());
    story.record.sent[0].resume = false;
    CHECK(story.broken() == Names{"ORDER"});
    story = Story();
    story.stream().body = stream_body("i1-1", 1, 3, 4);
    CHECK(story.broken() == Names{"MIXED", "ORDER"});
    story.stream().complete = false;
    CHECK(story.broken().empty());
}

TEST_CASE("bounds of time do not run while there is trouble") {
    auto story = Story();
    story.record.changes.push_back(acknowledged(2, "s2", "k1", -9000));
    story.record.reads.clear();
    CHECK(story.broken() == Names{"CONFIG"});
    story.record.troubles.push_back({-500, -100});
    CHECK(story.broken().empty());
}

TEST_CASE("a wall binds every node from its bound on, and none that may still act on the configuration before") {
    auto story = Story();
    wall_goes_up(story, 500);  // the run began 510 ms later
    CHECK(story.broken().empty());
    auto late = Story();
    wall_goes_up(late, 1010 - late.bounds.apply);
    CHECK(late.broken() == std::set<std::string>{"WALL"});
}

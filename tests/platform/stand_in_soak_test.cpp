// The rules as judged under troubles that overlap: by node, by stretch, and on what nodes show at any time.
#include <catch2/catch.hpp>

#include "platform/stand_ins/platform.hpp"
#include "stand_in_story.hpp"

using namespace dockrock::platform_stand_in;
using namespace dockrock::platform_stand_in::testing;

namespace {
using Names = std::set<std::string>;

// A story in which "n1" acts by an older configuration than one acknowledged long ago.
auto late_story() -> Story {
    auto story = Story();
    story.record.changes.push_back(acknowledged(2, "s2", "k1", -9000));
    story.record.reads.clear();
    return story;
}

auto older_weights() -> Story {  // named at -20 000, run on older ones at 1010; the bound is 15 000
    auto story = Story();
    story.record.versions.push_back({"m", 2, -20'000});
    return story;
}

auto glance_at(Story& story, Milliseconds sent, std::int64_t version) -> void {
    story.record.glances.push_back({"c1", sent, sent + 5, 200, document(version, "s1", "k1")});
}
}  // namespace

TEST_CASE("a node out of touch is not held to a bound, and every other is") {
    auto story = late_story();
    story.record.away.push_back({"n2", 900, 1100});
    story.record.apart.push_back({"n2", 900, 1100});
    CHECK(story.broken() == Names{"CONFIG"});
    story.record.away.push_back({"n1", 1005, 1100});  // it begins while the request is under way
    story.record.apart.push_back({"n1", 1005, 1100});
    CHECK(story.broken().empty());
}

TEST_CASE("an unsettled core makes the bound of a configuration longer, not endless") {
    auto story = late_story();
    story.record.away.push_back({"*", 900, 1100});
    CHECK(story.broken() == Names{"CONFIG"});  // 10 s after the acknowledgement: past 2 + 5 s
    story.record.changes.back().answered = -5000;
    CHECK(story.broken().empty());
    story.record.away.clear();
    CHECK(story.broken() == Names{"CONFIG"});
    story.record.changes.back().answered = -9000;
    story.record.away.push_back({"*", 900, 1100});
    story.record.apart.push_back({"*", 900, 1100});
    CHECK(story.broken().empty());
}

TEST_CASE("revoked keys bind nodes out of touch, too") {
    auto story = Story();
    story.record.changes.push_back(acknowledged(2, "s1", "k3", -9000));
    story.record.reads.clear();
    story.record.away.push_back({"*", -99'000, 99'000});
    story.record.apart.push_back({"*", -99'000, 99'000});
    CHECK(story.broken() == Names{"CONFIG"});
}

TEST_CASE("the time for new weights counts within one stretch without trouble") {
    CHECK(older_weights().broken() == Names{"VERSION"});
    auto story = older_weights();
    story.record.rough.push_back({-13'000, -12'000});  // 13 s of the 15 since
    CHECK(story.broken().empty());
    story.record.rough[0] = {-19'000, -18'000};  // 19 s since: the bound has passed in this stretch
    CHECK(story.broken() == Names{"VERSION"});
    story.record.rough.push_back({1000, 2000});  // it begins in trouble
    CHECK(story.broken().empty());
    story.record.rough.pop_back();
    story.record.away.push_back({"n1", 990, 2000});
    CHECK(story.broken().empty());
}

TEST_CASE("a read of the configuration, long after an acknowledgement, shows no older one at any node") {
    auto story = Story();
    story.record.changes.push_back(acknowledged(2, "s1", "k1", 3000));
    story.record.reads.clear();
    glance_at(story, 2900, 1);
    glance_at(story, 4990, 1);  // within the bound
    glance_at(story, 5100, 2);
    CHECK(story.broken().empty());
    glance_at(story, 5100, 1);
    CHECK(story.broken() == Names{"CONFIG"});
    story.record.away.push_back({"*", -99'000, 99'000});
    story.record.apart.push_back({"*", -99'000, 99'000});
    CHECK(story.broken() == Names{"CONFIG"});
    story.record.glances.back().status = 503;
    CHECK(story.broken().empty());
}

TEST_CASE("a read shows what was sent, and nothing refused") {
    auto story = Story();
    glance_at(story, 500, 1);
    CHECK(story.broken().empty());
    story.record.glances.back().document = document(1, "s2", "k1");
    CHECK(story.broken() == Names{"CONFIG"});
    story.record.changes.push_back(acknowledged(1, "s2", "k1", 400));
    story.record.changes.back().outcome = Outcome::refused;
    CHECK(story.broken() == Names{"CONFIG"});
}

TEST_CASE("a change that was taken is not refused when it comes again") {
    auto story = Story();
    story.record.repeated.push_back({1, 200, 1200, 1300});
    story.record.repeated.push_back({1, 0, 1200, 1300});
    CHECK(story.broken().empty());
    story.record.repeated.push_back({1, 412, 1200, 1300});
    CHECK(story.broken() == Names{"CONFIG"});
    story.record.changes.push_back(acknowledged(2, "s1", "k1", 1250));  // another change came between
    story.record.reads.clear();
    CHECK(story.broken().empty());
}

TEST_CASE("kept connections closed without an answer: three may be, a fourth not") {
    auto story = Story();
    auto const close_one = [&story](std::string const& identity) {
        auto sent = Sent{identity, 1000, "n1", "POST", "h.example", "/a/x", "k1", 7, true, true, true, 0};
        sent.kept = true;
        auto run = story.record.runs[0];
        run.identity = identity;
        run.name = "i1-" + identity;
        auto answer = Answer{identity, 1500, 0};
        answer.closed = true;
        story.record.sent.push_back(sent);
        story.record.runs.push_back(run);
        story.record.answers.push_back(answer);
    };
    for (auto const* identity : {"a", "b", "c"}) close_one(identity);
    CHECK(story.broken().empty());
    close_one("d");
    CHECK(story.broken() == Names{"LOST"});
    story.record.ended.push_back({"i1", 1400});  // the replica was not sound
    CHECK(story.broken().empty());
    story.record.ended.clear();
    story.record.away.push_back({"n1", 1400, 1600});
    CHECK(story.broken().empty());
}

TEST_CASE("a planned stop cuts no answer that a sound replica is at") {
    auto story = Story();
    story.single().complete = false;
    story.single().closed = true;
    CHECK_FALSE(story.broken().contains("LOST"));
    story.record.stops.push_back({"n2", 1050, 9000});
    CHECK_FALSE(story.broken().contains("LOST"));  // of another node
    story.record.stops.push_back({"n1", 1050, 9000});
    CHECK(story.broken().contains("LOST"));
    story.record.unplanned.push_back({1090, 9000});
    CHECK_FALSE(story.broken().contains("LOST"));
    story.record.unplanned = {{0, 990}};  // over before the request
    CHECK(story.broken().contains("LOST"));
    story.record.ended.push_back({"i1", 1060});
    CHECK_FALSE(story.broken().contains("LOST"));
    story.record.ended.clear();
    story.record.sent[1].until = 1100;  // its deadline was reached
    CHECK_FALSE(story.broken().contains("LOST"));
    story.record.sent[1].until = 1200;
    story.single().closed = false;
    story.single().complete = true;
    CHECK_FALSE(story.broken().contains("LOST"));
}

TEST_CASE("holders that take turns count only where the core was settled") {
    auto story = Story();
    story.record.orders.push_back({"i1", "n2", 5, 202, 901});
    CHECK(story.broken() == Names{"ONE"});
    story.record.rough.push_back({850, 880});  // before: both in one stretch
    CHECK(story.broken() == Names{"ONE"});
    story.record.rough.push_back({900, 902});
    CHECK(story.broken().empty());
    story.record.orders.push_back({"i1", "n1", 5, 412, 5000});  // one fence, two holders: at any time
    CHECK(story.broken() == Names{"ONE"});
}

TEST_CASE("the calls of the soak are known") {
    for (auto const name : {"probe", "glance", "again", "operator", "spans", "seen", "story", "operators"})
        CHECK(soak_steer(name) != nullptr);
    CHECK(soak_steer("nothing") == nullptr);
}

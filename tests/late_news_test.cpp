// Answers to update requests that were sent again meanwhile. docs/design.md section 8.1.
#include <catch2/catch.hpp>

#include "control/control.hpp"

using namespace dockrock;

namespace {

constexpr auto step = 20 * one_millisecond;

// A single node that knows a leader and another core node, and requests the configuration from them.
struct Asker {
    Control control;
    Microseconds now = one_second;
    std::vector<std::pair<std::string, UpdateRequest>> asked;  // of the configuration
    ControlOutput last;

    Asker() {
        control.start({"10.0.0.9:1", "10.0.0.9:2", "area", {"10.0.0.1:1"}}, "asker", 1, 3, {}, false, now);
        for (auto const* name : {"leader", "other"}) {
            auto member = Member();
            member.identity = name;
            member.control_address = name;
            member.core = true;
            member.incarnation = 1;
            control.membership.known[name] = {member, now, 0};
        }
        control.views[configuration_partition].record = Record{1, "leader", {"other"}, {"leader", "other"}};
    }
    auto take(ControlOutput output) -> void {
        for (auto const& send : output.sends)
            if (auto const* ask = std::get_if<UpdateRequest>(&send.message); ask != nullptr && ask->partition == 0)
                asked.emplace_back(send.address, *ask);
        last = std::move(output);
    }
    auto run(Microseconds length) -> void {
        for (auto const until = now + length; now < until; now += step) {
            for (auto& [name, known] : control.membership.known) known.member.state = 0;
            take(control.tick(now));
        }
    }
    auto answer(UpdateRequest const& ask, Sequence sequence, Microseconds age, std::string const& document = "")
        -> void {
        auto given = UpdateAnswer();
        given.token = ask.token;
        given.record = control.views[0].record;
        given.proven = true;
        given.age = age;
        given.sequence = sequence;
        if (!document.empty()) given.copy = DocumentUpdate{sequence, digest_of(document), true, document, {}};
        take(control.receive(now, "leader", "leader", given));
    }
    auto held() -> PartitionView& { return control.views[0]; }
};

}  // namespace

TEST_CASE("a late answer is taken, and its proof counts from its own request", "[news]") {
    auto asker = Asker();
    asker.run(step);
    REQUIRE(asker.asked.size() == 1);
    auto const first_at = asker.held().asked_at;
    asker.run(1'200 * one_millisecond);
    REQUIRE(asker.asked.size() >= 3);
    REQUIRE(asker.held().ask_token != asker.asked.front().second.token);
    asker.answer(asker.asked.front().second, {1, 5}, 10 * one_millisecond, "new");
    CHECK(asker.held().copy.document == "new");
    CHECK(asker.last.snapshot_changed);
    CHECK(asker.held().proven_at == first_at - 10 * one_millisecond);
    CHECK(asker.control.update_counts.late == 1);
    auto const proven = asker.held().proven_at;
    asker.answer(asker.asked.front().second, {1, 4}, -one_second, "old");  // never replaced by an older one
    CHECK(asker.held().copy.document == "new");
    CHECK(asker.held().proven_at == proven);
    auto stranger = asker.asked.front().second;
    stranger.token += 2;
    asker.answer(stranger, {1, 6}, -one_second, "newer");
    CHECK(asker.held().copy.document == "new");
    CHECK(asker.control.update_counts.unknown == 1);
}

TEST_CASE("if the leader does not answer, it and another node are asked, and its connection is checked", "[news]") {
    auto asker = Asker();
    asker.run(step);
    REQUIRE(asker.asked.size() == 1);
    CHECK(asker.asked.front().first == "leader");
    asker.asked.clear();
    auto doubted = false;
    for (auto count = 0; count < 30 && asker.asked.empty(); ++count) {
        asker.run(step);
        for (auto const& note : asker.last.notes) doubted = doubted || (note.whom == "leader" && !note.late);
    }
    REQUIRE(asker.asked.size() == 2);
    CHECK(doubted);
    CHECK(asker.asked.front().first == "leader");
    CHECK(asker.asked.back().first == "other");
    auto const asked_at = asker.held().asked_at;
    asker.answer(asker.asked.back().second, {}, 200 * one_millisecond);
    CHECK(asker.held().proven_at == asked_at - 200 * one_millisecond);
    auto const held = asker.asked.front().second;
    while (asker.now < asked_at + 100 * one_millisecond) asker.run(step);
    asker.answer(held, {}, -100 * one_millisecond);  // the leader held it
    CHECK(asker.held().proven_at == asked_at + 100 * one_millisecond);
    CHECK(asker.control.update_counts.late == 0);
}

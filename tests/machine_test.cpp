#include <catch2/catch.hpp>

#include "control/control.hpp"
#include "base/frame.hpp"
#include "control/rollout.hpp"
#include "process/settings.hpp"

using namespace dockrock;

TEST_CASE("frames and messages: any damage is seen, none stops the reader") {
    auto const message =
        Message(Append{2, Record{3, "a", {"b"}, {"a", "b", "c"}}, Copy{{3, 9}, "text", {{"change", {3, 9}, 77}}}});
    auto const bytes = pack_frame({"fleet", "a", "10.0.0.1:1", 5, write_message(message)});
    auto const frame = unpack_frame(bytes);
    REQUIRE(frame);
    auto const read = read_message(frame->body);
    REQUIRE(read);
    CHECK(write_message(*read) == frame->body);
    auto random = Random{9};
    for (auto count = 0; count < 3'000; ++count) {
        auto damaged = bytes;
        damaged[random.below(damaged.size())] ^= static_cast<char>(1 + random.below(255));
        CHECK_FALSE(unpack_frame(damaged));
        CHECK_FALSE(unpack_frame(bytes.substr(0, random.below(bytes.size()))));
        auto body = frame->body;
        body[random.below(body.size())] = static_cast<char>(random.below(256));
        read_message(body);  // may read or not, must not fall over
    }
}

TEST_CASE("a frame of another format is refused, whatever it carries: releases of two formats do not mix") {
    auto bytes = pack_frame({"fleet", "a", "10.0.0.1:1", 5, write_message(Message(Probe{1, {}}))});
    REQUIRE(unpack_frame(bytes));
    bytes.resize(bytes.size() - 8);
    bytes[0] = 1;  // the format of the first release, under a good checksum
    put_number(bytes, checksum_of(bytes));
    CHECK_FALSE(unpack_frame(bytes));
}

TEST_CASE("weights are rolled out in waves, lost orders repeated, new names begin anew") {
    auto rollout = Rollout();
    auto replicas = std::vector<RolloutReplica>();
    for (auto number = 0; number < 9; ++number) replicas.push_back({"r" + std::to_string(number), "old", false, false});
    auto const first = rollout.step("new", replicas, one_second);
    CHECK(first.size() == 3);
    CHECK(rollout.step("new", replicas, 2 * one_second).empty());
    for (auto& replica : replicas)
        if (std::find(first.begin(), first.end(), replica.name) != first.end()) replica.changing = true;
    CHECK(rollout.step("new", replicas, 3 * one_second).empty());
    auto const second =
        rollout.step("new", replicas, one_second + wave_limit);  // the first wave still runs its answers
    CHECK(second.size() == 3);
    for (auto& replica : replicas)
        if (replica.changing) replica = {replica.name, "new", false, false};
    CHECK(
        rollout.step("new", replicas, one_second + wave_limit + reorder_interval + 1).size() ==
        3);  // those three told nothing: ordered again
    auto now = 10 * one_second;
    auto rounds = 0;
    for (; rounds < 100; ++rounds, now += 200 * one_millisecond) {
        for (auto const& name : rollout.step("newer", replicas, now))
            for (auto& replica : replicas)
                if (replica.name == name) replica.weights = "newer";
        if (std::all_of(
                replicas.begin(), replicas.end(), [](auto const& replica) { return replica.weights == "newer"; }))
            break;
    }
    CHECK(now < 30 * one_second);
}

TEST_CASE("suspicion before removal, refuted by the accused; a node that was frozen accuses nobody") {
    auto random = Random{1};
    auto left = Membership();
    left.self = Member{"left", "1.1.1.1:1", "", "a", false, false, false, 1, 0};
    auto out = AddressedMessages();
    left.on(Probe{1, {Member{"right", "2.2.2.2:2", "", "b", false, false, false, 1, 0}}}, "right", "2.2.2.2:2", 1, out);
    REQUIRE(left.alive("right"));
    auto now = Microseconds{1};
    for (; now < 1'500 * one_millisecond; now += 50 * one_millisecond) left.tick(now, random, out);
    CHECK_FALSE(left.alive("right"));  // suspected
    CHECK(left.find("right")->state == static_cast<int>(MemberState::suspect));
    left.on(
        ProbeAnswer{99, {Member{"right", "2.2.2.2:2", "", "b", false, false, false, 2, 0}}}, "third", "3.3.3.3:3", now,
        out);
    CHECK(left.alive("right"));  // refuted through a third party
    left.tick(now + 20 * one_second, random, out);
    left.tick(now + 20 * one_second + 50 * one_millisecond, random, out);
    CHECK(left.alive("right"));  // twenty seconds of our own absence are no proof
    left.on(
        ProbeAnswer{99, {Member{"left", "1.1.1.1:1", "", "a", false, false, false, 1, 1}}}, "third", "3.3.3.3:3",
        now + 21 * one_second, out);
    CHECK(left.self.incarnation == 2);
}

TEST_CASE("settings are checked whole") {
    auto settings = NodeSettings();
    settings.control_address = "127.0.0.1:99999";
    settings.http_address = "somewhere";
    settings.seeds = {"127.0.0.1:5000", "x"};
    settings.workers = 0;
    auto paths = std::set<std::string>();
    for (auto const& problem : check_settings(settings)) paths.insert(problem.path);
    CHECK(paths == std::set<std::string>{"/control_address", "/http_address", "/area", "/seeds/1", "/workers"});
}

// A leader's answers to changes and reads, and their time limits. docs/design.md 5.4 and 7.
#include "services_helpers.hpp"
#include "world_helpers.hpp"

using namespace dockrock;
using namespace dockrock::simulation;
using namespace dockrock::testing;

TEST_CASE("a change that conflicts with an uncommitted one is refused only once that one is committed") {
    auto self = std::string("a");
    auto random = Random{1};
    auto context =
        Context{one_second, self, random, [] { return std::vector<Member>(); }, [](auto const&) { return true; }};
    Partition partition;
    partition.apply = [](Copy const& held, Call const& call) { return apply_versioned(plain_form(), held, call); };
    partition.learn(context, Record{1, "a", {"b"}, {"a", "b", "c"}});
    auto const sync = [&] {
        for (auto const& save : std::exchange(context.saves, {})) partition.saved(context, save.token, true);
    };
    auto const grant = [&] {
        for (auto const* voter : {"a", "b", "c"}) partition.on(context, voter, LeaseGrant{0, 1, context.now});
    };
    grant();
    partition.tick(context);
    sync();
    partition.on(context, "b", Appended{0, 1, {1, 1}});
    REQUIRE(partition.committed);
    auto const order = [&](std::uint64_t token, std::string const& body) {
        partition.call(
            context, "caller", token,
            {configuration_partition, change_identity("put", "0", body), "put", "", body, "0"});
    };
    order(1, services_text(5));
    order(2, services_text(5) + " ");
    CHECK(context.done.empty());  // the first may still be lost, and the second would then be valid
    sync();
    partition.on(context, "b", Appended{0, 1, {1, 2}});
    REQUIRE(context.done.size() == 2);
    CHECK(context.done[0].status == 200);
    CHECK(context.done[1].status == 412);
    order(3, services_text(6));
    CHECK(context.done.back().status == 412);  // immediately: no change is in progress
    order(4, services_text(5));
    CHECK(context.done.back().status == 200);  // a retry of the first
}

TEST_CASE("a new leader assigns no sequence of the term before to a change") {
    // It once did between its first lease and its next tick; a former leader may hold another change under that
    // sequence.
    auto self = std::string("b");
    auto random = Random{1};
    auto context =
        Context{one_second, self, random, [] { return std::vector<Member>(); }, [](auto const&) { return true; }};
    Partition partition;
    partition.apply = [](Copy const&, Call const& call) { return ChangeResult{200, "", call.body}; };
    partition.copy = Copy{{1, 7}, "held", {}};
    partition.learn(context, Record{2, "b", {"c"}, {"a", "b", "c"}});
    partition.committed = partition.copy;  // as after all members took the sealed copy
    for (auto const* voter : {"a", "b", "c"}) partition.on(context, voter, LeaseGrant{0, 2, context.now});
    partition.saving.clear();
    partition.call(context, "caller", 1, Call{configuration_partition, "one", "put", "", "changed", ""});
    CHECK(partition.copy.document == "held");
    partition.tick(context);
    CHECK(partition.copy.document == "changed");
    CHECK(partition.copy.sequence == Sequence{2, 9});
}

TEST_CASE("an operator of a fleet with load relays is answered within a second, even where no leader is reachable") {
    auto world = formed(3);
    for (auto& node : world->nodes) limit_calls(node->control.times);
    REQUIRE(put_and_wait(*world, 4, "kept") == 200);
    for (auto index : {std::size_t{4}, *world->leader(configuration_partition)}) {
        world->isolate(index);
        world->run_until(world->now + 1'500 * one_millisecond);
        for (auto const* operation : {"put", "patch", "get"}) {
            auto status = 0;
            world->call(
                index, Call{configuration_partition, std::string("cut off ") + operation, operation, "", "text", ""},
                [&](CallDone const& done) { status = done.status; });
            world->run_until(world->now + 900 * one_millisecond);
            INFO(operation << " at " << index);
            CHECK((status == 503 || status == 504));  // the operator gets a 504 as 503
        }
        world->heal();
        REQUIRE(world->run_until_true([&] { return world->settled(); }, 12 * one_second));
    }
}

TEST_CASE("a conditional read of the version that the caller holds has no document, any other read has the newest") {
    auto world = formed(3);
    REQUIRE(put_and_wait(*world, 4, "first") == 200);
    REQUIRE(world->run_until_true([&] { return all_hold(*world, "first"); }, 4 * one_second));
    auto& leader = *world->nodes[*world->leader(configuration_partition)];
    auto const newest = etag_of(leader.control.views[configuration_partition].copy.sequence);
    auto const answer_to = [&](std::string const& held) {
        auto call = Call{configuration_partition, "", "get", held, ""};
        auto const told =
            leader.control.receive(world->now, "asker", "asker:1", CallForward{7, 0, "asker:1", std::move(call)});
        for (auto const& send : told.sends)
            if (auto const* answer = std::get_if<CallAnswer>(&send.message)) return *answer;
        return CallAnswer{};
    };
    CHECK(answer_to(newest).status == not_modified);
    CHECK(answer_to(newest).body.empty());
    CHECK(answer_to("").body == "first");
    CHECK(answer_to(etag_of(Sequence{1, 0})).body == "first");
    auto read = CallDone();
    world->call(4, {configuration_partition, "", "get", "", ""}, [&](CallDone const& done) { read = done; });
    REQUIRE(world->run_until_true([&] { return read.status != 0; }, 4 * one_second));
    CHECK(read.status == 200);
    CHECK(read.body == "first");
    CHECK(read.etag == newest);
}

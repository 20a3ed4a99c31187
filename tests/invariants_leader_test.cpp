// The final checks of a leader's answers: planted violations of its lease, its terms and its
// copies are counted and blocked. docs/consensus.md section 5.
#include <catch2/catch.hpp>

#include "consensus/answer_checks.hpp"
#include "control/partition_watch.hpp"
#include "invariant_guard.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

constexpr auto now = 10 * one_second;
auto const self = std::string("a");

// A leader of term 2 with a committed copy that its follower reported, and a lease that ends 1 us after `now`.
auto leader() -> Partition {
    Partition partition;
    partition.votes.decided = Record{2, self, {"b"}, {"a", "b", "c", "d"}};
    partition.reset_progress(now);
    partition.copy.sequence = partition.synced = partition.progress["b"].synced_sequence = {2, 5};
    partition.committed = partition.copy;
    for (auto const* voter : {"a", "b"}) partition.grants[voter] = now - partition.times.lease_duration + 1;
    return partition;
}

auto answer() -> CallDone { return {"origin", 1, 200, "text", "\"2.5\""}; }

auto read_from(Partition const& partition, Microseconds at) -> int {
    auto random = Random();
    auto const context = Context{at, self, random, {}, {}, {}, {}, {}, {}};
    return checked_read(partition, context, answer()).status;
}

}  // namespace

TEST_CASE("planted: a read without lease grants from a blocking set of voters is blocked", "[invariants]") {
    CHECK(read_from(leader(), now) == 200);
    auto alone = leader();
    alone.grants.erase("b");
    auto sick = leader();
    sick.healthy = false;
    auto follower = leader();
    follower.votes.decided.leader = "b";
    for (auto const* partition : {&alone, &sick, &follower}) {
        auto const expected = ExpectedViolations{Invariant::read_under_lease};
        CHECK(read_from(*partition, now) == 503);
    }
    auto const expected = ExpectedViolations{Invariant::read_under_lease};
    CHECK(read_from(leader(), now + 1) == 503);
}

TEST_CASE("planted: an acknowledgement of a change that a member has not synced is blocked", "[invariants]") {
    auto const told = [](Partition const& partition, Sequence const& covered) {
        return checked_outcome(partition, covered, answer());
    };
    CHECK(told(leader(), {2, 5}).status == 200);
    auto not_reported = leader();
    not_reported.progress["b"].synced_sequence = {2, 4};
    CHECK(told(not_reported, {2, 4}).status == 200);
    CHECK(told(not_reported, {1, 9}).status == 200);  // all members had it before the record was decided
    auto not_synced = leader();
    not_synced.synced = {2, 4};
    auto not_committed = leader();
    not_committed.committed->sequence = {2, 4};
    auto sealed = leader();
    sealed.votes.sealed = 2;
    for (auto const* partition : {&not_reported, &not_synced, &not_committed, &sealed}) {
        auto const expected = ExpectedViolations{Invariant::acknowledged_is_durable};
        auto const done = told(*partition, {2, 5});
        CHECK(done.status == 504);
        CHECK(done.etag.empty());
        CHECK(done.token == 1);
    }
    auto refusal = answer();
    refusal.status = 412;
    CHECK(checked_outcome(not_reported, {2, 5}, refusal).status == 412);
}

TEST_CASE("planted: a decreasing term, and a lease despite a known successor, are detected", "[invariants]") {
    auto const partition = leader();
    auto view = PartitionView();
    auto watch = PartitionWatch();
    CHECK(watch.check(partition, view, self, now));
    {
        auto const expected = ExpectedViolations{Invariant::one_lease};
        view.record = Record{3, "b", {"a"}, {"a", "b", "c", "d"}};
        CHECK_FALSE(watch.check(partition, view, self, now));
    }
    CHECK(watch.other_holder_at == now);
    auto const expected = ExpectedViolations{Invariant::one_lease};
    view.record = Record();
    CHECK_FALSE(watch.check(partition, view, self, now));
}

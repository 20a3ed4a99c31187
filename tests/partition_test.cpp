// The state machine of one partition by itself: its answers while its copy and its record change.
// docs/design.md sections 5.2 and 5.4.
#include <catch2/catch.hpp>

#include "consensus/partition.hpp"

using namespace dockrock;

namespace {

constexpr auto begun = 10 * one_second;

// A leader "a" with the given followers, a lease granted by all voters and a committed first copy.
struct Leader {
    std::string self = "a";
    Random random{7};
    Partition partition;
    std::vector<CallDone> done;
    std::vector<Save> saves;

    explicit Leader(std::vector<std::string> const& followers) {
        partition.apply = [](Copy const&, Call const& call) { return ChangeResult{200, "", call.body}; };
        partition.machines_lost = followers.size();
        partition.core_count = 5;
        partition.votes.decided = Record{1, "a", followers, {"a", "b", "c", "d", "e"}};
        partition.reset_progress(begun);
        partition.leader_heard = partition.leader_since = begun;
        lease(begun);
        with([](auto& machine, auto& context) { machine.tick(context); });
        sync();
        for (auto const& follower : followers) tell(follower, Appended{0, 1, partition.copy.sequence});
        REQUIRE(partition.committed);
    }
    auto lease(Microseconds now) -> void {
        for (auto const& voter : partition.votes.decided.voters) partition.grants[voter] = now;
    }
    Microseconds now = begun + one_millisecond;
    template <typename Work>
    auto with(Work work) -> void {
        auto const cores = [] { return std::vector<Member>(); };
        auto const alive = [](std::string const&) { return true; };
        Context context{now, self, random, cores, alive, {}, {}, {}, {}};
        work(partition, context);
        for (auto& item : context.done) done.push_back(std::move(item));
        for (auto& item : context.saves) saves.push_back(std::move(item));
    }
    auto sync() -> void {
        while (!saves.empty()) {
            auto const token = saves.front().token;
            saves.erase(saves.begin());
            with([&](auto& machine, auto& context) { machine.saved(context, token, true); });
        }
    }
    template <typename Told>
    auto tell(std::string const& from, Told const& message) -> void {
        with([&](auto& machine, auto& context) { machine.on(context, from, message); });
        sync();
    }
    auto ask(std::uint64_t token, std::string const& operation, std::string const& identity) -> void {
        auto const call = Call{0, identity, operation, "", "document of " + identity, ""};
        with([&](auto& machine, auto& context) { machine.call(context, "operator", token, call); });
        sync();
    }
    auto status_of(std::uint64_t token) const -> int {
        for (auto const& item : done)
            if (item.token == token) return item.status;
        return 0;
    }
};

}  // namespace

TEST_CASE("a leader that takes another's sealed copy answers that outcomes of changes missing from it are unknown") {
    Leader leader({"b"});
    auto const older = leader.partition.copy;
    leader.ask(1, "put", "first");
    auto const lost = leader.partition.copy.sequence;
    REQUIRE(leader.status_of(1) == 0);
    leader.tell("b", CopyOffer{0, leader.partition.votes.decided, Ballot{1, "b"}, older, ""});
    CHECK(leader.status_of(1) == 504);

    // Elected again in a group with "c": the next change must not reuse a sequence that was assigned before.
    leader.tell("c", Decided{0, Record{2, "a", {"c"}, {"a", "b", "c", "d", "e"}}});
    leader.lease(begun);
    leader.partition.committed = leader.partition.copy;
    leader.ask(2, "put", "second");  // waits until the leader has begun the sequences of its term
    CHECK(leader.status_of(2) == 0);
    leader.with([](auto& machine, auto& context) { machine.tick(context); });
    leader.sync();
    CHECK(leader.partition.copy.sequence > lost);
    CHECK(leader.partition.copy.sequence.term == 2);
    leader.tell("c", Appended{0, 2, leader.partition.copy.sequence});
    leader.tell(
        "c",
        Appended{0, 2, leader.partition.copy.sequence});  // of the change; the one before was of the term's first copy
    CHECK(leader.status_of(2) == 200);
    CHECK(leader.status_of(1) == 504);
}

TEST_CASE("a sealed leader does not answer that a change is unknown: another proposer may hold it") {
    Leader leader({"b", "c"});
    auto const older = leader.partition.copy;
    leader.ask(1, "put", "first");
    leader.ask(2, "outcome", "first");
    CHECK(leader.status_of(2) == 202);
    leader.tell("b", CopyOffer{0, leader.partition.votes.decided, Ballot{1, "b"}, older, ""});
    leader.ask(3, "outcome", "first");
    CHECK(leader.status_of(3) == 0);
}

TEST_CASE("a leader that was paused beyond its lease answers no outcome until voters grant a lease again") {
    Leader leader({"b"});
    leader.ask(1, "put", "first");
    auto const sequence = leader.partition.copy.sequence;
    leader.now += leader.partition.times.lease_duration;
    leader.tell("b", Appended{0, 1, sequence});
    CHECK(leader.status_of(1) == 0);
    leader.lease(leader.now);
    leader.tell("b", Appended{0, 1, sequence});
    CHECK(leader.status_of(1) == 200);
}

// The check of each invariant: it passes valid actions, and counts and blocks a planted violation.
// docs/consensus.md section 5.
#include "invariant_guard.hpp"
#include "process/clock.hpp"
#include "process/node.hpp"
#include "world_helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

// A node with one listed replica, rules of sequence 1.1 and a proof from now.
struct Sender {
    std::unique_ptr<Node> node = std::make_unique<Node>();
    RequestLifecycle lifecycle;

    Sender() {
        auto fresh = std::make_shared<Snapshot>();
        auto rules = std::make_shared<Rules>();
        rules->sequence = {1, 1};
        fresh->rules = rules;
        fresh->list.replicas.push_back({"replica", "127.0.0.1:1", "model", "area", 4, 1'000});
        node->snapshot = fresh;
        node->proven_at = clock_now();
        lifecycle.rules = rules->sequence;
        lifecycle.placement.replica = "replica";
    }
    auto change(std::function<void(Snapshot&)> const& work) -> void {
        auto fresh = std::make_shared<Snapshot>(*node->snapshot.load());
        work(*fresh);
        node->snapshot = fresh;
    }
    auto leaves() const -> bool { return node->request_leaves(lifecycle, node->lifecycle_facts("replica")); }
};

constexpr auto order_wait = 3 * one_second;
auto sound_order() -> invariants::OrderFacts {
    auto facts = invariants::OrderFacts();
    facts.leased = true;
    facts.fence = facts.term = facts.highest_fence = 4;
    facts.since_other = facts.wait = order_wait;
    return facts;
}

}  // namespace

TEST_CASE("an unexpected violation fails its test", "[invariants][!shouldfail]") {
    invariants::holds(Invariant::one_lease, false, InvariantFact{"planted", 1});
}

TEST_CASE("an expected violation that does not happen fails its test", "[invariants][!shouldfail]") {
    auto const expected = ExpectedViolations{Invariant::one_lease};
}

TEST_CASE("a violation is counted and reported with its name and facts", "[invariants]") {
    auto const expected = ExpectedViolations{Invariant::one_lease};
    auto const before = invariants::total();
    auto const here = invariants::violations_on_this_thread();
    CHECK(invariants::holds(Invariant::one_lease, true, InvariantFact{"term", 1}));
    CHECK(invariants::total() == before);
    CHECK_FALSE(invariants::holds(Invariant::one_lease, false, InvariantFact{"term", 7}));
    CHECK(invariants::total() == before + 1);
    CHECK(invariants::violations_on_this_thread() == here + 1);
    CHECK(invariants::last_violation_on_this_thread() == "one-lease term 7");
    auto text = std::string();
    write_violations(text);
    for (auto const name : invariant_names)
        CHECK(text.find("dockrock_invariant_violations_total{invariant=\"" + std::string(name) + "\"} ") < text.size());
    CHECK(violations_object().size() == invariant_count);
}

TEST_CASE("planted: a refusal based on the configuration under an old proof is blocked", "[invariants]") {
    auto sender = Sender();
    for (auto const status : {401, 403, 404, 503}) CHECK(sender.node->refusal_leaves(status));
    sender.node->proven_at = clock_now() - sender.node->settings.bounds.apply - one_millisecond;
    for (auto const status : {400, 413, 503}) CHECK(sender.node->refusal_leaves(status));
    for (auto const status : {401, 403, 404}) {
        auto const expected = ExpectedViolations{Invariant::refusal_under_proof};
        CHECK_FALSE(sender.node->refusal_leaves(status));
    }
}

TEST_CASE(
    "planted: a request under an old proof, to a draining replica, or by older rules is blocked", "[invariants]") {
    CHECK(Sender().leaves());
    auto old = Sender();
    old.node->proven_at = clock_now() - old.node->proof_limit() - one_millisecond;
    auto leaving = Sender();
    leaving.change([](auto& fresh) { fresh.list.replicas.front().drain = true; });
    auto unlisted = Sender();
    unlisted.change([](auto& fresh) { fresh.list.replicas.clear(); });
    auto moved = Sender();
    moved.lifecycle.rules = {1, 0};
    for (auto const* sender : {&old, &leaving, &unlisted, &moved}) {
        auto const expected = ExpectedViolations{Invariant::send_under_proof};
        CHECK_FALSE(sender->leaves());
        CHECK_FALSE(sender->lifecycle.may_be_sent(sender->node->lifecycle_facts("replica")));
    }
}

TEST_CASE(
    "planted: a request to a replica with weights older than an overdue version is blocked, even if newer are not due",
    "[invariants]") {
    auto sender = Sender();
    auto const bound = sender.node->settings.bounds.weights;
    auto const now = clock_now();
    sender.change([&](auto& fresh) {
        fresh.replica_weights["replica"].versions = {{"model", 1}};
        fresh.overdue_check.learn("model", 2, now - bound, bound);
        fresh.overdue_check.learn("model", 3, now - one_second, bound);
    });
    {
        auto const expected = ExpectedViolations{Invariant::weights_not_overdue};
        CHECK_FALSE(sender.leaves());
    }
    sender.change([](auto& fresh) { fresh.replica_weights["replica"].versions = {{"model", 2}}; });
    CHECK(sender.leaves());
    auto named = OverdueCheck();
    for (auto version = 2; version < 30; ++version) named.learn("model", version, version * one_second, bound);
    CHECK(named.by_model.at("model").size() < 25);  // versions past their bound are merged into one
    CHECK(named.by_model.at("model").front().version == 8);
}

TEST_CASE(
    "planted: a configuration with a lower sequence, or with other content under one sequence, is detected",
    "[invariants]") {
    auto control = Control();
    auto held = Snapshot();
    auto rules = std::make_shared<Rules>();
    rules->sequence = {2, 3};
    held.rules = rules;
    control.views[configuration_partition].copy.sequence = {2, 2};
    {
        auto const expected = ExpectedViolations{Invariant::configuration_never_back};
        CHECK(make_snapshot(control, held)->rules == held.rules);
    }
    auto watch = PartitionWatch();
    auto view = PartitionView();
    auto const partition = Partition();
    view.copy = {{1, 2}, std::string(100, 'a'), {}};
    CHECK(watch.check(partition, view, "self", 0));
    CHECK(watch.check(partition, view, "self", 1));
    {
        auto const expected = ExpectedViolations{Invariant::configuration_never_back};
        view.copy.document = std::string(200, 'b');
        CHECK_FALSE(watch.check(partition, view, "self", 2));
    }
    auto const expected = ExpectedViolations{Invariant::configuration_never_back};
    view.copy.sequence = {1, 1};
    CHECK_FALSE(watch.check(partition, view, "self", 3));
}

TEST_CASE(
    "planted: an order without a lease, by an old lease check, with a wrong fence or too soon is blocked",
    "[invariants]") {
    auto const node = std::make_unique<Node>();
    node->fences_sent[1] = 4;
    CHECK(keeps(sound_order()));
    auto planted = std::vector<invariants::OrderFacts>(5, sound_order());
    planted[0].leased = false;
    planted[1].fence = 5;                                   // not the current term
    planted[2].fence = planted[2].term = 3;                 // below one already sent
    planted[3].since_other = order_wait - one_millisecond;  // another holder may still send orders
    planted[4].lease_age = -invariants::lease_check_age - one_millisecond;
    for (auto& facts : planted) {
        auto const expected = ExpectedViolations{Invariant::order_under_lease};
        facts.lease_age += clock_now();  // the time of the lease check
        CHECK_FALSE(node->order_leaves(1, facts, order_wait));
    }
    CHECK(node->fences_sent[1] == 4);
    auto old_look = sound_order();
    old_look.lease_age = invariants::lease_check_age + 1;
    CHECK_FALSE(keeps(old_look));
}

TEST_CASE("planted: a proof with a time in the future is not accepted", "[invariants]") {
    auto world = simulation::formed(1);
    auto& node = *world->nodes.back();
    auto const now = world->local(node);
    auto& item = node.control.views[configuration_partition];
    auto const proven_at = item.proven_at;
    auto answer = UpdateAnswer();
    answer.partition = configuration_partition;
    answer.token = item.ask_token = 77;
    item.asked_at = now - one_millisecond;
    answer.proven = true;
    answer.sequence = item.copy.sequence;
    answer.age = -one_second;
    auto const expected = ExpectedViolations{Invariant::proof_not_from_the_future};
    node.control.receive(now, "other", "10.0.0.1:7000", answer);
    CHECK(item.proven_at == proven_at);
}

TEST_CASE("planted: a second try of a run-once request after one that may have run is blocked", "[invariants]") {
    for (auto const end : {TryEnd::unknown_before, TryEnd::answered_failure, TryEnd::broken_resumable}) {
        auto sender = Sender();
        sender.lifecycle.inference.body.run_once = false;
        sender.lifecycle.inference.tries = 3;
        sender.lifecycle.ended(end, "");
        CHECK(sender.leaves());  // it may run again
        sender.lifecycle.inference.body.run_once = true;
        auto const expected = ExpectedViolations{Invariant::run_once_sent_once};
        CHECK_FALSE(sender.leaves());
    }
    for (auto const end : {TryEnd::did_not_run, TryEnd::not_sent, TryEnd::not_written}) {
        auto sender = Sender();
        sender.lifecycle.inference.body.run_once = true;
        sender.lifecycle.ended(end, "");
        CHECK(sender.leaves());
    }
}

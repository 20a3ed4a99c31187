#pragma once
// Each invariant as a pure predicate over plain values (`keeps`), independent of the code that must maintain it, and a
// `check` that evaluates it and counts violations. docs/consensus.md section 5.
#include "base/invariants.hpp"
#include "base/records.hpp"

namespace dockrock::invariants {

// A refused request. The statuses 401, 403 and 404 (unknown key, not allowed, unknown route) follow from the
// configuration alone, so they need a recent proof that it is current.
struct RefusalFacts {
    int status = 0;
    Microseconds proof_age = 0;
    Microseconds bound = 0;  // within which an acknowledged configuration is in force on every node
};
constexpr auto rests_on_configuration(int status) -> bool { return status == 401 || status == 403 || status == 404; }
constexpr auto keeps(RefusalFacts const& facts) -> bool {
    return !rests_on_configuration(facts.status) || facts.proof_age <= facts.bound;
}
inline auto check(RefusalFacts const& facts) -> bool {
    return holds(
        Invariant::refusal_under_proof, keeps(facts), InvariantFact{"status", facts.status},
        InvariantFact{"proof_age", facts.proof_age}, InvariantFact{"bound", facts.bound});
}

// A request immediately before it is sent to a replica.
struct SendFacts {
    Microseconds proof_age = 0;
    Microseconds proof_limit = 0;
    bool listed = false;  // the replica is in the list and not marked for draining
    Sequence rules;       // the rules in force
    Sequence judged;      // the rules under which the request was admitted
};
constexpr auto keeps(SendFacts const& facts) -> bool {
    return facts.proof_age <= facts.proof_limit && facts.listed && facts.rules == facts.judged;
}
inline auto check(SendFacts const& facts) -> bool {
    return holds(
        Invariant::send_under_proof, keeps(facts), InvariantFact{"proof_age", facts.proof_age},
        InvariantFact{"proof_limit", facts.proof_limit}, InvariantFact{"listed", facts.listed},
        InvariantFact{"rules", static_cast<std::int64_t>(facts.rules.number)},
        InvariantFact{"judged", static_cast<std::int64_t>(facts.judged.number)});
}

// The weights of one model on one replica, compared with one announced version.
struct VersionFacts {
    std::int64_t held = 0;       // version on the replica
    std::int64_t named = 0;      // version that was announced
    Microseconds named_for = 0;  // how long this node has known of it
    Microseconds bound = 0;      // by which the replica must have it, less the request's time in flight
};
constexpr auto keeps(VersionFacts const& facts) -> bool {
    return facts.held >= facts.named || facts.named_for <= facts.bound;
}
inline auto check(VersionFacts const& facts) -> bool {
    return holds(
        Invariant::weights_not_overdue, keeps(facts), InvariantFact{"held", facts.held},
        InvariantFact{"named", facts.named}, InvariantFact{"named_for", facts.named_for},
        InvariantFact{"bound", facts.bound});
}

// A configuration update on a node: the one in force and its replacement. Digests are compared only where the
// sequences are equal.
struct InForceFacts {
    Sequence held;
    Sequence fresh;
    std::uint64_t held_digest = 0;
    std::uint64_t fresh_digest = 0;
};
constexpr auto keeps(InForceFacts const& facts) -> bool {
    return facts.fresh > facts.held || (facts.fresh == facts.held && facts.fresh_digest == facts.held_digest);
}
inline auto check(InForceFacts const& facts) -> bool {
    return holds(
        Invariant::configuration_never_back, keeps(facts),
        InvariantFact{"held_term", static_cast<std::int64_t>(facts.held.term)},
        InvariantFact{"held_number", static_cast<std::int64_t>(facts.held.number)},
        InvariantFact{"fresh_term", static_cast<std::int64_t>(facts.fresh.term)},
        InvariantFact{"fresh_number", static_cast<std::int64_t>(facts.fresh.number)});
}

// An order to a replica immediately before it is sent.
struct OrderFacts {
    bool leased = false;              // the lease was held when it was last checked
    Microseconds lease_age = 0;       // time since that check
    std::uint64_t fence = 0;          // fencing token of the order
    std::uint64_t term = 0;           // current at that check
    std::uint64_t highest_fence = 0;  // sent by this node so far
    Microseconds since_other = 0;     // since another holder was last in force, as far as this node knows
    Microseconds wait = 0;            // that a new holder must let pass before its first order
};
inline constexpr Microseconds lease_check_age = 5 * one_millisecond;
constexpr auto keeps(OrderFacts const& facts) -> bool {
    return facts.leased && facts.lease_age >= 0 && facts.lease_age <= lease_check_age && facts.fence == facts.term &&
        facts.fence >= facts.highest_fence && facts.since_other >= facts.wait;
}
inline auto check(OrderFacts const& facts) -> bool {
    return holds(
        Invariant::order_under_lease, keeps(facts), InvariantFact{"leased", facts.leased},
        InvariantFact{"lease_age", facts.lease_age}, InvariantFact{"fence", static_cast<std::int64_t>(facts.fence)},
        InvariantFact{"term", static_cast<std::int64_t>(facts.term)},
        InvariantFact{"highest_fence", static_cast<std::int64_t>(facts.highest_fence)},
        InvariantFact{"since_other", facts.since_other}, InvariantFact{"wait", facts.wait});
}

// The leader's lease, recomputed from the voters' lease grants.
struct LeaseFacts {
    bool leads = false;  // named leader in the record in force, and the disk works
    std::size_t voters = 0;
    std::size_t grants = 0;  // that have not expired
};
// Holds where every majority of the voters contains at least one that granted.
constexpr auto keeps(LeaseFacts const& facts) -> bool {
    return facts.leads && facts.voters > 0 && facts.grants + facts.voters / 2 + 1 > facts.voters;
}
inline auto check_read(LeaseFacts const& facts) -> bool {
    return holds(
        Invariant::read_under_lease, keeps(facts), InvariantFact{"leads", facts.leads},
        InvariantFact{"voters", static_cast<std::int64_t>(facts.voters)},
        InvariantFact{"grants", static_cast<std::int64_t>(facts.grants)});
}

// An acknowledgement immediately before the leader sends it.
struct DurabilityFacts {
    bool committed = false;     // its sequence is at or below the committed one
    std::size_t members = 0;    // of the group in the record
    std::size_t synced = 0;     // members that reported it synced to disk
    bool earlier_term = false;  // from before this record, whose members all had it synced before it was decided
};
constexpr auto keeps(DurabilityFacts const& facts) -> bool {
    return facts.committed && (facts.earlier_term || facts.synced >= facts.members);
}
inline auto check(DurabilityFacts const& facts) -> bool {
    return holds(
        Invariant::acknowledged_is_durable, keeps(facts), InvariantFact{"committed", facts.committed},
        InvariantFact{"members", static_cast<std::int64_t>(facts.members)},
        InvariantFact{"synced", static_cast<std::int64_t>(facts.synced)},
        InvariantFact{"earlier_term", facts.earlier_term});
}

// The highest term of a partition that a node knows of, before and after an event.
struct TermFacts {
    std::uint64_t known_before = 0;
    std::uint64_t known = 0;
    bool leased = false;     // this node holds the lease
    std::uint64_t term = 0;  // the term of that lease
};
constexpr auto keeps(TermFacts const& facts) -> bool {
    return facts.known >= facts.known_before && (!facts.leased || facts.term >= facts.known);
}
inline auto check(TermFacts const& facts) -> bool {
    return holds(
        Invariant::one_lease, keeps(facts),
        InvariantFact{"known_before", static_cast<std::int64_t>(facts.known_before)},
        InvariantFact{"known", static_cast<std::int64_t>(facts.known)}, InvariantFact{"leased", facts.leased},
        InvariantFact{"term", static_cast<std::int64_t>(facts.term)});
}

// A request that is to be sent to a replica, possibly again.
struct RunOnceFacts {
    bool run_once = false;
    int may_have_run = 0;  // number of earlier tries that may have run
};
constexpr auto keeps(RunOnceFacts const& facts) -> bool { return !facts.run_once || facts.may_have_run == 0; }
inline auto check(RunOnceFacts const& facts) -> bool {
    return holds(Invariant::run_once_sent_once, keeps(facts), InvariantFact{"may_have_run", facts.may_have_run});
}

// The time of a freshness proof. A request that the leader held back is answered with a proof as of its release:
// later than the request was made, but never later than now.
struct ProofFacts {
    Microseconds proven_at = 0;
    Microseconds asked_at = 0;
    Microseconds now = 0;
};
constexpr auto keeps(ProofFacts const& facts) -> bool {
    return facts.proven_at <= facts.now && facts.asked_at <= facts.now;
}
inline auto check(ProofFacts const& facts) -> bool {
    return holds(
        Invariant::proof_not_from_the_future, keeps(facts), InvariantFact{"early", facts.proven_at - facts.now},
        InvariantFact{"since_asked", facts.now - facts.asked_at});
}

}  // namespace dockrock::invariants

#pragma once
// Each invariant as a pure function of facts, apart from the logic that is to keep it, and its
// check, which counts where it is broken. docs/consensus.md section 5.
#include "base/invariants.hpp"
#include "base/records.hpp"

namespace dockrock::invariants {

// Only a configuration can justify these: no such route, no such key, not allowed.
struct RefusalFacts {
    int status = 0;
    Microseconds proof_age = 0;
    Microseconds bound = 0;  // in which an acknowledged configuration is in force
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

// A request right before it is written.
struct SendFacts {
    Microseconds proof_age = 0;
    Microseconds proof_limit = 0;
    bool listed = false;  // without a drain mark
    Sequence rules;       // in force
    Sequence judged;      // that it was judged under
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

// One model of a replica, against one version that was named.
struct VersionFacts {
    std::int64_t held = 0;
    std::int64_t named = 0;
    Microseconds named_for = 0;  // since this node knows
    Microseconds bound = 0;      // less the time in flight
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

// What a node held in force, and what it is to hold; digests only where the sequence is the same.
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

// An order to a replica right before it is written.
struct OrderFacts {
    bool leased = false;         // when the lease was looked at
    Microseconds lease_age = 0;  // since then
    std::uint64_t fence = 0;
    std::uint64_t term = 0;           // in force then
    std::uint64_t highest_fence = 0;  // sent by this node so far
    Microseconds since_other = 0;     // since another holder was in force, as far as this node knows
    Microseconds wait = 0;            // that a new holder owes
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

// A lease, counted from the grants themselves.
struct LeaseFacts {
    bool leads = false;  // by the record in force, with a disk that answers
    std::size_t voters = 0;
    std::size_t grants = 0;  // that have not run out
};
// Every majority of the voters contains one that granted.
constexpr auto keeps(LeaseFacts const& facts) -> bool {
    return facts.leads && facts.voters > 0 && facts.grants + facts.voters / 2 + 1 > facts.voters;
}
inline auto check_read(LeaseFacts const& facts) -> bool {
    return holds(
        Invariant::read_under_lease, keeps(facts), InvariantFact{"leads", facts.leads},
        InvariantFact{"voters", static_cast<std::int64_t>(facts.voters)},
        InvariantFact{"grants", static_cast<std::int64_t>(facts.grants)});
}

// An acknowledgement right before it leaves the leader.
struct DurabilityFacts {
    bool committed = false;     // what is committed covers it
    std::size_t members = 0;    // named in the record
    std::size_t synced = 0;     // of them, that reported it synced
    bool earlier_term = false;  // all members of the record took it synced before the record was decided
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

// What a node knows of a partition's records, before and now.
struct TermFacts {
    std::uint64_t known_before = 0;
    std::uint64_t known = 0;
    bool leased = false;     // this node holds the lease,
    std::uint64_t term = 0;  // of this term
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

struct RunOnceFacts {
    bool run_once = false;
    int may_have_run = 0;  // earlier tries
};
constexpr auto keeps(RunOnceFacts const& facts) -> bool { return !facts.run_once || facts.may_have_run == 0; }
inline auto check(RunOnceFacts const& facts) -> bool {
    return holds(Invariant::run_once_sent_once, keeps(facts), InvariantFact{"may_have_run", facts.may_have_run});
}

// A question that was held is answered by a proof of when it was let go: later than asked, never than now.
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

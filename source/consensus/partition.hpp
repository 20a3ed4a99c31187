#pragma once
// One partition of the control state on one node: voter, member of its group, leader.
// docs/design.md section 5.
#include <functional>
#include <set>

#include "consensus/claims.hpp"
#include "consensus/saved_partition.hpp"

namespace dockrock {

struct PartitionTimes {
    Microseconds grant_duration = 1'200 * one_millisecond;
    Microseconds lease_duration = 950 * one_millisecond;
    Microseconds heartbeat_interval = 200 * one_millisecond;
    Microseconds leader_timeout = 650 * one_millisecond;
    Microseconds try_interval = 100 * one_millisecond;
    Microseconds proposal_limit = 1'500 * one_millisecond;
    Microseconds follower_timeout = 1'000 * one_millisecond;
    Microseconds resend_interval = 400 * one_millisecond;
    Microseconds copy_patience = 200 * one_millisecond;     // a silent partner is passed over
    Microseconds rival_patience = 2'000 * one_millisecond;  // an earlier follower goes first
    Microseconds silent_memory = 5 * one_second;            // a partner that was passed over is not asked first again
    Microseconds disk_limit = 600 * one_millisecond;
    Microseconds spare_interval = 2 * one_second;
    Microseconds frozen_gap = 400 * one_millisecond;
};

inline constexpr Microseconds queued_limit = 2'500 * one_millisecond;  // a call waits no longer for its turn

// Status of a read whose asker holds the newest document, as it said by `Call::if_match`.
inline constexpr auto not_modified = 304;

struct CallDone {
    std::string origin;
    std::uint64_t token = 0;
    int status = 0;
    std::string body;
    std::string etag;
};

struct Context {
    Microseconds now = 0;
    std::string const& self;
    Random& random;
    std::function<std::vector<Member>()> cores;     // core members held alive that stay (a hint)
    std::function<bool(std::string const&)> alive;  // a hint too
    std::vector<IdentifiedMessage> sends;
    std::vector<Save> saves;
    std::vector<CallDone> done;
    std::vector<std::pair<std::string, ClaimAnswer>> claim_answers;                              // by address
    std::function<bool(std::string const&)> leaving = [](std::string const&) { return false; };  // stops politely
};

// The result of trying a change on a document; status 200 changes it.
struct ChangeResult {
    int status = 0;
    std::string body;
    std::string document;
};
using ApplyChange = std::function<ChangeResult(Copy const& current, Call const& call)>;

struct Partition {
    int index = 0;
    std::size_t core_count = 4;  // 0: not told, then the first voters' number stays
    std::size_t machines_lost = 1;
    PartitionTimes times;
    ApplyChange apply;
    Votes votes;
    Copy copy;                       // newest held, may be uncommitted
    Sequence synced;                 // of `copy`, what is on the disk
    std::optional<Sequence> logged;  // of the copy last given to the disk: a change is logged on top of that alone
    std::optional<CopyChange> last_change;  // that made `copy`
    std::optional<Copy> committed;          // only on the leader, once proven
    ClaimTable claims;
    bool healthy = true;         // the last write to the disk held
    Microseconds vote_from = 0;  // a restarted voter waits out one full grant
    Microseconds last_tick = 0;
    std::map<std::uint64_t, std::pair<Microseconds, Save>> saving;
    // voter
    Microseconds granted_until = 0;
    std::string granted_to;
    // leader
    std::map<std::string, Microseconds> grants;  // voter -> asked_at of its newest grant
    std::map<std::string, Microseconds> heard;   // voter -> asked_at of its newest answer, granted or not
    Microseconds last_ask = 0;
    Microseconds leader_since = 0;
    bool in_flight = false;
    bool replication_sent = false;
    Copy replicating;
    std::optional<CopyChange> replicating_change;  // on top of what was committed before; else the snapshot is sent
    Microseconds replication_sent_at = 0;
    struct FollowerProgress {
        Microseconds heard = 0;
        Sequence has;
        bool lacks_base = false;  // the change did not fit what it holds
    };
    std::map<std::string, FollowerProgress> progress;  // the followers of the decided record
    Microseconds last_spare = 0;
    std::optional<Copy> offered;               // to spares: what was committed at the last sweep
    std::optional<CopyChange> offered_change;  // on top of what was offered before
    struct Waiter {
        std::string origin;
        std::uint64_t token = 0;
        Sequence sequence;  // told once this is committed
        int status = 200;
        std::string body;
        Microseconds since = 0;
    };
    std::vector<Waiter> waiters;
    struct Queued {
        std::string origin;
        std::uint64_t token = 0;
        Call call;
        Microseconds since = 0;
    };
    std::vector<Queued> queued;
    // follower
    Microseconds leader_heard = 0;
    Microseconds last_try = 0;
    Microseconds rival_tried = 0;  // a follower before this one asked for votes
    // proposer
    struct Proposal {
        enum class Stage : int { preparing, copying, accepting };
        Stage stage = Stage::preparing;
        Ballot ballot;
        Record wanted;
        Record value;
        std::set<std::string> promises;
        std::set<std::string> accepts;
        std::set<std::string> refusals;
        std::uint64_t seal_token = 0;  // the save that seals the term
        bool seal_synced = false;
        std::set<std::string> taken;        // who holds the sealed copy
        std::set<std::string> passed_over;  // who did not take it in time
        bool copied = false;                // all members of `value` hold it
        Microseconds copying_since = 0;
        Ballot best;
        std::optional<Record> found;
        Microseconds started = 0;
        Microseconds sent = 0;
    };
    std::optional<Proposal> proposal;
    std::map<std::string, Microseconds> silent_since;  // partners that did not take a copy in time
    std::uint64_t highest_round = 0;
    auto is_leader(std::string const& self) const -> bool {
        return votes.decided.term > 0 && votes.decided.leader == self;
    }
    auto all_have(Sequence const& sequence) const -> bool;
    // Of a group: losses borne at once, and one, but no more than a majority of the voters (design 5).
    auto copies() const -> std::size_t;
    auto follow(Microseconds now) -> void;  // counts anew what the followers were heard to have
    auto lease_until(std::string const& self) const -> Microseconds;
    auto has_lease(std::string const& self, Microseconds now) const -> bool;

    auto tick(Context& context) -> void;
    auto saved(Context& context, std::uint64_t token, bool ok) -> void;
    auto propose(Context& context, Record wanted) -> void;
    auto hand_over(Context& context) -> bool;  // true while there is something to hand over
    auto call(Context& context, std::string const& origin, std::uint64_t token, Call const& asked) -> void;

    auto on(Context&, std::string const& from, Prepare const&) -> void;
    auto on(Context&, std::string const& from, Promise const&) -> void;
    auto on(Context&, std::string const& from, Accept const&) -> void;
    auto on(Context&, std::string const& from, Accepted const&) -> void;
    auto on(Context&, std::string const& from, Refusal const&) -> void;
    auto on(Context&, std::string const& from, Decided const&) -> void;
    auto on(Context&, std::string const& from, LeaseRequest const&) -> void;
    auto on(Context&, std::string const& from, LeaseGrant const&) -> void;
    auto on(Context&, std::string const& from, Heartbeat const&) -> void;
    auto on(Context&, std::string const& from, Append const&) -> void;
    auto on(Context&, std::string const& from, AppendChange const&) -> void;
    auto on(Context&, std::string const& from, Appended const&) -> void;
    auto on(Context&, std::string const& from, CopyOffer const&) -> void;
    auto on(Context&, std::string const& from, CopyTaken const&) -> void;
    auto on(Context&, std::string const& from, SpareOffer const&) -> void;
    auto on(Context&, std::string const& from, SpareChange const&) -> void;
    auto on(Context&, std::string const& from, ClaimReplication const&) -> void;
    auto on(Context&, std::string const& from, ClaimReplicated const&) -> void;
    auto claim(Context& context, std::string const& origin, ClaimAsk const& ask) -> void;
    auto learn(Context& context, Record const& record) -> void;

   private:
    auto save(Context& context, bool with_copy, std::vector<IdentifiedMessage> after) -> std::uint64_t;
    auto save_change(Context& context, std::optional<CopyChange> change, std::vector<IdentifiedMessage> after)
        -> std::uint64_t;
    auto give_to_disk(Context& context, SavedPartition saved, std::vector<IdentifiedMessage> after) -> std::uint64_t;
    auto may_vote(Context& context, std::string const& from, std::uint64_t term, Record const& proof) -> bool;
    auto disk_late(Microseconds now) const -> bool;
    auto lease_by(std::map<std::string, Microseconds> const& answers) const -> Microseconds;
    auto leased_lately(Microseconds now) const -> bool { return now - leader_since <= times.grant_duration; }
    auto ask_for_lease(Context& context) -> void;
    auto step_down(Context& context) -> void;
    auto tell_outcomes_unknown(Context& context) -> void;
    auto expire_queued(Context& context, std::string_view reason) -> void;
    auto expire_waiters(Context& context, std::string_view reason) -> void;
    auto leader_tick(Context& context) -> void;
    auto open_term(Context& context) -> void;
    auto resend_replication(Context& context) -> void;
    auto renew_group(Context& context, bool leased) -> void;
    auto follower_tick(Context& context) -> void;
    auto proposal_tick(Context& context) -> void;
    auto begin_copying(Context& context) -> void;
    auto begin_accepting(Context& context) -> void;
    auto copies_taken(Context& context) -> void;
    auto pass_over(Context& context) -> void;
    auto send_proposal(Context& context) -> void;
    auto replicate(Context& context) -> void;
    auto send_replication(Context& context) -> void;
    auto sweep_spares(Context& context) -> void;
    auto offer_spare(Context& context, std::string const& spare, Appended const& answer) -> void;
    auto takes_offers(std::string const& from, std::string const& self, Record const& record) const -> bool;
    auto takes_appends(std::string const& from, std::string const& self, Record const& record) const -> bool;
    auto settle(Context& context) -> void;
    auto take_queued(Context& context) -> void;
    auto change(Context& context, Queued const& item, std::optional<Copy>& before) -> void;  // `before` it was changed
    auto read_copy(Context& context, Queued const& item) -> void;
    auto tell_outcome(Context& context, Queued const& item) -> void;
    auto repeat_change(Context& context, Queued const& item, Outcome const& done, std::uint64_t digest) -> void;
    auto refuse_change(Context& context, Queued const& item, int status, std::string body) -> void;
    auto make_change(Queued const& item, std::string document, std::uint64_t digest, Microseconds now) -> void;
    auto answer_claim(Context& context, std::string const& origin, std::uint64_t token, ClaimState state) -> void;
    auto push_claims(Context& context) -> void;
    auto save_claims(Context& context, std::string text, std::vector<IdentifiedMessage> after) -> std::uint64_t;
    auto claims_saved(Context& context, std::uint64_t token) -> void;
    auto replicate_claims(Context& context) -> void;
    auto send_claims(Context& context) -> void;
    auto claims_replicated(Context& context) -> void;
    auto settle_claims(Context& context) -> void;
    auto tick_claims(Context& context) -> void;
    auto claims_under_new_record(Context& context) -> void;
    auto lost_followers(Context& context) const -> std::set<std::string>;
    auto silent_partners(Microseconds now) const -> std::set<std::string>;
    auto followers_for(Context& context, Record const& from, std::set<std::string> const& lost) const
        -> std::vector<std::string>;
    auto renewed_voters(Context& context) const -> std::vector<std::string>;
};

inline auto majority_of(std::size_t count) -> std::size_t { return count / 2 + 1; }
inline auto blocking_of(std::size_t count) -> std::size_t { return count - majority_of(count) + 1; }

}  // namespace dockrock

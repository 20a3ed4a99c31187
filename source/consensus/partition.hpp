#pragma once
// One partition of the replicated control state on one node, which may be a voter, a follower
// in its group or the leader. A pure state machine: output goes into the Context. docs/design.md section 5.
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
    Microseconds proposal_interval = 100 * one_millisecond;
    Microseconds proposal_limit = 1'500 * one_millisecond;
    Microseconds follower_timeout = 1'000 * one_millisecond;
    Microseconds resend_interval = 400 * one_millisecond;
    Microseconds copy_timeout = 200 * one_millisecond;     // before a silent member of a new group is replaced
    Microseconds rival_timeout = 2'000 * one_millisecond;  // wait for a follower that is earlier in the record
    Microseconds silent_backoff = 5 * one_second;          // a replaced member is not preferred for this long
    Microseconds disk_limit = 600 * one_millisecond;
    Microseconds spare_interval = 2 * one_second;
    Microseconds frozen_gap = 400 * one_millisecond;  // between ticks; a longer one means that the process was paused
};

inline constexpr Microseconds max_queue_wait = 2'500 * one_millisecond;  // maximum wait of a call in the queue

// Status of a read whose caller already holds the newest document, by `Call::if_match`.
inline constexpr auto not_modified = 304;

struct CallDone {  // the answer to a call
    std::string origin;
    std::uint64_t token = 0;
    int status = 0;
    std::string body;
    std::string etag;
};

// Input and output of one step of the state machine.
struct Context {
    Microseconds now = 0;
    std::string const& self;
    Random& random;
    std::function<std::vector<Member>()> cores;     // core members believed alive and not leaving (a hint)
    std::function<bool(std::string const&)> alive;  // a hint, too
    std::vector<IdentifiedMessage> sends;
    std::vector<Save> saves;
    std::vector<CallDone> done;
    std::vector<std::pair<std::string, ClaimAnswer>> claim_answers;                              // by address
    std::function<bool(std::string const&)> leaving = [](std::string const&) { return false; };  // stops gracefully
};

// The result of applying a change to a document; only status 200 has a new document.
struct ChangeResult {
    int status = 0;
    std::string body;
    std::string document;
};
using ApplyChange = std::function<ChangeResult(Copy const& current, Call const& call)>;

struct Partition {
    int index = 0;
    std::size_t core_count = 4;     // 0: not configured; the number of voters then stays as it is
    std::size_t machines_lost = 1;  // simultaneous losses to tolerate
    PartitionTimes times;
    ApplyChange apply;
    Votes votes;
    Copy copy;                              // newest on this node, may be uncommitted
    Sequence synced;                        // newest sequence synced to disk
    std::optional<Sequence> last_written;   // last given to the disk: a change with another base is saved as a whole
    std::optional<CopyChange> last_change;  // that produced `copy`
    std::optional<Copy> committed;          // only on the leader, once all members are known to hold it
    ClaimTable claims;
    bool healthy = true;         // the last write to the disk succeeded
    Microseconds vote_from = 0;  // a restarted voter does not vote for one full grant duration
    Microseconds last_tick = 0;
    std::map<std::uint64_t, std::pair<Microseconds, Save>> saving;
    // voter
    Microseconds granted_until = 0;
    std::string granted_to;
    // leader
    std::map<std::string, Microseconds> grants;  // voter -> asked_at of its newest grant
    std::map<std::string, Microseconds> heard;   // voter -> asked_at of its newest answer, granted or not
    Microseconds lease_requested_at = 0;
    Microseconds leader_since = 0;
    bool in_flight = false;         // a copy is being replicated
    bool replication_sent = false;  // it was sent to the followers, which happens after it is synced here
    Copy replicating;
    std::optional<CopyChange> replicating_change;  // from the committed copy; without it the snapshot is sent
    Microseconds replication_sent_at = 0;
    struct FollowerProgress {
        Microseconds heard = 0;
        Sequence synced_sequence;  // newest sequence that it reported as synced
        bool lacks_base = false;   // the change could not be applied to its copy
    };
    std::map<std::string, FollowerProgress> progress;  // the followers of the decided record
    Microseconds spares_announced_at = 0;
    std::optional<Copy> offered;               // to spares: the committed copy at the last announcement
    std::optional<CopyChange> offered_change;  // from the copy offered before
    struct Waiter {                            // an answer that waits for a commit
        std::string origin;
        std::uint64_t token = 0;
        Sequence sequence;  // answered once this is committed
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
    Microseconds last_proposal_at = 0;
    Microseconds rival_proposed_at = 0;  // when a follower earlier in the record last asked for votes
    // proposer
    struct Proposal {
        enum class Stage : int { preparing, copying, accepting };
        Stage stage = Stage::preparing;
        Ballot ballot;
        Record wanted;  // proposed unless a promise carries an accepted record
        Record value;   // the record being proposed
        std::set<std::string> promises;
        std::set<std::string> accepts;
        std::set<std::string> refusals;
        std::uint64_t seal_token = 0;  // of the save that seals the term
        bool seal_synced = false;
        std::set<std::string> taken;             // members that hold the sealed copy
        std::set<std::string> replaced_members;  // members that did not take it in time
        bool copied = false;                     // all members of `value` hold it
        Microseconds copying_since = 0;
        Ballot prior_ballot;                   // highest ballot of an accepted record among the promises,
        std::optional<Record> prior_accepted;  // and that record
        Microseconds started = 0;
        Microseconds sent = 0;
    };
    std::optional<Proposal> proposal;
    std::map<std::string, Microseconds> silent_since;  // members that did not take a copy in time
    std::uint64_t highest_round = 0;
    auto is_leader(std::string const& self) const -> bool {
        return votes.decided.term > 0 && votes.decided.leader == self;
    }
    auto all_have(Sequence const& sequence) const -> bool;
    // Size of a group: the losses to tolerate plus one, but at most a majority of the voters (design 5).
    auto group_size() const -> std::size_t;
    auto reset_progress(Microseconds now) -> void;  // of the followers, under a new record
    auto lease_until(std::string const& self) const -> Microseconds;
    auto has_lease(std::string const& self, Microseconds now) const -> bool;

    auto tick(Context& context) -> void;
    auto saved(Context& context, std::uint64_t token, bool ok) -> void;  // a save completed
    auto propose(Context& context, Record wanted) -> void;
    auto hand_over(Context& context) -> bool;  // true while leadership is still to be handed over
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
    auto queue_save(Context& context, SavedPartition saved, std::vector<IdentifiedMessage> after) -> std::uint64_t;
    auto may_vote(Context& context, std::string const& from, std::uint64_t term, Record const& proof) -> bool;
    auto disk_late(Microseconds now) const -> bool;
    auto lease_by(std::map<std::string, Microseconds> const& answers) const -> Microseconds;
    auto recently_leased(Microseconds now) const -> bool { return now - leader_since <= times.grant_duration; }
    auto ask_for_lease(Context& context) -> void;
    auto step_down(Context& context) -> void;
    auto answer_outcomes_unknown(Context& context) -> void;
    auto expire_queued(Context& context, std::string_view reason) -> void;
    auto expire_waiters(Context& context, std::string_view reason) -> void;
    auto leader_tick(Context& context) -> void;
    auto open_term(Context& context) -> void;
    auto resend_replication(Context& context) -> void;
    auto reconfigure_group(Context& context, bool leased) -> void;
    auto follower_tick(Context& context) -> void;
    auto proposal_tick(Context& context) -> void;
    auto begin_copying(Context& context) -> void;
    auto begin_accepting(Context& context) -> void;
    auto copies_taken(Context& context) -> void;
    auto replace_silent_members(Context& context) -> void;
    auto send_proposal(Context& context) -> void;
    auto replicate(Context& context) -> void;
    auto send_replication(Context& context) -> void;
    auto announce_to_spares(Context& context) -> void;
    auto offer_spare(Context& context, std::string const& spare, Appended const& answer) -> void;
    auto takes_offers(std::string const& from, std::string const& self, Record const& record) const -> bool;
    auto takes_appends(std::string const& from, std::string const& self, Record const& record) const -> bool;
    auto advance_commit(Context& context) -> void;
    auto process_queued(Context& context) -> void;
    // Keeps in `before` the copy as it was before the first change.
    auto change(Context& context, Queued const& item, std::optional<Copy>& before) -> void;
    auto read_copy(Context& context, Queued const& item) -> void;
    auto answer_outcome(Context& context, Queued const& item) -> void;
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
    auto answer_claim_waiters(Context& context) -> void;
    auto tick_claims(Context& context) -> void;
    auto claims_under_new_record(Context& context) -> void;
    auto lost_followers(Context& context) const -> std::set<std::string>;
    auto silent_members(Microseconds now) const -> std::set<std::string>;
    auto followers_for(Context& context, Record const& from, std::set<std::string> const& lost) const
        -> std::vector<std::string>;
    auto renewed_voters(Context& context) const -> std::vector<std::string>;
};

inline auto majority_of(std::size_t count) -> std::size_t { return count / 2 + 1; }
inline auto blocking_of(std::size_t count) -> std::size_t { return count - majority_of(count) + 1; }

}  // namespace dockrock

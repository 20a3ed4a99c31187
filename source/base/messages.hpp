#pragma once
// What nodes say to each other. docs/design.md sections 3 to 8.
#include <array>
#include <string_view>
#include <variant>

#include "base/copy_change.hpp"
#include "base/version_age_messages.hpp"
#include "base/relay_messages.hpp"

namespace dockrock {

// membership (design 4)
struct Probe {
    std::uint64_t token = 0;
    std::vector<Member> members;
};
struct ProbeAnswer {
    std::uint64_t token = 0;
    std::vector<Member> members;
};
struct ProbeFor {
    std::uint64_t token = 0;
    std::string target;
};
// ballots and leases (design 5)
struct Prepare {
    int partition = 0;
    std::uint64_t term = 0;
    Ballot ballot;
    Record proof;
};
struct Promise {
    int partition = 0;
    std::uint64_t term = 0;
    Ballot ballot;
    Ballot accepted_ballot;
    std::optional<Record> accepted;
};
struct Accept {
    int partition = 0;
    std::uint64_t term = 0;
    Ballot ballot;
    Record record;
    Record proof;
};
struct Accepted {
    int partition = 0;
    std::uint64_t term = 0;
    Ballot ballot;
};
struct Refusal {
    int partition = 0;
    std::uint64_t term = 0;
    Ballot promised;
    Record decided;
};
struct Decided {
    int partition = 0;
    Record record;
};
struct LeaseRequest {
    int partition = 0;
    Record record;
    Microseconds asked_at = 0;
    std::optional<bool> without_lease;  // too few answers come back in time to make one
};
struct LeaseGrant {
    int partition = 0;
    std::uint64_t term = 0;
    Microseconds asked_at = 0;
    std::optional<bool> withheld;  // an answer that grants nothing
};
// groups (design 5)
struct Heartbeat {
    int partition = 0;
    Record record;
    Sequence sequence;
    std::optional<bool> without_lease;  // as above
};
struct Append {  // a snapshot, for a follower that does not hold what a change builds on
    int partition = 0;
    Record record;
    Copy copy;
};
struct AppendChange {
    int partition = 0;
    Record record;
    CopyChange change;
};
struct Appended {
    int partition = 0;
    std::uint64_t term = 0;
    Sequence sequence;
    bool lacks_base = false;  // the change did not fit: a snapshot is wanted
};
struct CopyOffer {
    int partition = 0;
    Record record;  // the decided one, whose successor is proposed
    Ballot ballot;
    Copy copy;
    std::string claims;  // all that the giver holds (design 10.5)
};
struct CopyTaken {
    int partition = 0;
    std::uint64_t term = 0;
    Ballot ballot;
};
struct SpareOffer {
    int partition = 0;
    Record record;
    Copy copy;
};
struct SpareChange {
    int partition = 0;
    Record record;
    CopyChange change;
};
// news (design 8)
// A document as news: whole, or what differs from one that the asker holds.
struct DocumentUpdate {
    Sequence sequence;
    std::uint64_t digest = 0;  // of the document it makes
    bool whole = true;
    std::string text;  // if whole
    TextEdits edits;   // if not
};
struct UpdateRequest {
    int partition = 0;
    std::uint64_t token = 0;
    std::uint64_t term = 0;
    Sequence have;
    std::uint64_t live_digest = 0;  // of the list it holds
    Microseconds live_age = 0;
    bool whole = false;  // a difference did not fit
};
struct UpdateAnswer {
    int partition = 0;
    std::uint64_t token = 0;
    Record record;
    bool proven = false;  // a leased leader stood behind this `age` ago
    Microseconds age = 0;
    Sequence sequence;  // what the answerer holds
    std::optional<DocumentUpdate> copy;
    std::uint64_t live_digest = 0;
    std::string live;  // the replica list, where it differs and is newer
    Microseconds live_age = 0;
};
// operator calls (design 7)
struct Call {
    int partition = 0;
    std::string identity;
    std::string operation;
    std::string if_match;
    std::string body;
    std::string base;  // the operator's own version that the change builds on
};
struct CallForward {
    std::uint64_t token = 0;
    int hops = 0;
    std::string origin;
    Call call;
};
struct CallAnswer {
    std::uint64_t token = 0;
    int status = 0;
    std::string body;
    std::string etag;
};
// forming anew after the loss of every core disk (design 5.9)
struct HeldPartition {
    std::uint64_t term = 0;
    std::vector<std::string> voters;  // of a record that named a group
    Sequence sequence;
    std::string document;
};
struct RecoveryRequest {
    std::uint64_t token = 0;
};
struct RecoveryAnswer {
    std::uint64_t token = 0;
    std::vector<HeldPartition> partitions;
};
struct RecoverFleet {
    std::uint64_t term = 0;
    std::vector<std::string> voters;
    std::vector<HeldPartition> partitions;
};
// claims of run-once tickets (design 10.5)
enum class ClaimState : int { not_here, granted, seen, full };
struct ClaimAsk {
    int partition = 0;
    std::uint64_t token = 0;
    std::string key;
    std::string ticket;
    bool release = false;  // that ticket was shed: it never ran
};
struct ClaimAnswer {
    int partition = 0;
    std::uint64_t token = 0;
    std::uint64_t term = 0;
    int state = 0;
};
struct ClaimReplication {
    int partition = 0;
    Record record;
    std::uint64_t life = 0;  // of the leader
    std::uint64_t number = 0;
    std::string claims;
};
struct ClaimReplicated {
    int partition = 0;
    std::uint64_t term = 0;
    std::uint64_t life = 0;
    std::uint64_t number = 0;
};
// granting entry and prefix digests (design 9)
struct LoadDigest {
    std::uint64_t number = 0;
    std::string body;
};

using Message = std::variant<
    Probe, ProbeAnswer, ProbeFor, Prepare, Promise, Accept, Accepted, Refusal, Decided, LeaseRequest, LeaseGrant,
    Heartbeat, Append, Appended, CopyOffer, CopyTaken, SpareOffer, UpdateRequest, UpdateAnswer, CallForward, CallAnswer,
    LoadDigest, ClaimAsk, ClaimAnswer, ClaimReplication, ClaimReplicated, RecoveryRequest, RecoveryAnswer, RecoverFleet,
    LoadReport, LoadShare, LoadSum, FeedAsk, FeedAnswer, AppendChange, SpareChange, VersionAges>;

inline constexpr auto message_names = std::to_array<std::string_view>(
    {"probe",         "probe-answer", "probe-for",     "prepare",      "promise",     "accept",       "accepted",
     "refusal",       "decided",      "lease-request", "lease-grant",  "heartbeat",   "append",       "appended",
     "copy-offer",    "copy-taken",   "spare-offer",   "news-ask",     "news-answer", "call-forward", "call-answer",
     "burden-digest", "claim-ask",    "claim-answer",  "claim-flight", "claim-flown", "anew-ask",     "anew-answer",
     "form-anew",     "load-told",    "load-share",    "load-sum",     "feed-ask",    "feed-answer",  "append-change",
     "spare-change",  "naming-ages"});
static_assert(message_names.size() == std::variant_size_v<Message>);

auto write_message(Message const& message) -> std::string;
auto read_message(std::string_view text) -> std::optional<Message>;

}  // namespace dockrock

#pragma once
// What nodes say to each other. docs/design.md sections 3 to 8.
#include <array>
#include <string_view>
#include <variant>

#include "process/machine/records.hpp"

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
// ballots and licences (design 5)
struct Prepare {
    int part = 0;
    std::uint64_t epoch = 0;
    Ballot ballot;
    Record proof;
};
struct Promise {
    int part = 0;
    std::uint64_t epoch = 0;
    Ballot ballot;
    Ballot accepted_ballot;
    std::optional<Record> accepted;
};
struct Accept {
    int part = 0;
    std::uint64_t epoch = 0;
    Ballot ballot;
    Record record;
    Record proof;
};
struct Accepted {
    int part = 0;
    std::uint64_t epoch = 0;
    Ballot ballot;
};
struct Refusal {
    int part = 0;
    std::uint64_t epoch = 0;
    Ballot promised;
    Record decided;
};
struct Decided {
    int part = 0;
    Record record;
};
struct LicenceAsk {
    int part = 0;
    Record record;
    Microseconds asked_at = 0;
};
struct LicenceGrant {
    int part = 0;
    std::uint64_t epoch = 0;
    Microseconds asked_at = 0;
};
// pairs (design 5)
struct Beat {
    int part = 0;
    Record record;
    Sequence sequence;
};
struct Append {
    int part = 0;
    Record record;
    Copy copy;
};
struct Appended {
    int part = 0;
    std::uint64_t epoch = 0;
    Sequence sequence;
};
struct CopyOffer {
    int part = 0;
    std::uint64_t epoch = 0;
    Ballot ballot;
    Copy copy;
    std::string claims;  // all that the giver holds (design 10.5)
};
struct CopyTaken {
    int part = 0;
    std::uint64_t epoch = 0;
    Ballot ballot;
};
struct SpareOffer {
    int part = 0;
    Record record;
    Copy copy;
};
// news (design 8)
// A document as news: whole, or what differs from one that the asker holds.
struct NewsCopy {
    Sequence sequence;
    std::uint64_t digest = 0;  // of the document it makes
    bool whole = true;
    std::uint64_t front = 0;  // bytes kept of the held document, front and back
    std::uint64_t back = 0;
    std::string text;
};
struct NewsAsk {
    int part = 0;
    std::uint64_t token = 0;
    std::uint64_t epoch = 0;
    Sequence have;
    std::uint64_t live_digest = 0;  // of the list it holds
    Microseconds live_age = 0;
    bool whole = false;  // a difference did not fit
};
struct NewsAnswer {
    int part = 0;
    std::uint64_t token = 0;
    Record record;
    bool proven = false;  // a licensed owner stood behind this `age` ago
    Microseconds age = 0;
    Sequence sequence;  // what the answerer holds
    std::optional<NewsCopy> copy;
    std::uint64_t live_digest = 0;
    std::string live;  // the replica list, where it differs and is newer
    Microseconds live_age = 0;
};
// operator calls (design 7)
struct Call {
    int part = 0;
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
struct PartHeld {
    std::uint64_t epoch = 0;
    std::vector<std::string> voters;  // of a record that named a pair
    Sequence sequence;
    std::string document;
};
struct AnewAsk {
    std::uint64_t token = 0;
};
struct AnewAnswer {
    std::uint64_t token = 0;
    std::vector<PartHeld> parts;
};
struct FormAnew {
    std::uint64_t epoch = 0;
    std::vector<std::string> voters;
    std::vector<PartHeld> parts;
};
// claims of run-once tickets (design 10.5)
enum class ClaimState : int { not_here, granted, seen, full };
struct ClaimAsk {
    int part = 0;
    std::uint64_t token = 0;
    std::string key;
    std::string ticket;
    bool release = false;  // that ticket was shed: it never ran
};
struct ClaimAnswer {
    int part = 0;
    std::uint64_t token = 0;
    std::uint64_t epoch = 0;
    int state = 0;
};
struct ClaimFlight {
    int part = 0;
    Record record;
    std::uint64_t life = 0;  // of the owner
    std::uint64_t number = 0;
    std::string claims;
};
struct ClaimFlown {
    int part = 0;
    std::uint64_t epoch = 0;
    std::uint64_t life = 0;
    std::uint64_t number = 0;
};
// granting entry and prefix digests (design 9)
struct BurdenDigest {
    std::uint64_t number = 0;
    std::string body;
};
// load through relays (design 9.8); the bodies are texts of ticket/load
struct LoadTold {  // a node to its relay
    std::uint64_t number = 0;
    std::uint64_t heard = 0;  // the sum that it holds of this relay; 0: none
    std::string body;
};
struct LoadShare {  // a relay to the other relays: its own nodes together
    std::uint64_t number = 0;
    std::int64_t nodes = 0;
    std::string body;
    std::vector<std::string> names;   // of its nodes, now and then,
    std::vector<std::int64_t> rates;  // and what each placed in the last second
};
struct LoadSum {  // a relay's answer to a node: all nodes together
    std::uint64_t number = 0;
    std::uint64_t base = 0;     // the sum that the body is a difference from; 0: whole
    std::uint64_t echo = 0;     // the number of this node's own word that is in it; 0: none
    std::int64_t echo_age = 0;  // how old that word was, in milliseconds
    std::int64_t nodes = 0;
    std::string body;
};
// changes of kept prompts (design 9.9)
struct KeptBatch {  // what a replica or store told when it was read once
    std::string source;
    bool store = false;
    std::string life;  // changes when the source restarts
    std::uint64_t from = 0;
    std::uint64_t next = 0;    // number of the first event after these
    bool anew = false;         // what it told before no longer holds
    std::vector<std::string> weights;
    std::string changes;  // text of kept_feed
};
struct FeedAsk {
    std::uint64_t feed = 0;  // the log read before, and how far
    std::uint64_t position = 0;
    bool own = false;  // only what the asked node read itself
};
struct FeedAnswer {
    std::uint64_t feed = 0;
    std::uint64_t position = 0;  // where the next question goes on
    std::vector<KeptBatch> batches;
};

using Message = std::variant<
    Probe, ProbeAnswer, ProbeFor, Prepare, Promise, Accept, Accepted, Refusal, Decided, LicenceAsk, LicenceGrant, Beat,
    Append, Appended, CopyOffer, CopyTaken, SpareOffer, NewsAsk, NewsAnswer, CallForward, CallAnswer, BurdenDigest,
    ClaimAsk, ClaimAnswer, ClaimFlight, ClaimFlown, AnewAsk, AnewAnswer, FormAnew, LoadTold, LoadShare, LoadSum, FeedAsk,
    FeedAnswer>;

inline constexpr auto message_names = std::to_array<std::string_view>(
    {"probe",         "probe-answer", "probe-for",    "prepare",       "promise",     "accept",       "accepted",
     "refusal",       "decided",      "licence-ask",  "licence-grant", "beat",        "append",       "appended",
     "copy-offer",    "copy-taken",   "spare-offer",  "news-ask",      "news-answer", "call-forward", "call-answer",
     "burden-digest", "claim-ask",    "claim-answer", "claim-flight",  "claim-flown", "anew-ask",     "anew-answer",
     "form-anew",     "load-told",    "load-share",   "load-sum",
     "feed-ask",      "feed-answer"});
static_assert(message_names.size() == std::variant_size_v<Message>);

auto write_message(Message const& message) -> std::string;
auto read_message(std::string_view text) -> std::optional<Message>;

}  // namespace dockrock

#include "process/machine/messages_adapted.hpp"

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

using Message = std::variant<
    Probe, ProbeAnswer, ProbeFor, Prepare, Promise, Accept, Accepted, Refusal, Decided, LicenceAsk, LicenceGrant, Beat,
    Append, Appended, CopyOffer, CopyTaken, SpareOffer, NewsAsk, NewsAnswer, CallForward, CallAnswer, BurdenDigest,
    ClaimAsk, ClaimAnswer, ClaimFlight, ClaimFlown>;

inline constexpr auto message_names = std::to_array<std::string_view>(
    {"probe",         "probe-answer", "probe-for",    "prepare",       "promise",     "accept",       "accepted",
     "refusal",       "decided",      "licence-ask",  "licence-grant", "beat",        "append",       "appended",
     "copy-offer",    "copy-taken",   "spare-offer",  "news-ask",      "news-answer", "call-forward", "call-answer",
     "burden-digest", "claim-ask",    "claim-answer", "claim-flight",  "claim-flown"});
static_assert(message_names.size() == std::variant_size_v<Message>);

auto write_message(Message const& message) -> std::string;
auto read_message(std::string_view text) -> std::optional<Message>;

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(dockrock::Probe, token, members);
BOOST_HANA_ADAPT_STRUCT(dockrock::ProbeAnswer, token, members);
BOOST_HANA_ADAPT_STRUCT(dockrock::ProbeFor, token, target);
BOOST_HANA_ADAPT_STRUCT(dockrock::Prepare, part, epoch, ballot, proof);
BOOST_HANA_ADAPT_STRUCT(dockrock::Promise, part, epoch, ballot, accepted_ballot, accepted);
BOOST_HANA_ADAPT_STRUCT(dockrock::Accept, part, epoch, ballot, record, proof);
BOOST_HANA_ADAPT_STRUCT(dockrock::Accepted, part, epoch, ballot);
BOOST_HANA_ADAPT_STRUCT(dockrock::Refusal, part, epoch, promised, decided);
BOOST_HANA_ADAPT_STRUCT(dockrock::Decided, part, record);
BOOST_HANA_ADAPT_STRUCT(dockrock::LicenceAsk, part, record, asked_at);
BOOST_HANA_ADAPT_STRUCT(dockrock::LicenceGrant, part, epoch, asked_at);
BOOST_HANA_ADAPT_STRUCT(dockrock::Beat, part, record, sequence);
BOOST_HANA_ADAPT_STRUCT(dockrock::Append, part, record, copy);
BOOST_HANA_ADAPT_STRUCT(dockrock::Appended, part, epoch, sequence);
BOOST_HANA_ADAPT_STRUCT(dockrock::CopyOffer, part, epoch, ballot, copy, claims);
BOOST_HANA_ADAPT_STRUCT(dockrock::CopyTaken, part, epoch, ballot);
BOOST_HANA_ADAPT_STRUCT(dockrock::SpareOffer, part, record, copy);
BOOST_HANA_ADAPT_STRUCT(dockrock::NewsCopy, sequence, digest, whole, front, back, text);
BOOST_HANA_ADAPT_STRUCT(dockrock::NewsAsk, part, token, epoch, have, live_digest, live_age, whole);
BOOST_HANA_ADAPT_STRUCT(
    dockrock::NewsAnswer, part, token, record, proven, age, sequence, copy, live_digest, live, live_age);
BOOST_HANA_ADAPT_STRUCT(dockrock::Call, part, identity, operation, if_match, body);
BOOST_HANA_ADAPT_STRUCT(dockrock::CallForward, token, hops, origin, call);
BOOST_HANA_ADAPT_STRUCT(dockrock::CallAnswer, token, status, body, etag);
BOOST_HANA_ADAPT_STRUCT(dockrock::BurdenDigest, number, body);
BOOST_HANA_ADAPT_STRUCT(dockrock::ClaimAsk, part, token, key, ticket, release);
BOOST_HANA_ADAPT_STRUCT(dockrock::ClaimAnswer, part, token, epoch, state);
BOOST_HANA_ADAPT_STRUCT(dockrock::ClaimFlight, part, record, life, number, claims);
BOOST_HANA_ADAPT_STRUCT(dockrock::ClaimFlown, part, epoch, life, number);

#pragma once
// What nodes say to each other. docs/design.md sections 3 to 8.
#include <array>
#include <string_view>
#include <variant>

#include "process/machine/reading.hpp"

namespace dockrock {

struct Sequence {  // version of a part's copy: only ever rises
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
    auto operator<=>(Sequence const&) const = default;
};
struct Ballot {
    std::uint64_t round = 0;
    std::string node;
    auto operator<=>(Ballot const&) const = default;
};
struct Record {  // one decision about a part: who holds it, who votes on the next
    std::uint64_t epoch = 0;
    std::string primary;
    std::string understudy;
    std::vector<std::string> voters;
    auto operator==(Record const&) const -> bool = default;
};
struct Outcome {  // what became of a change, kept under the caller's identity
    std::string identity;
    Sequence sequence;
    std::uint64_t digest = 0;
};
struct Copy {
    Sequence sequence;
    std::string document;
    std::vector<Outcome> outcomes;
};
enum class MemberState : int { alive, suspect, dead };
struct Member {
    std::string identity;
    std::string control_address;
    std::string http_address;
    std::string area;
    bool core = false;
    bool knows_fleet = false;
    bool resting = false;
    std::uint64_t incarnation = 0;
    int state = 0;
};

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
struct NewsAsk {
    int part = 0;
    std::uint64_t token = 0;
    std::uint64_t epoch = 0;
    Sequence have;
    std::uint64_t have_live = 0;
};
struct NewsAnswer {
    int part = 0;
    std::uint64_t token = 0;
    Record record;
    bool proven = false;  // a licensed owner stood behind this `age` ago
    Microseconds age = 0;
    Sequence sequence;  // what the answerer holds
    std::optional<Copy> copy;
    std::uint64_t live_number = 0;
    std::string live;  // replica list and roll-out state, where newer
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
// granting entry and prefix digests (design 9)
struct BurdenDigest {
    std::uint64_t number = 0;
    std::string body;
};

using Message = std::variant<
    Probe, ProbeAnswer, ProbeFor, Prepare, Promise, Accept, Accepted, Refusal, Decided, LicenceAsk, LicenceGrant, Beat,
    Append, Appended, CopyOffer, CopyTaken, SpareOffer, NewsAsk, NewsAnswer, CallForward, CallAnswer, BurdenDigest>;

inline constexpr auto message_names = std::to_array<std::string_view>(
    {"probe",       "probe-answer", "probe-for",   "prepare",      "promise",       "accept",
     "accepted",    "refusal",      "decided",     "licence-ask",  "licence-grant", "beat",
     "append",      "appended",     "copy-offer",  "copy-taken",   "spare-offer",   "news-ask",
     "news-answer", "call-forward", "call-answer", "burden-digest"});
static_assert(message_names.size() == std::variant_size_v<Message>);

auto write_message(Message const& message) -> std::string;
auto read_message(std::string_view text) -> std::optional<Message>;

inline auto etag_of(Sequence const& sequence) -> std::string {
    return "\"" + std::to_string(sequence.epoch) + "." + std::to_string(sequence.number) + "\"";
}

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(dockrock::Sequence, epoch, number);
BOOST_HANA_ADAPT_STRUCT(dockrock::Ballot, round, node);
BOOST_HANA_ADAPT_STRUCT(dockrock::Record, epoch, primary, understudy, voters);
BOOST_HANA_ADAPT_STRUCT(dockrock::Outcome, identity, sequence, digest);
BOOST_HANA_ADAPT_STRUCT(dockrock::Copy, sequence, document, outcomes);
BOOST_HANA_ADAPT_STRUCT(
    dockrock::Member, identity, control_address, http_address, area, core, knows_fleet, resting, incarnation, state);
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
BOOST_HANA_ADAPT_STRUCT(dockrock::CopyOffer, part, epoch, ballot, copy);
BOOST_HANA_ADAPT_STRUCT(dockrock::CopyTaken, part, epoch, ballot);
BOOST_HANA_ADAPT_STRUCT(dockrock::SpareOffer, part, record, copy);
BOOST_HANA_ADAPT_STRUCT(dockrock::NewsAsk, part, token, epoch, have, have_live);
BOOST_HANA_ADAPT_STRUCT(
    dockrock::NewsAnswer, part, token, record, proven, age, sequence, copy, live_number, live, live_age);
BOOST_HANA_ADAPT_STRUCT(dockrock::Call, part, identity, operation, if_match, body);
BOOST_HANA_ADAPT_STRUCT(dockrock::CallForward, token, hops, origin, call);
BOOST_HANA_ADAPT_STRUCT(dockrock::CallAnswer, token, status, body, etag);
BOOST_HANA_ADAPT_STRUCT(dockrock::BurdenDigest, number, body);

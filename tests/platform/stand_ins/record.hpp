#pragma once
// Everything that clients, replicas, the operator and the platform saw, with
// its time; the rules are judged on this alone.
#include <limits>

#include "configuration.hpp"
#include "seal.hpp"

namespace dockrock::platform_stand_in {

struct Sent {  // one try of a client
    std::string identity;
    Milliseconds at = 0;
    std::string node, method, host, target, key;
    std::uint64_t body = 0;  // digest
    bool repeatable = false, stream = false, resume = false;
    std::int64_t last_event = 0;
    bool kept = false;                                              // on a connection that had served before
    Milliseconds until = std::numeric_limits<Milliseconds>::max();  // its deadline
};
struct Answer {
    std::string identity;
    Milliseconds at = 0;
    std::int64_t status = 0;  // 0: none
    std::string echoed, seal, encoding, body;
    bool complete = false;   // it looked so to the client
    bool malformed = false;  // bytes that are no answer
    bool extra = false;      // bytes after the answer, or an answer while none was due
    bool closed = false;     // the connection ended where an answer was due
};
struct UsedPart {  // kept memory that a run built on
    std::string tenant;
    std::int64_t version = 0;
};
struct Run {
    std::string identity, name, replica, service;
    Milliseconds at = 0;
    std::string method, host, target, tenant, model;
    std::uint64_t body = 0;
    bool key_seen = false;
    std::int64_t last_event = 0, version = 0, status = 200;
    std::vector<UsedPart> used;
    bool broke = false;    // the replica itself cut or spoiled its answer
    bool spoiled = false;  // by what is no answer: whoever passes that on is not excused
};
struct Arrival {  // a request as it reached a replica, run or not
    std::string identity, replica, service;
    Milliseconds at = 0;
    std::int64_t status = 0;
};
struct EarlyAnswer {  // given before a long body was in; the rest of that body was read later
    std::string identity, replica;
    std::uint64_t body = 0;  // what came in its place
    bool whole = false;      // or the connection ended
};
struct Order {
    std::string replica, holder;
    std::int64_t fence = 0, status = 0;
    Milliseconds at = 0;
};
struct Leaving {  // when the list first showed that a replica is leaving
    std::string replica;
    Milliseconds shown = 0;
};
enum class Outcome { unclear, acknowledged, refused };
struct Change {  // of the configuration, whole as it stands once taken
    json::object document;
    Configuration configuration;
    std::int64_t base = 0;
    Milliseconds sent = 0, answered = 0;
    Outcome outcome = Outcome::unclear;
    bool valid = true;
};
struct NamedVersion {
    std::string model;
    std::int64_t version = 0;
    Milliseconds acknowledged = 0;
};
struct ReadBack {
    Milliseconds at = 0;
    std::optional<json::object> document;  // nothing: it did not come
};
struct Glance {  // at the configuration, through one node
    std::string node;
    Milliseconds sent = 0, at = 0;
    std::int64_t status = 0;
    std::optional<json::object> document;
};
struct Repeated {  // a change that a node had taken, sent again as it was
    std::int64_t version = 0, status = 0;
    Milliseconds sent = 0, at = 0;
};
struct Ended {  // a replica
    std::string replica;
    Milliseconds at = 0;
};
struct Span {
    Milliseconds from = 0, to = 0;
};
struct NodeSpan {
    std::string node;  // "*": every one
    Milliseconds from = 0, to = 0;
};
struct Start {  // of a node's process
    std::string node;
    Milliseconds at = 0;
};

struct Record {
    std::vector<Sent> sent;
    std::vector<Answer> answers;
    std::vector<Run> runs;
    std::vector<Arrival> arrivals;
    std::vector<EarlyAnswer> early;
    std::vector<Order> orders;
    std::vector<Leaving> leaving;
    std::deque<Change> changes;  // a deque: changes are held by reference while they are sent
    std::vector<NamedVersion> versions;
    std::vector<ReadBack> reads;
    std::vector<Span> troubles;  // an open one ends in the far future
    std::vector<Start> starts;
    std::vector<Glance> glances;
    std::vector<Repeated> repeated;
    std::vector<Ended> ended;
    // Told by whoever made the troubles, with the time that each needs to be over.
    std::vector<NodeSpan> away;   // not in touch
    std::vector<NodeSpan> apart;  // not even with an unsettled core left out of account
    std::vector<Span> rough;      // the core unsettled, or a link in trouble
    std::vector<NodeSpan> stops;  // planned: from a SIGTERM until 1 s after `graceS`
    std::vector<Span> unplanned;  // any trouble that was not planned, and `contactMs` after it
};

struct Bounds {
    Milliseconds contact = 3000, drain = 3000, apply = 2000, revert = 250, revoke = 5000, lease = 3000,
                 version = 15'000, skew = 5000;
    Milliseconds retry_window = 10'000;
    double retry_ratio = 0.2, retry_slack = 58.0;
    bool revoked = true, fenced = true;
};
constexpr auto bound_fields = std::tuple(
    field("contactMs", &Bounds::contact), field("drainMs", &Bounds::drain), field("applyMs", &Bounds::apply),
    field("revertMs", &Bounds::revert), field("revokeMs", &Bounds::revoke), field("leaseMs", &Bounds::lease),
    field("verMs", &Bounds::version), field("skewMs", &Bounds::skew), field("retryWindowMs", &Bounds::retry_window),
    field("retryRatio", &Bounds::retry_ratio), field("retrySlack", &Bounds::retry_slack),
    field("revoked", &Bounds::revoked), field("fenced", &Bounds::fenced));

}  // namespace dockrock::platform_stand_in

#pragma once
// Replicas of the platform, and stores of kept parts: many in one process,
// each at its own address.
#include "kept.hpp"
#include "record.hpp"

namespace dockrock::platform_stand_in {

struct ReplicaOptions {
    std::string service, address, zone, health_path = "/health", model, software = "v1";
    std::int64_t slots = 8, queue = 16, max_connections = 100, idle_seconds = 10, max_inflight = 12, chunk = 5;
    std::int64_t version = 1;  // of its weights, at the start
    Milliseconds step = 4, first = 5, load = 300, report_lag = 100;
    std::int64_t read_per_millisecond = 150;    // tokens of a prompt
    std::int64_t moved_per_millisecond = 2000;  // kept tokens, from another
    bool load_header = true, fenced = true, store = false;
};
constexpr auto replica_fields = std::tuple(
    field("svc", &ReplicaOptions::service), field("addr", &ReplicaOptions::address),
    field("zone", &ReplicaOptions::zone), field("healthPath", &ReplicaOptions::health_path),
    field("model", &ReplicaOptions::model), field("slots", &ReplicaOptions::slots),
    field("queue", &ReplicaOptions::queue), field("maxConns", &ReplicaOptions::max_connections),
    field("idleS", &ReplicaOptions::idle_seconds), field("maxInflight", &ReplicaOptions::max_inflight),
    field("chunk", &ReplicaOptions::chunk), field("ver", &ReplicaOptions::version),
    field("stepMs", &ReplicaOptions::step), field("firstMs", &ReplicaOptions::first),
    field("loadMs", &ReplicaOptions::load), field("reportLagMs", &ReplicaOptions::report_lag),
    field("readPerMs", &ReplicaOptions::read_per_millisecond),
    field("movedPerMs", &ReplicaOptions::moved_per_millisecond), field("loadHeader", &ReplicaOptions::load_header),
    field("fenced", &ReplicaOptions::fenced), field("store", &ReplicaOptions::store));
constexpr auto kept_fields = std::tuple(
    field("kvToks", &KeptOptions::tokens), field("events", &KeptOptions::events),
    field("eventsLagMs", &KeptOptions::events_lag), field("eventsLost", &KeptOptions::events_lost));

struct Faults {                    // shares of the answers, 0 to 1
    double cut = 0.0;              // ends in the middle
    double reset = 0.0;            // ran, and the connection is reset before the head
    double garble = 0.0;           // bytes that form no answer
    double spoiled = 0.0;          // an answer that is none, or is not what it seems (spoiled_answers.hpp)
    double extra = 0.0;            // more bytes at once after a complete answer
    double late = 0.0;             // one answer more, where the next is due
    std::int64_t spoiled_by = -1;  // the place of the one in the table; -1: any of them
    double fail = 0.0;             // its own 500
    double closing = 0.0;          // Connection: close now and then
    double early = 0.0;            // a long request is turned away before its body is in; the body is read later
    double unframed = 0.0;         // no length: the answer ends with its connection, at times in its middle by a reset
    double forget = 0.0;           // a rested connection is forgotten: what comes on it is reset
    Milliseconds rested = 400;     // how long a connection has been idle to be forgotten
    double slow = 1.0;             // times as long
    double lost_orders = 0.0;      // taken, and no answer comes
    double late_orders = 0.0;      // taken, and the answer comes late
    double busy_orders = 0.0;      // not taken: another one is said to be under way
    bool silent = false, unwell = false, no_events = false;
};
constexpr auto fault_fields = std::tuple(
    field("cut", &Faults::cut), field("reset", &Faults::reset), field("garble", &Faults::garble),
    field("spoiled", &Faults::spoiled), field("extra", &Faults::extra), field("late", &Faults::late),
    field("fail", &Faults::fail), field("closing", &Faults::closing), field("early", &Faults::early),
    field("unframed", &Faults::unframed), field("forget", &Faults::forget), field("restedMs", &Faults::rested),
    field("slow", &Faults::slow), field("lostOrders", &Faults::lost_orders), field("lateOrders", &Faults::late_orders),
    field("busyOrders", &Faults::busy_orders), field("silent", &Faults::silent), field("unwell", &Faults::unwell),
    field("noEvents", &Faults::no_events));

struct Replica;
struct Surroundings {  // what replicas share
    Record& record;
    Random& random;
    std::map<std::string, std::shared_ptr<Replica>> by_address;
    std::map<std::string, std::int64_t> newest;  // weights named so far, by model
    std::int64_t lives = 0;                      // makes each id new
};

struct Connection {
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::string owed;  // one answer more, before the next
};
using ConnectionPointer = std::shared_ptr<Connection>;

struct Waiting {  // for a slot
    std::int64_t urgency = 5, number = 0;
    std::shared_ptr<asio::steady_timer> bell;
    bool admitted = false;
};
struct Parsed {  // the head of a request, read
    std::string identity, model, salt, tenant;
    std::int64_t prompt = 0, out = 0, deadline = 0, last_event = 0, urgency = 5;
    bool stream = false;
    std::vector<Partition> parts;
};
auto parse_head(Request const& request) -> Parsed;

struct Replica {
    Surroundings& around;
    ReplicaOptions options;
    std::string id;
    Faults faults;
    Kept kept;
    bool alive = true, draining = false, loading = false;
    std::int64_t version = 1, sequence = 0, active = 0, inflight = 0, waited = 0, runs = 0, sheds = 0;
    std::int64_t spoiled = 0;                    // answers
    std::int64_t forgotten = 0;                  // connections that were reset as they were used again
    std::map<std::string, std::int64_t> fences;  // highest seen, by model
    std::list<std::shared_ptr<Waiting>> waiting;
    std::set<ConnectionPointer> connections;
    std::shared_ptr<tcp::acceptor> acceptor;
    std::deque<std::pair<Milliseconds, json::object>> reports;

    auto report() const -> json::object;
    auto note() -> void;   // the state as it is now, for a later report
    auto admit() -> void;  // gives free slots to those that wait
    auto end() -> void;    // resets every connection and stops listening
    auto reset(ConnectionPointer const& connection) -> void;
    auto hit(double share) -> bool { return chance(around.random, share); }
};
using ReplicaPointer = std::shared_ptr<Replica>;

// What a replica says besides its body; the lines of a head, each with its end.
auto common_lines(Replica& replica, std::string const& identity, bool closing) -> std::string;
auto reason_of(std::int64_t status) -> std::string_view;
auto whole_answer(std::int64_t status, std::string const& lines, std::string const& body) -> std::string;

auto start_replica(asio::io_context& context, Surroundings& around, ReplicaOptions options, KeptOptions kept)
    -> ReplicaPointer;  // nothing where the address is taken
auto send_text(ConnectionPointer connection, std::string text) -> awaitable<bool>;
auto turn_away(ReplicaPointer replica, ConnectionPointer connection, std::string identity, std::int64_t status)
    -> awaitable<bool>;
auto run_request(ReplicaPointer replica, ConnectionPointer connection, Request request) -> awaitable<bool>;
auto answer_control(ReplicaPointer replica, ConnectionPointer connection, Request request) -> awaitable<bool>;

}  // namespace dockrock::platform_stand_in

#pragma once
// How one wire speaks, for a fleet that relays requests as they are: names,
// formats, calls. A struct of functions, fixed at start; it decides nothing.
// docs/platform.md section 3.
#include <functional>

#include "connection/http_client.hpp"
#include "ticket/replica_load_table.hpp"
#include "version/services.hpp"

namespace dockrock {

// Names of headers; an empty one is not spoken.
struct HeaderNames {
    std::string request_identity;  // of one try of a client
    std::string deadline;          // milliseconds left
    std::string model;
    std::string tokens;      // "prompt,most out"
    std::string prefix;      // "part:tokens,part:tokens"
    std::string last_event;  // the last event that a resumed stream had
    std::string key;
    std::string tenant;
    std::string replica_wanted;
    std::string weights_wanted;
    std::string weights_reported;
    std::string salt;  // under which kept prompts are found
    std::string urgency;
    std::string fetch_from;
    std::string store_at;
    std::string stamp;  // the replica's, on every answer that counts
    std::string not_run;
    std::string replica;
    std::string load;  // "running,waiting,capacity"
};

struct ListPage {
    std::vector<ReplicaEntry> replicas;  // weights: what the list says of them
    std::string next;                    // empty on the last page
};
struct WeightsNamed {
    std::string model;
    std::int64_t version = 0;
};
// A replica's own word of its weights.
struct WeightsReport {
    std::map<std::string, std::int64_t> versions;  // by model
    bool busy = false;                             // an order is under way
    std::uint64_t orders = 0;                      // taken in this life
    std::int64_t waiting = 0;
    std::int64_t running = 0;
    std::int64_t memory_used = 0;
    std::int64_t memory = 0;
};
struct WeightsOrder {
    std::string model;
    std::int64_t version = 0;
    std::string holder;
    std::uint64_t fence = 0;
    std::optional<std::uint64_t> orders;  // expected number of orders taken
    std::string replica;                  // the life it is for
};
// What a replica or store tells of kept parts, later than it happened.
struct CacheEvent {
    std::uint64_t number = 0;
    bool cached = false;  // or given up, wholly or in part
    std::string salt;
    std::string part;
    std::int64_t tokens = 0;  // kept now
    std::string model;
};
struct CacheEvents {
    std::string life;  // changes when it restarts
    std::uint64_t next = 0;
    bool gap = false;  // some events are lost
    std::vector<CacheEvent> events;
};

struct WireProtocol {
    std::string name;
    HeaderNames headers;
    bool takes_content_codings = true;  // false: a success in a content coding is not the body that clients asked for
    std::string ready_path;
    std::string configuration_path;
    std::string weights_path;
    DocumentFormat documents;
    std::function<std::optional<WeightsNamed>(std::string_view body)> read_weights_named;
    // The platform's list of replicas.
    std::function<HttpCall(std::string const& page)> list_call;
    std::function<std::optional<ListPage>(std::string_view body)> read_list_page;
    // Replicas and stores.
    std::function<HttpCall()> report_call;
    std::function<std::optional<WeightsReport>(std::string_view body)> read_report;
    std::function<HttpCall(WeightsOrder const& order)> order_call;
    std::function<HttpCall(std::uint64_t since, Microseconds wait)> events_call;
    std::function<std::optional<CacheEvents>(std::string_view body)> read_events;
    std::function<HttpCall()> cache_call;
    std::function<std::optional<CacheEvents>(std::string_view body)> read_cache;  // all that is kept, as events
};

}  // namespace dockrock

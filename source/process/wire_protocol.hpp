#pragma once
// The wire protocol of a platform, for a fleet that relays requests unchanged: header
// names, formats, calls. A struct of functions, fixed at the start, without any policy.
// docs/platform.md section 3.
#include <functional>

#include "connection/http_client.hpp"
#include "ticket/replica_load_table.hpp"
#include "version/services.hpp"

namespace dockrock {

// Header names; an empty one is not used by the protocol.
struct HeaderNames {
    std::string request_identity;  // identifies one try of a client
    std::string deadline;          // milliseconds left
    std::string model;
    std::string tokens;      // "prompt,maximum output", in tokens
    std::string prefix;      // "part:tokens,part:tokens"
    std::string last_event;  // the last event that the client of a resumed stream received
    std::string key;
    std::string tenant;
    std::string replica_wanted;
    std::string weights_wanted;
    std::string weights_reported;
    std::string salt;  // the salt of prefix cache keys
    std::string urgency;
    std::string fetch_from;
    std::string store_at;
    std::string stamp;  // set by replicas; a successful answer without it is not accepted
    std::string not_run;
    std::string replica;
    std::string load;  // "running,waiting,capacity"
};

struct ListPage {
    std::vector<ReplicaEntry> replicas;  // `weights` as the list states them
    std::string next;                    // empty on the last page
};
struct WeightsNamed {
    std::string model;
    std::int64_t version = 0;
};
// A replica's report of its weights and load.
struct WeightsReport {
    std::map<std::string, std::int64_t> versions;  // by model
    bool busy = false;                             // an order is in progress
    std::uint64_t orders = 0;                      // number of orders accepted in this incarnation
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
    std::optional<std::uint64_t> orders;  // expected number of accepted orders
    std::string replica;                  // the replica incarnation that the order is for
};
// A change of the prefix cache of a replica or store, reported some time after it happened.
struct CacheEvent {
    std::uint64_t number = 0;
    bool cached = false;  // false: evicted, wholly or in part
    std::string salt;
    std::string part;
    std::int64_t tokens = 0;  // tokens cached now
    std::string model;
};
struct CacheEvents {
    std::string life;  // changes when the source restarts
    std::uint64_t next = 0;
    bool gap = false;  // some events were lost
    std::vector<CacheEvent> events;
};

struct WireProtocol {
    std::string name;
    HeaderNames headers;
    // false: a successful answer in a content coding is not the body that clients requested
    bool takes_content_codings = true;
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
    std::function<std::optional<CacheEvents>(std::string_view body)> read_cache;  // the whole cache, as events
};

}  // namespace dockrock

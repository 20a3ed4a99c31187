#pragma once
// Clients of the platform, and the way their connections reach edge nodes.
#include "http.hpp"
#include "record.hpp"

namespace dockrock::platform_stand_in {

struct Kind {  // of request
    std::string method = "POST", host, path, model, type = "idem";
    bool resume = false, open = false;
    double weight = 1.0;
    std::int64_t prompt = 400, out = 40, parts = 8, body = 200;
    Milliseconds deadline = 8000, target = 400, gap = 250;
    std::vector<std::string> keys;  // those of tenants that may send it; with none, all keys
};
constexpr auto kind_fields = std::tuple(
    field("method", &Kind::method), field("host", &Kind::host), field("path", &Kind::path),
    field("model", &Kind::model), field("type", &Kind::type), field("resume", &Kind::resume),
    field("public", &Kind::open), field("weight", &Kind::weight), field("prompt", &Kind::prompt),
    field("out", &Kind::out), field("parts", &Kind::parts), field("body", &Kind::body),
    field("deadlineMs", &Kind::deadline), field("targetMs", &Kind::target), field("gapMs", &Kind::gap));

struct Node {  // an edge node, as the platform sees it
    std::string front, ready;
    std::int64_t missed = 2;  // times in a row; from two on it gets no new connections
};
struct Entry {
    std::vector<Node> nodes;
    auto choose(Random& random) const -> std::string;
};
auto watch_node(std::shared_ptr<Entry> entry, std::size_t place, std::function<bool()> goes_on) -> awaitable<void>;

struct Clients {
    Record& record;
    Random& random;
    std::shared_ptr<Entry> entry;
    std::vector<Kind> kinds;
    std::vector<std::string> keys;
    std::map<std::string, std::vector<LinePointer>> idle;  // by front address
    std::map<std::string, std::int64_t> outcomes;          // served, refused, denied, failed
    std::map<std::string, std::map<std::string, std::int64_t>> by_path;
    std::vector<Milliseconds> first_pieces;
    double rate = 20.0, reuse = 0.5;
    Milliseconds until = 0;
    std::int64_t open = 0;
    bool hasty = false;  // does not wait as told
};
struct Requesting {  // one request of a client, through all its tries
    Kind kind;
    std::string key, parts, body;
    std::int64_t last_event = 0;
};
auto draw_request(Clients& clients) -> Requesting;
auto draw_request_of(Clients& clients, Kind const& kind) -> Requesting;
auto is_repeatable(Kind const& kind) -> bool;
auto may_try_again(Kind const& kind, Reply const& reply) -> bool;
auto ask(Clients& clients, Requesting requesting) -> awaitable<std::string>;  // how it ended
// One try at one node, on a kept connection where there is one; its status, 0 without an answer.
auto probe(Clients& clients, Requesting requesting, std::string node) -> awaitable<std::int64_t>;
auto send_traffic(Clients& clients) -> awaitable<void>;

}  // namespace dockrock::platform_stand_in

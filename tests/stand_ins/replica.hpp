#pragma once
// What a stand-in replica keeps and says of itself. Not product.
#include <deque>
#include <numeric>
#include <set>

#include "common.hpp"

namespace dockrock::stand_in {

struct ReplicaOptions {
    std::string name, address, weights, store;
    std::int64_t capacity = 4, memory = 200'000, token_microseconds = 2'000, prefill_rate = 20'000, link_rate = 200'000,
                 load_milliseconds = 500, event_gap = 0;
};

struct Kept {
    std::string tenant, wall, weights;
    std::int64_t tokens = 0;
};

struct Replica {
    ReplicaOptions options;
    asio::io_context context{1};
    Recorder record;
    std::string incarnation;
    std::string weights;
    bool changing = false;
    std::uint64_t fence = 0;
    std::int64_t queued_slots = 0, active_slots = 0, used_memory = 0, cached_tokens = 0;
    std::map<std::uint64_t, Kept> kept;
    std::deque<std::uint64_t> kept_order;
    std::set<std::string> seen;
    std::deque<json::object> events;
    std::uint64_t next_event = 0;
    bool no_events = false;  // planted by POST /fault, for good
    Microseconds events_late = 0;
    std::string fault;  // planted by POST /fault, for one run

    auto tell(std::string const& kind, std::uint64_t chain) -> void {
        if (no_events) return;
        json::object event;
        event["number"] = next_event++;
        event["kind"] = kind;
        event["chain"] = std::to_string(chain);
        event["told_at"] = clock_now() + events_late;
        events.push_back(std::move(event));
        if (events.size() > 2'000) events.pop_front();
        if (options.event_gap > 0 && next_event % static_cast<std::uint64_t>(options.event_gap) == 0) events.clear();
    }
    auto free_memory() const -> std::int64_t { return options.memory - used_memory; }
    auto keep(std::uint64_t chain, Kept item) -> void {
        if (kept.contains(chain)) return;
        while (cached_tokens + item.tokens > options.memory / 2 && !kept_order.empty()) {
            auto const oldest = kept_order.front();
            kept_order.pop_front();
            cached_tokens -= kept[oldest].tokens;
            kept.erase(oldest);
            tell("dropped", oldest);
        }
        cached_tokens += item.tokens;
        kept[chain] = std::move(item);
        kept_order.push_back(chain);
        tell("kept", chain);
    }
    auto refuse(tcp::socket& socket, Request const& request, std::string reason) -> awaitable<bool> {
        record.write(fields(
            "event", "refused", "reason", reason, "identity", text_of(read_object(request.body()), "identity"),
            "ticket", text_of(read_object(request.body()), "ticket")));
        co_return co_await reply(socket, request, 409, json::serialize(fields("ran", false, "reason", reason)));
    }
    auto run(tcp::socket& socket, Request const& request) -> awaitable<bool>;
    auto change_weights(std::string wanted) -> awaitable<void>;
    auto handle(tcp::socket& socket, Request const& request) -> awaitable<bool>;
};

inline auto Replica::change_weights(std::string wanted) -> awaitable<void> {
    changing = true;
    while (queued_slots > 0) co_await sleep_for(20'000);  // running answers finish first
    co_await sleep_for(options.load_milliseconds * one_millisecond);
    weights = wanted;
    kept.clear();
    kept_order.clear();
    cached_tokens = 0;
    tell("cleared", 0);
    changing = false;
    record.write(fields("event", "weights", "weights", weights));
}

}  // namespace dockrock::stand_in

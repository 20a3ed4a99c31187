// stand-in-replica: a model replica that keeps prefixes, refuses what it must
// and writes down every run. Not product; docs/interfaces.md gives the format.
#include <deque>
#include <list>
#include <random>
#include <set>

#include "common.hpp"

namespace {

using namespace dockrock;
using namespace dockrock::stand_in;

struct Options {
    std::string name, address, weights, store;
    std::int64_t capacity = 4, memory = 200'000, token_microseconds = 2'000, prefill_rate = 20'000, link_rate = 200'000, load_milliseconds = 500, event_gap = 0;
};

struct Kept {
    std::string tenant, wall, weights;
    std::int64_t tokens = 0;
};

struct Replica {
    Options options;
    asio::io_context context{1};
    Recorder record;
    std::string incarnation;
    std::string weights;
    bool changing = false;
    std::uint64_t fence = 0;
    std::int64_t queued_slots = 0, active_slots = 0, used_memory = 0, kept_tokens = 0;
    std::map<std::uint64_t, Kept> kept;
    std::deque<std::uint64_t> kept_order;
    std::set<std::string> seen;
    std::deque<json::object> events;
    std::uint64_t next_event = 0;
    std::string fault;  // planted by POST /fault, for one run

    auto tell(std::string const& kind, std::uint64_t chain) -> void {
        json::object event;
        event["number"] = next_event++;
        event["kind"] = kind;
        event["chain"] = std::to_string(chain);
        events.push_back(std::move(event));
        if (events.size() > 2'000) events.pop_front();
        if (options.event_gap > 0 && next_event % static_cast<std::uint64_t>(options.event_gap) == 0) events.clear();
    }
    auto free_memory() const -> std::int64_t { return options.memory - used_memory; }
    auto keep(std::uint64_t chain, Kept item) -> void {
        if (kept.contains(chain)) return;
        while (kept_tokens + item.tokens > options.memory / 2 && !kept_order.empty()) {
            auto const oldest = kept_order.front();
            kept_order.pop_front();
            kept_tokens -= kept[oldest].tokens;
            kept.erase(oldest);
            tell("dropped", oldest);
        }
        kept_tokens += item.tokens;
        kept[chain] = std::move(item);
        kept_order.push_back(chain);
        tell("kept", chain);
    }
    auto refuse(tcp::socket& socket, Request const& request, std::string reason) -> awaitable<bool> {
        record.write(fields("event", "refused", "reason", reason, "identity", text_of(read_object(request.body()), "identity")));
        co_return co_await reply(socket, request, 409, json::serialize(fields("ran", false, "reason", reason)));
    }
    auto run(tcp::socket& socket, Request const& request) -> awaitable<bool>;
    auto change_weights(std::string wanted) -> awaitable<void>;
    auto handle(tcp::socket& socket, Request const& request) -> awaitable<bool>;
};

auto Replica::change_weights(std::string wanted) -> awaitable<void> {
    changing = true;
    while (queued_slots > 0) co_await sleep_for(20'000);  // running answers finish first
    co_await sleep_for(options.load_milliseconds * one_millisecond);
    weights = wanted;
    kept.clear();
    kept_order.clear();
    kept_tokens = 0;
    tell("cleared", 0);
    changing = false;
    record.write(fields("event", "weights", "weights", weights));
}

auto Replica::run(tcp::socket& socket, Request const& request) -> awaitable<bool> {
    auto const body = read_object(request.body());
    auto const identity = text_of(body, "identity");
    auto const slots = std::max<std::int64_t>(1, number_of(body, "slots"));
    std::vector<std::uint64_t> chain;
    std::vector<std::int64_t> tokens;
    if (auto const* list = body.if_contains("chain"); list != nullptr && list->is_array())
        for (auto const& item : list->as_array()) chain.push_back(std::strtoull(item.as_string().c_str(), nullptr, 10));
    if (auto const* list = body.if_contains("chain_tokens"); list != nullptr && list->is_array())
        for (auto const& item : list->as_array()) tokens.push_back(item.to_number<std::int64_t>());
    auto const prefix_tokens = std::accumulate(tokens.begin(), tokens.end(), std::int64_t{0});
    auto const given = text_of(body, "incarnation");
    if (fault == "crash-before") std::_Exit(3);
    if (!given.empty() && given != incarnation) co_return co_await refuse(socket, request, "restarted");
    if (changing || text_of(body, "weights") != weights) co_return co_await refuse(socket, request, "weights");
    if (body.contains("run_once") && body.at("run_once").as_bool() && seen.contains(identity)) co_return co_await refuse(socket, request, "seen");
    if (queued_slots > 4 * options.capacity) co_return co_await refuse(socket, request, "busy");
    auto const wall = text_of(body, "wall");
    auto const tenant = text_of(body, "tenant");
    auto kept_here = std::int64_t{0};
    auto touched = std::string{};
    auto prefix_so_far = std::int64_t{0};
    for (auto index = std::size_t{0}; index < chain.size() && index < tokens.size(); ++index) {
        prefix_so_far += tokens[index];
        if (auto const found = kept.find(chain[index]); found != kept.end()) {
            kept_here = prefix_so_far;
            touched = found->second.tenant;
            if (found->second.wall != wall || found->second.weights != weights) record.write(fields("event", "violation", "what", "kept memory of another wall or other weights", "identity", identity));
        }
    }
    auto const memory = number_of(body, "prompt_tokens") + number_of(body, "max_tokens") + prefix_tokens - kept_here;
    if (free_memory() < memory) co_return co_await refuse(socket, request, "memory");
    seen.insert(identity);
    used_memory += memory;
    queued_slots += slots;
    auto const overload = queued_slots > 4 * options.capacity + slots;
    record.write(fields("event", "run", "identity", identity, "tenant", tenant, "wall", wall, "weights", weights, "kept", kept_here, "touched", touched, "prefix", prefix_tokens,
                        "running", queued_slots, "overload", overload, "kind", text_of(body, "kind")));
    auto const leave = [&](std::string how, std::int64_t pieces) {
        used_memory -= memory;
        queued_slots -= slots;
        record.write(fields("event", "end", "identity", identity, "how", how, "pieces", pieces));
    };
    while (active_slots + slots > options.capacity && active_slots > 0) co_await sleep_for(2'000);
    active_slots += slots;
    auto missing = prefix_tokens - kept_here;
    auto fetched = std::int64_t{0};
    auto took = Microseconds{0};
    if (auto const source = text_of(body, "fetch_source"); !source.empty() && missing > 0) {
        auto const began = clock_now();
        auto const target = "/prefix?chain=" + std::to_string(chain.empty() ? 0 : chain.back()) + "&tokens=" + std::to_string(missing) + "&weights=" + weights;
        auto const ask = http_ask(http::verb::get, target);
        auto const answer = co_await http_call(source, ask, number_of(body, "fetch_limit_microseconds"));
        took = clock_now() - began;
        if (answer.status == 200) fetched = missing;
        missing -= fetched;
        record.write(fields("event", "fetch", "identity", identity, "worked", fetched > 0, "tokens", fetched, "took", took));
    }
    co_await sleep_for((missing + number_of(body, "prompt_tokens")) * one_second / options.prefill_rate);
    auto held = std::int64_t{0};
    for (auto index = std::size_t{0}; index < chain.size() && index < tokens.size(); ++index) keep(chain[index], {tenant, wall, weights, tokens[index]}), held += tokens[index];
    if (!options.store.empty() && missing > 0 && !chain.empty())
        asio::co_spawn(context, http_call(options.store, http_ask(http::verb::put, "/prefix?chain=" + std::to_string(chain.back()) + "&weights=" + weights, "kept"), one_second), asio::detached);
    auto head = http::response<http::empty_body>(http::status::ok, 11);
    head.set(http::field::content_type, "application/x-ndjson");
    head.set("Kept-Tokens", std::to_string(kept_here));
    head.set("Fetched-Tokens", std::to_string(fetched));
    head.set("Fetch-Microseconds", std::to_string(took));
    head.keep_alive(false);
    head.chunked(true);
    auto serializer = http::response_serializer<http::empty_body>(head);
    auto [failure, size] = co_await http::async_write_header(socket, serializer, use_tuple);
    auto const pieces = std::max<std::int64_t>(1, number_of(body, "max_tokens") / 16);
    auto piece = std::int64_t{0};
    for (; piece < pieces && !failure; ++piece) {
        co_await sleep_for(16 * options.token_microseconds);
        if (fault == "crash-during" && piece >= 2) std::_Exit(3);
        auto number = fault == "repeat-piece" && piece == 2 ? piece - 1 : piece;
        auto const line = json::serialize(fields("piece", number, "text", identity + ":" + std::to_string(piece), "run", incarnation)) + "\n";
        std::tie(failure, size) = co_await asio::async_write(socket, http::make_chunk(asio::buffer(line)), use_tuple);
    }
    if (!failure) {
        auto const line = json::serialize(fields("done", true, "pieces", pieces)) + "\n";
        std::tie(failure, size) = co_await asio::async_write(socket, http::make_chunk(asio::buffer(line)), use_tuple);
        if (fault == "crash-after") std::_Exit(3);
        if (!failure) std::tie(failure, size) = co_await asio::async_write(socket, http::make_chunk_last(), use_tuple);
    }
    if (fault == "repeat-piece") fault.clear();
    active_slots -= slots;
    leave(failure ? "cancelled" : "finished", piece);
    co_return false;
}

auto Replica::handle(tcp::socket& socket, Request const& request) -> awaitable<bool> {
    auto const target = std::string_view(request.target().data(), request.target().size());
    if (target == "/run") co_return co_await run(socket, request);
    if (target.starts_with("/report")) {
        auto const after = std::strtoull(query_value(target, "after").c_str(), nullptr, 10);
        json::array list;
        auto first = next_event;
        for (auto const& event : events) {
            auto const number = static_cast<std::uint64_t>(number_of(event, "number"));
            if (number < after) continue;
            first = std::min(first, number);
            list.push_back(event);
        }
        auto report = fields("incarnation", incarnation, "weights", weights, "changing", changing, "free_memory", free_memory(), "fence", fence, "first_event", first, "next_event", next_event);
        report["events"] = std::move(list);
        co_return co_await reply(socket, request, 200, json::serialize(report));
    }
    if (target == "/weights") {
        auto const body = read_object(request.body());
        auto const number = static_cast<std::uint64_t>(number_of(body, "fence"));
        auto const accepted = number >= fence;
        record.write(fields("event", "order", "fence", number, "accepted", accepted, "holder", text_of(body, "holder"), "weights", text_of(body, "weights")));
        if (!accepted) co_return co_await reply(socket, request, 409, json::serialize(fields("error", "an order under a newer fence was taken", "fence", fence)));
        fence = number;
        if (!changing && text_of(body, "weights") != weights) asio::co_spawn(context, change_weights(text_of(body, "weights")), asio::detached);
        co_return co_await reply(socket, request, 200, "{}");
    }
    if (target.starts_with("/prefix")) {
        auto const chain = std::strtoull(query_value(target, "chain").c_str(), nullptr, 10);
        auto const good = kept.contains(chain) && query_value(target, "weights") == weights;
        if (good) co_await sleep_for(std::strtoll(query_value(target, "tokens").c_str(), nullptr, 10) * one_second / options.link_rate);
        co_return co_await reply(socket, request, good ? 200 : 404, "{}");
    }
    if (target == "/fault") {
        fault = text_of(read_object(request.body()), "kind");
        co_return co_await reply(socket, request, 200, "{}");
    }
    co_return co_await reply(socket, request, 404, "{}");
}

}  // namespace

auto main(int argument_count, char** arguments) -> int {
    auto command = TCLAP::CmdLine("stand-in-replica: plays a model replica for tests", ' ', "0.1.0");
    auto name = TCLAP::ValueArg<std::string>("", "name", "name", true, "", "NAME", command);
    auto address = TCLAP::ValueArg<std::string>("", "address", "IP:port", true, "", "IP:PORT", command);
    auto weights = TCLAP::ValueArg<std::string>("", "weights", "weights served", true, "", "NAME", command);
    auto store = TCLAP::ValueArg<std::string>("", "store", "prefix store", false, "", "IP:PORT", command);
    auto record = TCLAP::ValueArg<std::string>("", "record", "record file", false, "", "FILE", command);
    auto capacity = TCLAP::ValueArg<std::int64_t>("", "capacity", "slots at once", false, 4, "COUNT", command);
    auto memory = TCLAP::ValueArg<std::int64_t>("", "memory", "cache memory in tokens", false, 200'000, "TOKENS", command);
    auto token = TCLAP::ValueArg<std::int64_t>("", "token-microseconds", "time for a token", false, 2'000, "MICROSECONDS", command);
    auto prefill = TCLAP::ValueArg<std::int64_t>("", "prefill-rate", "prefix tokens each second", false, 20'000, "TOKENS", command);
    auto link = TCLAP::ValueArg<std::int64_t>("", "link-rate", "tokens each second to peers", false, 200'000, "TOKENS", command);
    auto load = TCLAP::ValueArg<std::int64_t>("", "load-milliseconds", "time to load weights", false, 500, "MILLISECONDS", command);
    auto gap = TCLAP::ValueArg<std::int64_t>("", "event-gap", "lose prefix events each COUNT events", false, 0, "COUNT", command);
    command.parse(argument_count, arguments);
    auto replica = std::make_unique<Replica>();
    replica->options = {name.getValue(), address.getValue(), weights.getValue(), store.getValue(), capacity.getValue(), memory.getValue(), token.getValue(), prefill.getValue(), link.getValue(), load.getValue(), gap.getValue()};
    replica->weights = weights.getValue();
    replica->incarnation = std::to_string(std::random_device()()) + "-" + std::to_string(clock_now());
    replica->record.open(record.getValue());
    replica->record.write(fields("event", "started", "name", name.getValue(), "weights", weights.getValue()));
    run_server(replica->context, address.getValue(), [&](tcp::socket& socket, Request const& request) { return replica->handle(socket, request); });
    return 0;
}

#pragma once
// One run on a stand-in replica: refusals, prefix memory, pieces. Not product.
#include "replica.hpp"

namespace dockrock::stand_in {

inline auto Replica::run(tcp::socket& socket, Request const& request) -> awaitable<bool> {
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
    if (body.contains("run_once") && body.at("run_once").as_bool() && seen.contains(identity))
        co_return co_await refuse(socket, request, "seen");
    if (queued_slots > 4 * options.capacity) co_return co_await refuse(socket, request, "busy");
    auto const wall = text_of(body, "wall");
    auto const tenant = text_of(body, "tenant");
    auto kept_here = std::int64_t{0};
    auto touched = std::string{};
    auto touched_wall = std::string{};
    auto touched_weights = std::string{};
    auto prefix_so_far = std::int64_t{0};
    for (auto index = std::size_t{0}; index < chain.size() && index < tokens.size(); ++index) {
        prefix_so_far += tokens[index];
        if (auto const found = kept.find(chain[index]); found != kept.end()) {
            kept_here = prefix_so_far;
            touched = found->second.tenant;
            touched_wall = found->second.wall;
            touched_weights = found->second.weights;
            if (found->second.wall != wall || found->second.weights != weights)
                record.write(fields(
                    "event", "violation", "what", "kept memory of another wall or other weights", "identity",
                    identity));
        }
    }
    auto const memory = number_of(body, "prompt_tokens") + number_of(body, "max_tokens") + prefix_tokens - kept_here;
    if (free_memory() < memory) co_return co_await refuse(socket, request, "memory");
    seen.insert(identity);
    used_memory += memory;
    queued_slots += slots;
    auto const overload = queued_slots > 4 * options.capacity + slots;
    record.write(fields(
        "event", "run", "identity", identity, "ticket", text_of(body, "ticket"), "tenant", tenant, "wall", wall,
        "weights", weights, "kept", kept_here, "touched", touched, "touched_wall", touched_wall, "touched_weights",
        touched_weights, "prefix", prefix_tokens, "running", queued_slots, "overload", overload, "kind",
        text_of(body, "kind")));
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
        auto const target = "/prefix?chain=" + std::to_string(chain.empty() ? 0 : chain.back()) +
            "&tokens=" + std::to_string(missing) + "&weights=" + weights;
        auto const ask = make_http_call(http::verb::get, target);
        auto const answer = co_await http_call(source, ask, number_of(body, "fetch_limit_microseconds"));
        took = clock_now() - began;
        if (answer.status == 200) fetched = missing;
        missing -= fetched;
        record.write(
            fields("event", "fetch", "identity", identity, "worked", fetched > 0, "tokens", fetched, "took", took));
    }
    co_await sleep_for((missing + number_of(body, "prompt_tokens")) * one_second / options.prefill_rate);
    auto held = std::int64_t{0};
    for (auto index = std::size_t{0}; index < chain.size() && index < tokens.size(); ++index)
        keep(chain[index], {tenant, wall, weights, tokens[index]}), held += tokens[index];
    if (!options.store.empty() && missing > 0 && !chain.empty())
        asio::co_spawn(
            context,
            http_call(
                options.store,
                make_http_call(
                    http::verb::put, "/prefix?chain=" + std::to_string(chain.back()) + "&weights=" + weights, "kept"),
                one_second),
            asio::detached);
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
        auto const line = json::serialize(fields(
                              "piece", number, "text", identity + ":" + std::to_string(piece), "run", incarnation)) +
            "\n";
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

}  // namespace dockrock::stand_in

// stand-in-replica: a model replica that keeps prefixes, refuses what it must
// and writes down every run. Not product; docs/interfaces.md gives the format.
#include <random>

#include "replica_run.hpp"

namespace {

using namespace dockrock;
using namespace dockrock::stand_in;

}  // namespace

namespace dockrock::stand_in {

auto Replica::handle(tcp::socket& socket, Request const& request) -> awaitable<bool> {
    auto const target = std::string_view(request.target().data(), request.target().size());
    if (target == "/run") co_return co_await run(socket, request);
    if (target.starts_with("/report")) {
        auto const after = static_cast<std::uint64_t>(std::strtoull(query_value(target, "after").c_str(), nullptr, 10));
        json::array list;
        auto const hidden = !events.empty() && number_of(events.back(), "told_at") > clock_now();
        auto first = hidden ? after : next_event;
        auto next = hidden ? after : next_event;
        for (auto const& event : events) {
            auto const number = static_cast<std::uint64_t>(number_of(event, "number"));
            if (number < after) continue;
            if (number_of(event, "told_at") > clock_now()) break;  // not told yet
            first = std::min(first, number);
            next = number + 1;
            auto told = event;
            told.erase("told_at");
            list.push_back(std::move(told));
        }
        auto report = fields(
            "incarnation", incarnation, "weights", weights, "changing", changing, "free_memory", free_memory(), "fence",
            fence, "first_event", first, "next_event", next);
        report["events"] = std::move(list);
        co_return co_await reply(socket, request, 200, json::serialize(report));
    }
    if (target == "/weights") {
        auto const body = read_object(request.body());
        auto const number = static_cast<std::uint64_t>(number_of(body, "fence"));
        auto const given = text_of(body, "incarnation");
        auto const for_this_life = given.empty() || given == incarnation;
        auto const accepted = for_this_life && number >= fence;
        record.write(fields(
            "event", "order", "fence", number, "accepted", accepted, "holder", text_of(body, "holder"), "weights",
            text_of(body, "weights")));
        if (!for_this_life)
            co_return co_await reply(
                socket, request, 409, json::serialize(fields("error", "an order for a former life", "fence", fence)));
        if (!accepted)
            co_return co_await reply(
                socket, request, 409,
                json::serialize(fields("error", "an order under a newer fence was taken", "fence", fence)));
        fence = number;
        if (!changing && text_of(body, "weights") != weights)
            asio::co_spawn(context, change_weights(text_of(body, "weights")), asio::detached);
        co_return co_await reply(socket, request, 200, "{}");
    }
    if (target.starts_with("/prefix")) {
        auto const chain = std::strtoull(query_value(target, "chain").c_str(), nullptr, 10);
        auto const good = kept.contains(chain) && query_value(target, "weights") == weights;
        if (good)
            co_await sleep_for(
                std::strtoll(query_value(target, "tokens").c_str(), nullptr, 10) * one_second / options.link_rate);
        co_return co_await reply(socket, request, good ? 200 : 404, "{}");
    }
    if (target == "/load")
        co_return co_await reply(socket, request, 200, json::serialize(fields("running", queued_slots)));
    if (target == "/fault") {
        auto const kind = text_of(read_object(request.body()), "kind");
        if (kind == "slow-link") options.link_rate = 500;
        else if (kind == "late-events") events_late = 2 * one_second;
        else if (kind == "gapped-events") options.event_gap = 5;
        else if (kind == "no-events") no_events = true;
        else fault = kind;
        co_return co_await reply(socket, request, 200, "{}");
    }
    co_return co_await reply(socket, request, 404, "{}");
}

}  // namespace dockrock::stand_in

auto main(int argument_count, char** arguments) -> int {
    auto command = TCLAP::CmdLine("stand-in-replica: plays a model replica for tests", ' ', "0.1.0");
    auto name = TCLAP::ValueArg<std::string>("", "name", "name", true, "", "NAME", command);
    auto address = TCLAP::ValueArg<std::string>("", "address", "IP:port", true, "", "IP:PORT", command);
    auto weights = TCLAP::ValueArg<std::string>("", "weights", "weights served", true, "", "NAME", command);
    auto store = TCLAP::ValueArg<std::string>("", "store", "prefix store", false, "", "IP:PORT", command);
    auto record = TCLAP::ValueArg<std::string>("", "record", "record file", false, "", "FILE", command);
    auto capacity = TCLAP::ValueArg<std::int64_t>("", "capacity", "slots at once", false, 4, "COUNT", command);
    auto memory =
        TCLAP::ValueArg<std::int64_t>("", "memory", "cache memory in tokens", false, 200'000, "TOKENS", command);
    auto token = TCLAP::ValueArg<std::int64_t>(
        "", "token-microseconds", "time for a token", false, 2'000, "MICROSECONDS", command);
    auto prefill = TCLAP::ValueArg<std::int64_t>(
        "", "prefill-rate", "prefix tokens each second", false, 20'000, "TOKENS", command);
    auto link = TCLAP::ValueArg<std::int64_t>(
        "", "link-rate", "tokens each second to peers", false, 200'000, "TOKENS", command);
    auto load = TCLAP::ValueArg<std::int64_t>(
        "", "load-milliseconds", "time to load weights", false, 500, "MILLISECONDS", command);
    auto gap = TCLAP::ValueArg<std::int64_t>(
        "", "event-gap", "lose prefix events each COUNT events", false, 0, "COUNT", command);
    command.parse(argument_count, arguments);
    auto replica = std::make_unique<Replica>();
    replica->options = {name.getValue(),     address.getValue(), weights.getValue(), store.getValue(),
                        capacity.getValue(), memory.getValue(),  token.getValue(),   prefill.getValue(),
                        link.getValue(),     load.getValue(),    gap.getValue()};
    replica->weights = weights.getValue();
    replica->incarnation = std::to_string(std::random_device()()) + "-" + std::to_string(clock_now());
    replica->record.open(record.getValue());
    replica->record.write(fields("event", "started", "name", name.getValue(), "weights", weights.getValue()));
    run_server(replica->context, address.getValue(), [&](tcp::socket& socket, Request const& request) {
        return replica->handle(socket, request);
    });
    return 0;
}

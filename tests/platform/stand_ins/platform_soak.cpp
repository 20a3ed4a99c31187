// Control calls for days under many troubles: single requests and reads at chosen nodes, what was in touch
// when, lost answers, and the stories of what broke a rule.
#include "platform.hpp"

#include <fstream>

namespace dockrock::platform_stand_in {

namespace {
auto read_span(json::object const& object) -> NodeSpan {
    return {text_of(object, "node", "*"), number_of(object, "from"), number_of(object, "to")};
}

auto do_probe(Platform& platform, json::object call) -> awaitable<Answered> {
    auto kind = Kind();
    read_fields(object_of(call, "kind"), kind, kind_fields);
    auto requesting = draw_request_of(platform.clients, kind);
    requesting.key = text_of(call, "key");
    auto object = json::object();
    object["status"] = co_await probe(platform.clients, std::move(requesting), text_of(call, "node"));
    co_return Answered{200, object};
}

auto do_glance(Platform& platform, json::object call) -> awaitable<Answered> {
    auto object = json::object();
    object["status"] = co_await glance(platform.caller, text_of(call, "node"));
    co_return Answered{200, object};
}

auto do_again(Platform& platform, json::object) -> awaitable<Answered> {
    auto const result = co_await send_again(platform.caller);
    auto object = json::object();
    object["status"] = result.status;
    object["took"] = result.took;
    co_return Answered{200, object};
}

auto do_operator(Platform& platform, json::object call) -> awaitable<Answered> {
    read_fields(call, platform.caller.options, operator_fields);
    co_return Answered{200, {}};
}

auto do_spans(Platform& platform, json::object call) -> awaitable<Answered> {
    auto& record = platform.record;
    record.away.clear();
    record.apart.clear();
    record.rough.clear();
    record.stops.clear();
    record.unplanned.clear();
    auto const plain = [](json::value const& item) {
        auto const span = read_span(item.as_object());
        return Span{span.from, span.to};
    };
    for (auto const& item : list_of(call, "away")) record.away.push_back(read_span(item.as_object()));
    for (auto const& item : list_of(call, "apart")) record.apart.push_back(read_span(item.as_object()));
    for (auto const& item : list_of(call, "rough")) record.rough.push_back(plain(item));
    for (auto const& item : list_of(call, "stops")) record.stops.push_back(read_span(item.as_object()));
    for (auto const& item : list_of(call, "unplanned")) record.unplanned.push_back(plain(item));
    co_return Answered{200, {}};
}

auto do_seen(Platform& platform, json::object) -> awaitable<Answered> {
    auto const& record = platform.record;
    auto object = json::object();
    auto orders = std::map<std::string, std::int64_t>(), glances = orders, changes = orders;
    for (auto const& order : record.orders) ++orders[std::to_string(order.status)];
    for (auto const& glance : record.glances) ++glances[std::to_string(glance.status)];
    for (auto const& change : record.changes)
        ++changes[std::array{"unclear", "acknowledged", "refused"}[static_cast<std::size_t>(change.outcome)]];
    object["orders"] = json::value_from(orders);
    object["glances"] = json::value_from(glances);
    object["changes"] = json::value_from(changes);
    object["versions"] = record.versions.size();
    object["repeated"] = record.repeated.size();
    object["kept"] = std::count_if(record.sent.begin(), record.sent.end(), [](Sent const& sent) { return sent.kept; });
    object["holder"] = record.orders.empty() ? "" : record.orders.back().holder;
    co_return Answered{200, object};
}

auto do_story(Platform& platform, json::object call) -> awaitable<Answered> {
    auto identity = text_of(call, "identity");
    auto const& record = platform.record;
    for (auto const& run : record.runs)  // or the name of a run
        if (run.name == identity) {
            identity = run.identity;
            break;
        }
    auto steps = json::array();
    auto const tell = [&](Milliseconds at, std::string const& what) { steps.push_back(json::array{at, what}); };
    for (auto const& sent : record.sent)
        if (sent.identity == identity)
            tell(sent.at, sent.method + " " + sent.target + " to " + sent.node + (sent.kept ? ", kept" : ""));
    for (auto const& arrival : record.arrivals)
        if (arrival.identity == identity)
            tell(arrival.at, "at replica " + arrival.replica + ": " + std::to_string(arrival.status));
    for (auto const& run : record.runs)
        if (run.identity == identity)
            tell(run.at, "runs as " + run.name + " of " + run.service + " on weights " + std::to_string(run.version));
    for (auto const& answer : record.answers)
        if (answer.identity == identity)
            tell(answer.at, "answer " + std::to_string(answer.status) + (answer.closed ? ", closed" : ""));
    auto object = json::object();
    object["steps"] = steps;
    co_return Answered{200, object};
}

// The changes and names of weights, for the kept files of a run.
auto do_operators(Platform& platform, json::object) -> awaitable<Answered> {
    auto list = json::array();
    for (auto const& change : platform.record.changes) {
        auto item = json::object();
        item["version"] = change.configuration.version;
        item["base"] = change.base;
        item["sent"] = change.sent;
        item["answered"] = change.answered;
        item["outcome"] = std::array{"unclear", "acknowledged", "refused"}[static_cast<std::size_t>(change.outcome)];
        list.push_back(item);
    }
    for (auto const& named : platform.record.versions) {
        auto item = json::object();
        item["weights"] = named.version;
        item["model"] = named.model;
        item["answered"] = named.acknowledged;
        list.push_back(item);
    }
    auto object = json::object();
    object["list"] = list;
    co_return Answered{200, object};
}

constexpr auto steers = std::array<std::pair<std::string_view, Steer>, 8>{{
    {"probe", do_probe},
    {"glance", do_glance},
    {"again", do_again},
    {"operator", do_operator},
    {"spans", do_spans},
    {"seen", do_seen},
    {"story", do_story},
    {"operators", do_operators},
}};
}  // namespace

auto soak_steer(std::string_view name) -> Steer {
    for (auto const& [known, steer] : steers)
        if (known == name) return steer;
    return nullptr;
}

}  // namespace dockrock::platform_stand_in

// What a replica answers besides requests: health, reports, orders, kept parts.
#include "replica.hpp"

namespace dockrock::platform_stand_in {

namespace {
constexpr auto known_modes = std::array<std::string_view, 3>{"queue", "shed", "retain"};
constexpr auto longest_hold = Milliseconds{1000}, look_every = Milliseconds{10}, late_order = Milliseconds{2500};

auto change_version(ReplicaPointer replica, std::int64_t version, std::string mode) -> awaitable<void> {
    if (mode == "shed") ++replica->sheds;
    while (mode == "queue" && replica->active > 0 && replica->alive) co_await pause(look_every);
    co_await pause(replica->options.load);
    if (!replica->alive) co_return;
    replica->kept.drop_model(replica->options.model, replica->around.random);
    replica->version = version;
    replica->loading = false;
    replica->admit();
}

auto order_status(Replica& replica, json::object const& order) -> std::int64_t {
    auto const model = text_of(order, "model"), mode = text_of(order, "mode");
    auto const version = number_of(order, "ver"), fence = number_of(order, "fence", -1);
    if (text_of(order, "holder").empty() || fence < 0) return 400;
    if (text_of(order, "op") != "ver" || model.empty() || model != replica.options.model) return 400;
    if (std::find(known_modes.begin(), known_modes.end(), mode) == known_modes.end()) return 400;
    auto& highest = replica.fences[model];
    if (replica.options.fenced && fence < highest) return 412;
    highest = std::max(highest, fence);
    if (version < 1 || version > std::max<std::int64_t>(1, replica.around.newest[model])) return 400;
    if (auto const* expected = order.if_contains("expect"); expected && number_of(order, "expect") != replica.sequence)
        return 409;
    if (replica.loading) return 409;
    return version == replica.version ? 200 : 202;
}

auto send_json(ReplicaPointer replica, ConnectionPointer connection, std::int64_t status, json::object object)
    -> awaitable<bool> {
    auto const lines = common_lines(*replica, "", replica->draining) + "Content-Type: application/json\r\n";
    auto answer = whole_answer(status, lines, json::serialize(object));
    auto const sent = co_await send_text(connection, std::move(answer));
    co_return sent && !replica->draining;
}

auto take_order(ReplicaPointer replica, ConnectionPointer connection, Request const& request) -> awaitable<bool> {
    auto const wanted = header_of(request, "Want-Replica");
    if (!wanted.empty() && wanted != replica->id)
        co_return co_await send_json(replica, connection, 421, json::object());
    auto const read = read_object(request.body());
    auto const order = read.value_or(json::object());
    auto const status = replica->hit(replica->faults.busy_orders) ? 409 : order_status(*replica, order);
    replica->around.record.orders.push_back(
        {replica->id, text_of(order, "holder"), number_of(order, "fence", -1), status, now()});
    if (status == 202) {
        ++replica->sequence;
        replica->loading = true;
        replica->note();
        for (auto const& item : replica->waiting) item->bell->cancel();
        auto const executor = co_await asio::this_coro::executor;
        auto loading = change_version(replica, number_of(order, "ver"), text_of(order, "mode"));
        asio::co_spawn(executor, std::move(loading), asio::detached);
    }
    if (replica->hit(replica->faults.lost_orders)) co_return false;
    if (replica->hit(replica->faults.late_orders)) co_await pause(late_order);
    co_return co_await send_json(replica, connection, status, json::object());
}

auto tell_events(ReplicaPointer replica, ConnectionPointer connection, std::string target, std::string held)
    -> awaitable<bool> {
    if (replica->inflight >= replica->options.max_inflight)
        co_return co_await send_json(replica, connection, 429, json::object());
    ++replica->inflight;
    auto const started = std::strtoll(query_value(target, "started").c_str(), nullptr, 10);
    auto const hold = std::min<Milliseconds>(longest_hold, std::strtoll(held.c_str(), nullptr, 10));
    auto const until = now() + hold;
    auto answer = replica->kept.shown_since(started);
    while (answer["events"].as_array().empty() && now() < until && replica->alive) {
        co_await pause(look_every);
        answer = replica->kept.shown_since(started);
    }
    --replica->inflight;
    if (!replica->alive) co_return false;
    if (replica->faults.no_events) {
        answer["events"] = json::array();
        answer["dropped"] = true;
    }
    co_return co_await send_json(replica, connection, 200, std::move(answer));
}

auto tell_health(ReplicaPointer replica, ConnectionPointer connection) -> awaitable<bool> {
    auto const well = !replica->draining && !replica->faults.unwell;
    auto const crowded = static_cast<std::int64_t>(replica->waiting.size()) >= replica->options.queue;
    auto lines = common_lines(*replica, "", replica->draining) + "Replica: " + replica->id + "\r\n";
    if (crowded) lines += "Not-Run: 1\r\n";
    auto answer = whole_answer(well && !crowded ? 200 : 503, lines, "");
    auto const sent = co_await send_text(connection, std::move(answer));
    co_return sent && !replica->draining;
}
}  // namespace

auto answer_control(ReplicaPointer replica, ConnectionPointer connection, Request request) -> awaitable<bool> {
    auto const target = std::string(request.target());
    auto const reads = request.method() == http::verb::get;
    while (replica->faults.silent && replica->alive) co_await pause(look_every);
    if (!replica->alive) co_return false;
    if (reads && target == replica->options.health_path) co_return co_await tell_health(replica, connection);
    if (reads && target == "/-/report") {
        replica->note();
        auto told = replica->reports.front().second;
        for (auto const& [at, object] : replica->reports)
            if (at + replica->options.report_lag <= now()) told = object;
        co_return co_await send_json(replica, connection, 200, std::move(told));
    }
    if (!reads && target == "/-/order") co_return co_await take_order(replica, connection, request);
    if (reads && target.starts_with("/-/kv-events"))
        co_return co_await tell_events(replica, connection, target, header_of(request, "Wait-Ms"));
    if (reads && target == "/-/kv-list") co_return co_await send_json(replica, connection, 200, replica->kept.list());
    co_return co_await send_json(replica, connection, 404, json::object());
}

}  // namespace dockrock::platform_stand_in

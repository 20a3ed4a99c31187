// Polls the platform's list and the replicas' reports, and sends a leader's orders to replicas.
// docs/design.md sections 8.4, 9.3 and 11.
#include "process/clock.hpp"
#include "process/log.hpp"
#include "process/loop_entry.hpp"
#include "process/node.hpp"
#include "process/pause.hpp"
#include "process/spawn.hpp"

namespace dockrock {

namespace {

auto is_list(std::string const& text) -> bool {
    auto const parsed = parse_json(text);
    if (!parsed) return false;
    ReplicaList list;
    Problems problems;
    read_json(*parsed, list, "", problems);
    return problems.empty();
}

}  // namespace

auto Node::list_loop() -> awaitable<void> {
    if (settings.platform_address.empty()) co_return;
    if (protocol != nullptr) co_return co_await relay_list_loop();
    auto connection = HttpConnection(co_await asio::this_coro::executor);
    auto wanted = std::make_shared<std::atomic<bool>>(false);
    auto last_good = std::string();  // the last valid body; not parsed again while unchanged
    auto const listing = make_http_call(http::verb::get, "/replicas");
    while (!finished) {
        co_await pause(100 * one_millisecond);
        if (!wanted->load()) {
            in_control([this, wanted] { *wanted = control.list_read_due(clock_now()); });
            continue;
        }
        *wanted = false;
        auto const asked_at = clock_now();
        auto const answer = co_await connection.call(settings.platform_address, listing, 800 * one_millisecond);
        auto const same = answer.body == last_good;
        if (answer.status != 200 || (!same && !is_list(answer.body))) {  // invalid: the last list stays
            ++counters.list_failures;
            continue;
        }
        ++counters.list_reads;
        if (!same) last_good = answer.body;
        in_control(
            [this, asked_at, text = answer.body] { apply_output(control.list_read(clock_now(), asked_at, text)); });
    }
}

auto Node::report_manager() -> awaitable<void> {
    if (protocol != nullptr) co_return;  // reports are costly there: requested only while an order is in progress
    while (!finished) {
        auto const current = snapshot.load();
        for (auto const& entry : current->list.replicas) {
            auto const guard = std::lock_guard(loops_lock);
            if (report_loops.insert(entry.name).second)
                spawn_connection(counters, asio::make_strand(context), report_loop(entry.name));
        }
        co_await pause((resting_now ? 500 : 100) * one_millisecond);
    }
}

auto Node::report_loop(std::string name) -> awaitable<void> {
    auto const listed = LoopEntry(loops_lock, report_loops, name);
    auto connection = HttpConnection(co_await asio::this_coro::executor);
    auto next_event = std::uint64_t{0};
    auto incarnation = std::string{};
    auto address = std::string{};
    while (!finished) {
        auto const current = snapshot.load();
        auto const entry = std::find_if(
            current->list.replicas.begin(), current->list.replicas.end(),
            [&](auto const& item) { return item.name == name; });
        if (entry == current->list.replicas.end()) break;
        if (entry->address != address) {
            connection.close();
            address = entry->address;
        }
        auto const asked_at = clock_now();
        auto const ask = make_http_call(http::verb::get, "/report?after=" + std::to_string(next_event));
        auto const answer = co_await connection.call(address, ask, one_second);
        auto const parsed = answer.status == 200 ? parse_json(answer.body) : std::nullopt;
        ReplicaReport report;
        Problems problems;
        if (parsed) read_json(*parsed, report, "", problems);
        if (parsed && problems.empty()) {
            // After a restart of the replica its event numbers start again.
            if (report.incarnation != incarnation && !incarnation.empty() && next_event > 0) {
                next_event = 0;
                incarnation = report.incarnation;
                continue;
            }
            incarnation = report.incarnation;
            next_event = report.next_event;
            {
                auto const guard = std::lock_guard(report_lock);
                reports[name] = report;
            }
            auto const guard = std::lock_guard(table.lock);
            table.scheduler.load_table.take_report(name, report, asked_at);
            if (table.scheduler.waiting_count() > 0) schedule_locked(clock_now());
        } else if (answer.end == CallEnd::not_sent) {
            auto const guard = std::lock_guard(table.lock);
            table.scheduler.load_table.report_failed(name, clock_now());
        }
        auto const busy = clock_now() - last_request_at < 10 * one_second;
        auto const idle_pause = settings.data_folder.empty() ? 2'000 : 1'000;  // core nodes track rollouts
        co_await pause((resting_now ? 5'000 : busy ? 250 : idle_pause) * one_millisecond);
    }
}

// Only the leader of the service's partition sends orders, while it holds the lease. An order carries
// the leader's term as its fence and the incarnation of its receiver (design 11).
auto Node::order_loop() -> awaitable<void> {
    if (protocol != nullptr) co_return co_await weights_loop();
    while (!finished) {
        co_await pause(200 * one_millisecond);
        auto due = std::make_shared<std::vector<Order>>();
        auto done = std::make_shared<std::atomic<bool>>(false);
        in_control([this, due, done] {
            auto const current = snapshot.load();
            auto const guard = std::lock_guard(report_lock);
            *due = orders.due(control, *current, reports, clock_now());
            *done = true;
        });
        for (auto count = 0; !done->load() && count < 50; ++count) co_await pause(20 * one_millisecond);
        if (!done->load()) continue;
        for (auto const& order : *due) co_await send_order(order);
    }
}

auto Node::send_order(Order order) -> awaitable<void> {
    auto connection = HttpConnection(co_await asio::this_coro::executor);
    if (!co_await connection.ensure_open(order.address, 500 * one_millisecond)) co_return;
    auto const body = json::serialize(fields(
        "weights", order.weights, "fence", order.fence, "holder", settings.control_address, "incarnation",
        order.incarnation));
    auto const posted = make_http_call(http::verb::post, "/weights", body);
    // These receivers check the fence, so a new lease holder need not wait.
    auto const lease = co_await lease_checked(order.partition, order.fence);
    if (!lease || !order_leaves(order.partition, *lease, 0)) co_return;
    ++counters.orders;
    auto const answer = co_await connection.call(order.address, posted, 500 * one_millisecond);
    connection.close();
    write_log(
        Level::information, "weights-ordered",
        fields("replica", order.replica, "weights", order.weights, "fence", order.fence, "status", answer.status));
}

}  // namespace dockrock

// Weights orders to replicas in a relaying fleet, and the reports that are
// requested while an order is in progress. docs/design.md section 11.
#include "process/clock.hpp"
#include "process/log.hpp"
#include "process/node.hpp"
#include "process/pause.hpp"
#include "process/spawn.hpp"

namespace dockrock {

namespace {

constexpr Microseconds connect_limit = 300 * one_millisecond;
constexpr Microseconds order_limit = 400 * one_millisecond;  // of the HTTP call
constexpr Microseconds report_limit = 400 * one_millisecond;
constexpr auto checks = 3;
constexpr Microseconds holder_margin = 200 * one_millisecond;  // added to the wait between orders of two lease holders

auto end_of(HttpAnswer const& answer) -> OrderResult {
    if (answer.end == CallEnd::not_sent) return OrderResult::unreachable;
    switch (answer.status) {
        case 200: return OrderResult::already_held;
        case 202: return OrderResult::accepted;
        case 400: return OrderResult::refused;
        case 409: return OrderResult::conflict;
        case 412: return OrderResult::fenced;
        case 421: return OrderResult::other_incarnation;
        default: return OrderResult::unknown;
    }
}

auto written(AddressedOrder const& due, std::string const& holder) -> WeightsOrder {
    return {due.model, due.order.version, holder, due.fence, due.order.orders, due.order.replica};
}

auto report_notes(ControllerActions const& due) -> void {
    for (auto const& [partition, reason] : due.held)
        write_log(
            Level::information, "weights-orders-held",
            fields(
                "partition", std::string(partition_names[static_cast<std::size_t>(partition)]), "reason",
                std::string(orders_held_names[static_cast<std::size_t>(reason)])));
    for (auto const& [model, note] : due.notes) {
        auto const grave = note.kind == RolloutNote::Kind::overdue || note.kind == RolloutNote::Kind::silent;
        write_log(
            grave ? Level::warning : Level::information, rollout_note_names[static_cast<std::size_t>(note.kind)],
            fields(
                "model", model, "version", note.version, "replica", note.replica, "milliseconds",
                note.length / one_millisecond));
    }
}

}  // namespace

auto Node::step_weights() -> void {
    auto const now = clock_now();
    auto due = weights_controller.step(control, *snapshot.load(), now);
    weights_under_way = due.under_way;
    report_notes(due);
    auto const metrics = weights_controller.collect_metrics(now);
    counters.weights_behind = metrics.behind;
    counters.weights_overdue = metrics.overdue;
    counters.weights_oldest = static_cast<std::uint64_t>(metrics.oldest / one_millisecond);
    for (auto const& [partition, text] : due.live_texts) apply_output(control.live_read(partition, now, now, text));
    for (auto& order : due.orders)
        spawn_connection(counters, asio::make_strand(context), send_addressed_order(std::move(order)));
    for (auto& report : due.reports)
        spawn_connection(counters, asio::make_strand(context), request_report(std::move(report)));
}

auto Node::weights_loop() -> awaitable<void> {
    if (settings.data_folder.empty()) co_return;  // only core nodes give orders
    in_control([this] {
        weights_controller.at_once = static_cast<std::size_t>(settings.weights_at_once);
        weights_controller.bound = settings.bounds.weights;
        weights_controller.wait = settings.bounds.lease + holder_margin;
    });
    while (!finished) {
        co_await pause((weights_under_way ? 25 : 200) * one_millisecond);
        in_control([this] { step_weights(); });
    }
}

// The order's facts, only if the lease was held within the last lease_check_age: a node
// that was suspended in between checks again, up to `checks` times. Empty: do not send.
auto Node::lease_checked(int partition, std::uint64_t fence) -> awaitable<std::optional<invariants::OrderFacts>> {
    for (auto count = 0; count < checks; ++count) {
        auto const seen = std::make_shared<std::atomic<Microseconds>>(-1);
        auto const facts = std::make_shared<invariants::OrderFacts>();
        in_control([this, seen, facts, partition, fence] {
            auto const now = clock_now();
            *facts = order_facts(control, partition, fence, now);
            *seen = may_order(control, partition, fence, now) ? now : 0;
        });
        for (auto waited = 0; seen->load() < 0 && waited < 100; ++waited) co_await pause(one_millisecond);
        if (seen->load() == 0) co_return std::nullopt;
        if (seen->load() > 0 && clock_now() - seen->load() <= invariants::lease_check_age) co_return *facts;
    }
    co_return std::nullopt;
}

auto Node::send_addressed_order(AddressedOrder order) -> awaitable<void> {
    auto connection = HttpConnection(co_await asio::this_coro::executor);
    auto end = OrderResult::unreachable;
    auto status = 0;
    if (co_await connection.ensure_open(order.address, connect_limit)) {
        // With a zero linger, closing drops unsent data: the kernel does not deliver the order after the limit.
        boost::system::error_code ignored;
        connection.stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        auto const call = protocol->order_call(written(order, control.membership.self.identity));
        auto const lease = co_await lease_checked(order.partition, order.fence);
        if (lease && order_leaves(order.partition, *lease, settings.bounds.lease + holder_margin)) {
            ++counters.orders;
            auto const answer = co_await connection.call(order.address, call, order_limit);
            status = answer.status;
            end = end_of(answer);
        } else {
            end = OrderResult::not_sent;
        }
    }
    connection.close();
    ++counters.order_results[static_cast<std::size_t>(end)];
    write_log(
        Level::information, "weights-ordered",
        fields(
            "replica", order.order.replica, "model", order.model, "version", order.order.version, "fence", order.fence,
            "status", status, "end", std::string(order_result_names[static_cast<std::size_t>(end)])));
    in_control([this, order = std::move(order), end] {
        weights_controller.order_ended(order, end, clock_now());
        step_weights();
    });
}

auto Node::request_report(ReportRequest asked) -> awaitable<void> {
    auto ask = protocol->report_call();
    if (!protocol->headers.replica_wanted.empty())
        ask.headers.emplace_back(protocol->headers.replica_wanted, asked.replica);
    auto const asked_at = clock_now();
    ++counters.weights_reports;
    auto const answer = co_await http_call(asked.address, ask, report_limit);
    auto const read = answer.status == 200 ? protocol->read_report(answer.body) : std::nullopt;
    std::optional<ReportedWeights> report;
    if (read) {
        auto const version = read->versions.find(asked.model);
        report = ReportedWeights{version == read->versions.end() ? 0 : version->second, read->busy, read->orders};
    } else {
        ++counters.weights_report_failures;
    }
    in_control([this, asked = std::move(asked), report, asked_at] {
        weights_controller.reported(asked, report, asked_at, clock_now());
        step_weights();
    });
}

auto Node::poll_metrics(std::string& text) const -> void {
    auto const line = [&](std::string const& name, auto value) {
        text += "dockrock_" + name + " " + std::to_string(value) + "\n";
    };
    line("weights_orders_total", counters.orders.load());
    for (auto index = std::size_t{0}; index < order_result_names.size(); ++index)
        line(
            "weights_order_ends_total{end=\"" + std::string(order_result_names[index]) + "\"}",
            counters.order_results[index].load());
    line("weights_reports_total", counters.weights_reports.load());
    line("weights_report_failures_total", counters.weights_report_failures.load());
    line("weights_replicas_behind", counters.weights_behind.load());
    line("weights_replicas_overdue", counters.weights_overdue.load());
    line("weights_oldest_milliseconds", counters.weights_oldest.load());
    line("weights_withheld", counters.weights_withheld.load());
    line("weights_recalled_total", counters.weights_recalled.load());
    line("list_reads_total", counters.list_reads.load());
    line("list_failures_total", counters.list_failures.load());
    line("list_calls_total", counters.list_calls.load());
    line("list_limited_total", counters.list_limited.load());
}

}  // namespace dockrock

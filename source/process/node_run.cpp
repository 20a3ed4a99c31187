// The node's main loops and its graceful stop. docs/design.md sections 13 and 14.
#include "process/clock.hpp"
#include "process/fatal_signals.hpp"
#include "process/log.hpp"
#include "process/node.hpp"
#include "process/spawn.hpp"

namespace dockrock {

namespace {

// Calls travel between nodes as JSON, which allows only UTF-8.
auto can_be_passed_on(std::string const& body) -> bool {
    return body.empty() || parse_json(body) || parse_json(json::serialize(json::string(body)));
}

}  // namespace

auto Node::tick_control() -> void {
    auto const now = clock_now();
    apply_output(control.tick(now));
    log_partitions(now);
    log_disk(now);
    judge_resting(now);
    judge_load(now);
    tick_waiting = false;
}

auto Node::log_partitions(Microseconds now) -> void {
    for (auto index = std::size_t{0}; index < partition_count; ++index) {
        auto const number = static_cast<int>(index);
        auto const name = std::string(partition_names[index]);
        auto const& record = control.best_record(number);
        if (record.term != logged_terms[index])
            write_log(
                Level::information, "record",
                {{"partition", name},
                 {"term", record.term},
                 {"leader", record.leader},
                 {"followers", write_json(record.followers)}});
        logged_terms[index] = record.term;
        auto const owned = control.leads(number, now);
        if (owned != logged_leased[index])
            write_log(
                Level::information, owned ? "lease-held" : "lease-ended", {{"partition", name}, {"term", record.term}});
        logged_leased[index] = owned;
    }
}

// Answers and inference requests are handled as they arrive; ticks only serve
// timers, of which an idle node has few (design 14).
auto Node::tick_milliseconds() const -> int {
    if (resting_now) return 250;
    auto const relays_load = load_relayed && !settings.data_folder.empty();
    if (clock_now() - last_request_at < 2 * one_second || stopping || relays_load) return 25;
    return settings.data_folder.empty() ? 100 : 50;
}

auto Node::tick_loop() -> awaitable<void> {
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    auto last_digest = Microseconds{0};
    while (!finished) {
        timer.expires_after(std::chrono::milliseconds(tick_milliseconds()));
        co_await timer.async_wait(use_tuple);
        ++counters.wakeups;
        if (!tick_waiting.exchange(true)) in_control([this] { tick_control(); });
        auto const now = clock_now();
        poll_settings_file(now);
        auto guard = std::unique_lock(table.lock);
        if (now >= weights_guard.next_check_at) take_replica_weights(*snapshot.load());
        if (table.scheduler.waiting_count() > 0) schedule_locked(now);
        auto const& options = table.scheduler.options;
        auto const interval = table.scheduler.load_table.relayed ? options.relayed_interval : options.digest_interval;
        auto const due = now - last_digest >= interval && now - last_request_at < 12 * one_second;
        if (!due) continue;
        last_digest = now;
        report_load(now, std::move(guard));
    }
}

auto Node::make_call(Call call, std::function<void(CallDone)> done) -> void {
    ++counters.calls;
    if (!can_be_passed_on(call.body)) return done(CallDone{"", 0, 400, R"({"error":"the body is not UTF-8"})", ""});
    in_control([this, call = std::move(call), done = std::move(done)] {
        auto const token = control.random.next() | 1U;
        call_waiters[token] = done;
        apply_output(control.call(clock_now(), token, call));
    });
}

auto Node::ready(Microseconds now) const -> bool {
    auto const current = snapshot.load();
    return !stopping && !resting_now && proof_age(now) < proof_limit() && !current->rules->empty() &&
        !current->list.replicas.empty();
}

auto Node::recover_fleet(std::function<void(CallDone)> done) -> void {
    in_control([this, done = std::move(done)] {
        auto const token = control.random.next() | 1U;
        call_waiters[token] = done;
        write_log(Level::warning, "form-anew-ordered", {});
        apply_output(control.recover_fleet(clock_now(), token));
    });
}

auto Node::make_claim(InferenceRequest const& inference, bool release, std::function<void(ClaimDone)> done) -> void {
    auto const partition = partition_of_service(inference.body.model);
    auto ask = ClaimAsk{partition, 0, claim_key(inference), "", release};
    in_control([this, ask = std::move(ask), number = inference.number, done = std::move(done)]() mutable {
        ask.ticket = claim_owner(control.membership.self.identity, number);
        auto const token = control.random.next() | 1U;
        if (done) claim_waiters[token] = std::move(done);
        apply_output(control.claim(clock_now(), token, ask));
    });
}

auto Node::run() -> void {
    running = true;
    if (stop_asked) begin_stop();
    spawn_essential(asio::make_strand(context), tick_loop());
    spawn_essential(asio::make_strand(context), list_loop());
    spawn_essential(asio::make_strand(context), report_manager());
    spawn_essential(asio::make_strand(context), order_loop());
    spawn_essential(asio::make_strand(context), rest_loop());
    spawn_essential(accept_strand, accept_loop());
    for (auto door = std::size_t{0}; door < relay_acceptors.size(); ++door)
        if (relay_acceptors[door])
            spawn_essential(
                context.get_executor(), relay_accept(*relay_acceptors[door], static_cast<RelayListener>(door)));
    if (protocol != nullptr) {
        spawn_essential(context.get_executor(), sweep_loop());
        spawn_essential(context.get_executor(), parts_manager());
    }
    for (auto count = std::int64_t{0}; count < settings.workers; ++count)
        threads.emplace_back([this] { context.run(); });
    for (auto& thread : threads) thread.join();
    if (!transport.stop())
        write_log(Level::warning, "sockets-still-open", fields("effect", "they are closed as the process ends"));
    stop_disk();
    write_log(Level::information, "stopped");
}

// Graceful stop: report not ready, hand over leader duties, finish the open streams, then exit (design 13).
auto Node::stop_gracefully() -> awaitable<void> {
    set_process_phase(ProcessPhase::stopping);
    write_log(Level::information, "stopping", fields("open_tickets", open_inferences.load()));
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    auto const limit = clock_now() + settings.stop_limit_milliseconds * one_millisecond;
    auto duties = std::make_shared<std::atomic<bool>>(true);
    // Not ready for a while before new connections are refused: load balancers poll readiness only now and then.
    auto const notice = std::min(limit, clock_now() + settings.stop_notice_milliseconds * one_millisecond);
    auto const handing_limit = std::min(limit, clock_now() + 3 * one_second);
    admission_ends = stop_admission_end(clock_now(), limit);
    while (clock_now() < limit) {
        if (duties->load()) {
            in_control([this, duties, handing_limit] {
                auto pending = false;
                if (clock_now() < handing_limit) apply_output(control.hand_over(clock_now(), pending));
                *duties = pending;
            });
        }
        timer.expires_after(std::chrono::milliseconds(50));
        co_await timer.async_wait(use_tuple);
        if (clock_now() > notice) closing = true;
        if (!duties->load() && open_inferences == 0 && closing) break;
    }
    closing = true;
    if (open_inferences > 0)
        write_log(Level::warning, "stop-limit-reached", fields("open_tickets", open_inferences.load()));
    in_control([this] { apply_output(control.leave()); });
    // Closes the listeners first; requests on open connections are still answered.
    asio::post(accept_strand, [this] {
        boost::system::error_code ignored;
        acceptor->close(ignored);
        for (auto& door : relay_acceptors)
            if (door) door->close(ignored);
    });
    auto quiet = 0;
    auto const end = std::max(limit, clock_now() + one_second / 2);
    while (clock_now() < end && quiet < 6) {
        timer.expires_after(std::chrono::milliseconds(50));
        co_await timer.async_wait(use_tuple);
        quiet = open_requests == 0 ? quiet + 1 : 0;
    }
    finished = true;
    context.stop();
}

}  // namespace dockrock

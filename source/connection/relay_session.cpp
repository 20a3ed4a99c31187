#include "connection/relay_session.hpp"

#include <charconv>

#include "connection/message_reader.hpp"
#include "connection/replica_pool.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"
#include "process/pause.hpp"
#include "process/spawn.hpp"

namespace dockrock {

namespace {

constexpr auto not_fresh = "not-fresh";

// The number of the last event that the client received; -1 if it gives none.
auto event_number(std::string_view text) -> std::int64_t {
    auto number = std::int64_t{-1};
    auto const [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    return failure == std::errc() && end == text.data() + text.size() ? std::max<std::int64_t>(number, -1) : -1;
}

// Watches the client while its request is in progress.
struct WatchScope {
    RelaySession& session;
    explicit WatchScope(RelaySession& watching) : session(watching) { session.begin_watch(); }
    WatchScope(WatchScope const&) = delete;
    ~WatchScope() { session.end_watch(); }
};

}  // namespace

auto RelaySession::write_all(std::string const& bytes) -> awaitable<bool> {
    client.expires_after(std::chrono::seconds(10));  // drops a client that stops reading
    auto const [failure, size] = co_await asio::async_write(client, asio::buffer(bytes), use_tuple);
    co_return !failure;
}

auto RelaySession::refuse(HttpRequest const& request, int status, std::string reason, std::string retry_after)
    -> awaitable<bool> {
    if (!node.refusal_leaves(status))
        std::tie(status, reason, retry_after) = std::tuple(503, not_fresh, short_retry_after);
    auto const keep = request.keep_alive() && !node.stopping;
    auto body = "{\"error\":" + json::serialize(json::string(reason)) + "}";
    auto head = "HTTP/1.1 " + std::to_string(status) + " " +
        std::string(http::obsolete_reason(static_cast<http::status>(status))) +
        "\r\nContent-Type: application/json\r\n";
    auto const identity = field_of(request, node.protocol->headers.request_identity);
    if (!identity.empty())
        head.append(node.protocol->headers.request_identity).append(": ").append(identity).append("\r\n");
    if (!retry_after.empty()) head.append("Retry-After: ").append(retry_after).append("\r\n");
    if (!keep) head.append("Connection: close\r\n");
    head.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
    if (request.method() != http::verb::head) head.append(body);
    co_return co_await write_all(head) && keep;
}

// Takes verdict and sequence from the same snapshot; the time of the lease proof is read before it (design 8.2.2).
auto RelaySession::interpret_request(HttpRequest const& request, Microseconds arrived_at) const -> RelayInterpretation {
    auto const proven = node.proven_at.load();
    auto const current = node.snapshot.load();
    return {
        interpret_relayed(current->rules->services, arrival_of(request, arrived_at)), current->rules->sequence, proven};
}

auto RelaySession::handle(HttpRequest const& request) -> awaitable<bool> {
    ++node.counters.tickets;
    auto const now = clock_now();
    node.last_request_at = now;
    if (auto const admission_ends = node.admission_ends.load(); admission_ends != 0 && now > admission_ends) {
        ++node.counters.refused;
        co_return co_await refuse(request, 503, "this node stops", short_retry_after);
    }
    // A node that has just started waits for its first configuration: at most 1.5 s, and only in its first 4 s.
    for (auto count = 0;
         count < 30 && node.snapshot.load()->rules->empty() && clock_now() - node.started_at < 4 * one_second; ++count)
        co_await pause(50 * one_millisecond);
    auto interpretation = interpret_request(request, now);
    auto const& verdict = interpretation.verdict.verdict;
    if (verdict.kind == Verdict::Kind::answer) {
        ++node.counters.refused;
        auto const status = verdict.status;
        if (!node.may_refuse(interpretation.proven))
            co_return co_await refuse(request, 503, "no fresh configuration", short_retry_after);
        node.note_refusal(status, interpretation.rules);
        co_return co_await refuse(request, status, verdict.reason, status == 503 ? short_retry_after : "");
    }
    auto const counted = CountedScope(node.open_inferences);
    auto const watched = WatchScope(*this);
    co_return co_await run(request, std::move(interpretation));
}

auto RelaySession::wait_for_placement(RequestLifecycle& lifecycle) -> awaitable<LifecycleStep> {
    auto const number = lifecycle.inference.number;
    auto const slot = std::make_shared<Slot>(co_await asio::this_coro::executor);
    auto wake = [slot] {
        asio::post(slot->signal.get_executor(), [slot] {
            slot->ready = true;
            slot->signal.cancel();
        });
    };
    auto const began = clock_now();
    node.table.enqueue(lifecycle.inference, lifecycle.avoid, std::move(wake), began, node.proof_age(began));
    watch->on_gone = [slot] { slot->signal.cancel(); };
    while (!watch->gone && !node.table.decided(number)) co_await slot->signal.async_wait(use_tuple);
    watch->on_gone = nullptr;
    if (watch->gone) {
        node.table.abandon(number);
        ++node.counters.callers_gone;
        co_return lifecycle.client_disconnected();
    }
    auto const entry = node.table.leave(number);
    if (entry.shed)
        co_return lifecycle.was_shed(shed_names[static_cast<std::size_t>(entry.shed->reason)], entry.shed->retry_after);
    co_return lifecycle.placed(*entry.placement, node.lifecycle_facts(entry.placement->replica));
}

auto RelaySession::run(HttpRequest const& request, RelayInterpretation interpretation) -> awaitable<bool> {
    auto const rules = interpretation.verdict.rules;  // keeps the route alive
    auto const& route = *interpretation.verdict.route;
    auto lifecycle = RequestLifecycle();
    lifecycle.inference = interpretation.verdict.verdict.inference;
    lifecycle.inference.number = node.next_request_number++;
    lifecycle.rules = interpretation.rules;
    auto answer = RelayAnswer();
    auto usable = false;
    try {
        usable = co_await follow(request, std::move(interpretation), lifecycle, answer);
    } catch (...) {  // the connection ends; its slot at the replica must be released
        node.table.abandon(lifecycle.inference.number);
        node.release(lifecycle.placement.replica, lifecycle.inference.number);
        throw;
    }
    if (watch->gone) answer.trace.outcome = "caller-gone";
    log_request(lifecycle, route, answer.trace, clock_now());
    co_return usable;
}

// Drives the lifecycle of one relayed request; requests on the product's own API have the same one.
auto RelaySession::follow(
    HttpRequest const& request, RelayInterpretation interpretation, RequestLifecycle& lifecycle, RelayAnswer& answer)
    -> awaitable<bool> {
    auto judged = std::move(interpretation.verdict);
    auto const last = field_of(request, node.protocol->headers.last_event);
    if (!last.empty() && judged.route->resumable) answer.events.last = event_number(last);
    for (auto step = lifecycle.begin();;) {
        answer.trace.outcome = step_names[static_cast<std::size_t>(step.step)];
        if (!step.reason.empty()) answer.trace.outcome += ": " + step.reason;
        if (!step.release_replica.empty()) node.release(step.release_replica, lifecycle.inference.number);
        switch (step.step) {
            case Step::enqueue: {
                auto const entered_at = clock_now();
                step = co_await wait_for_placement(lifecycle);
                answer.trace.waited += clock_now() - entered_at;
                break;
            }
            case Step::interpret: {
                auto const facts = node.lifecycle_facts(lifecycle.placement.replica);
                auto later = interpret_request(request, lifecycle.inference.arrived_at);
                auto const verdict = later.verdict.verdict;
                if (verdict.kind == Verdict::Kind::enqueue) judged = std::move(later.verdict);
                step = lifecycle.reinterpreted(verdict, later.rules, facts);
                break;
            }
            case Step::send: {
                ++node.counters.tries;
                auto const sent_at = clock_now();
                auto const replica = lifecycle.placement.replica;
                answer.trace.sent_at = sent_at;
                ++answer.trace.tries;
                auto const result = co_await send_try(request, judged, lifecycle, answer);
                answer.trace.failure = result.end == TryEnd::answered ? std::string() : result.reason;
                node.try_ended(replica, lifecycle.inference, result.end, result.reason, sent_at);
                if (result.end != TryEnd::answered && answer.head_sent)
                    answer.keep = false;  // closing shows the client that the answer is truncated
                if (result.end != TryEnd::answered)
                    write_log(
                        Level::debug, "try-ended",
                        fields("replica", replica, "reason", result.reason, "route", judged.route->name));
                auto limits = RetryLimits();
                limits.time_left = lifecycle.inference.deadline - clock_now();
                step =
                    result.held_back ? lifecycle.send_cancelled() : lifecycle.ended(result.end, result.reason, limits);
                break;
            }
            case Step::answer_shed:
                ++node.counters.shed;
                co_return co_await refuse(request, 503, step.reason, short_retry_after);
            case Step::answer_refused:
                ++node.counters.refused;
                node.note_refusal(step.status, lifecycle.rules);
                co_return co_await refuse(
                    request, step.status, step.reason, step.status == 503 ? short_retry_after : "");
            case Step::answer_failure: co_return co_await write_all(answer.failure_head) && answer.keep;
            case Step::claim:
            case Step::answer_seen:
            case Step::answer_unknown: ++node.counters.unknown; co_return co_await refuse(request, 502, step.reason);
            case Step::finished: co_return answer.keep && !watch->gone;
        }
    }
}

}  // namespace dockrock

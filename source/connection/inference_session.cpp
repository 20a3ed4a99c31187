// The lifecycle of an inference request on its connection: admission, queueing, tries, one outcome.
// docs/design.md sections 9 and 10.
#include "connection/session.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"

namespace dockrock {

using namespace asio::experimental::awaitable_operators;

namespace {
auto seen_body() -> json::object {
    return fields("outcome", "unknown", "error", "a ticket of this identity was taken before; it is not run again");
}
}  // namespace

auto Session::wait_for_slot(std::shared_ptr<Slot> slot) -> awaitable<bool> {
    while (!slot->ready) {
        auto const event =
            co_await (slot->signal.async_wait(use_tuple) || socket.async_wait(tcp::socket::wait_read, use_tuple));
        if (event.index() == 0 || slot->ready) continue;
        auto peeked = char{};
        boost::system::error_code failure;
        socket.non_blocking(true, failure);
        auto const size = socket.receive(asio::buffer(&peeked, 1), tcp::socket::message_peek, failure);
        if (failure == asio::error::would_block) continue;
        if (failure || size == 0) co_return false;    // the caller disconnected
        co_await slot->signal.async_wait(use_tuple);  // a pipelined request: read after this one
    }
    co_return true;
}

// Queues the request until it is placed or shed.
auto Session::wait_for_placement(RequestLifecycle& lifecycle) -> awaitable<LifecycleStep> {
    auto const number = lifecycle.inference.number;
    auto const executor = co_await asio::this_coro::executor;
    auto const slot = std::make_shared<Slot>(executor);
    auto wake = [slot] {
        asio::post(slot->signal.get_executor(), [slot] {
            slot->ready = true;
            slot->signal.cancel();
        });
    };
    auto const began = clock_now();
    node.table.enqueue(lifecycle.inference, lifecycle.avoid, std::move(wake), began, node.proof_age(began));
    auto const present = co_await wait_for_slot(slot);
    if (!present) {
        node.table.abandon(number);
        ++node.counters.callers_gone;
        co_return lifecycle.client_disconnected();
    }
    auto const entry = node.table.leave(number);
    node.latency_metrics.waiting(lifecycle.inference).add(clock_now() - began);
    if (entry.shed)
        co_return lifecycle.was_shed(shed_names[static_cast<std::size_t>(entry.shed->reason)], entry.shed->retry_after);
    co_return lifecycle.placed(*entry.placement, node.lifecycle_facts(entry.placement->replica));
}

auto Session::claim(RequestLifecycle& lifecycle) -> awaitable<LifecycleStep> {
    auto const executor = co_await asio::this_coro::executor;
    auto const asked_at = clock_now();
    auto const done = co_await asio::async_initiate<asio::use_awaitable_t<> const, void(ClaimDone)>(
        [&](auto handler) {
            auto const shared = std::make_shared<decltype(handler)>(std::move(handler));
            node.make_claim(lifecycle.inference, false, [executor, shared](ClaimDone result) {
                asio::post(executor, [shared, result]() mutable { std::move (*shared)(result); });
            });
        },
        asio::use_awaitable);
    node.latency_metrics.claim.add(clock_now() - asked_at);
    auto& counter = done.state == ClaimState::granted ? node.counters.claims_granted
        : done.state == ClaimState::seen              ? node.counters.claims_seen
                                                      : node.counters.claims_unknown;
    ++counter;
    co_return lifecycle.claimed(done.state, done.term, asked_at, node.lifecycle_facts(lifecycle.placement.replica));
}

auto Session::send_try(HttpRequest const& request, RequestLifecycle& lifecycle, bool& usable)
    -> awaitable<LifecycleStep> {
    ++node.counters.tries;
    auto const sent_at = clock_now();
    auto const replica = lifecycle.placement.replica;
    auto const result = co_await run_try(*this, lifecycle, request.keep_alive());
    node.try_ended(replica, lifecycle.inference, result.end, result.reason, sent_at);
    log_inference(
        lifecycle.inference, "try-ended", result.reason.empty() ? std::string("answered") : result.reason, replica);
    usable = result.usable;
    co_return result.held_back ? lifecycle.send_cancelled() : lifecycle.ended(result.end, result.reason);
}

auto Session::log_inference(InferenceRequest const& inference, char const* event, std::string what, std::string replica)
    -> void {
    write_log(
        Level::debug, event,
        fields("ticket", inference.number, "tenant", inference.tenant_path, "what", what, "replica", replica));
}

auto Session::run_inference(HttpRequest const& request, Verdict verdict, Sequence sequence) -> awaitable<bool> {
    auto lifecycle = RequestLifecycle();
    lifecycle.inference = std::move(verdict.inference);
    lifecycle.inference.number = node.next_request_number++;
    lifecycle.rules = sequence;
    request_number = lifecycle.inference.number;
    if (node.resting_now) node.wake();
    try {
        co_return co_await follow(request, lifecycle);
    } catch (...) {  // the connection ends; its slot at the replica must be released
        node.table.abandon(lifecycle.inference.number);
        node.release(lifecycle.placement.replica, lifecycle.inference.number);
        throw;
    }
}

auto Session::follow(HttpRequest const& request, RequestLifecycle& lifecycle) -> awaitable<bool> {
    auto usable = false;
    for (auto step = lifecycle.begin();;) {
        log_inference(
            lifecycle.inference, "ticket-step", std::string(step_names[static_cast<std::size_t>(step.step)]),
            lifecycle.placement.replica);
        if (!step.release_replica.empty()) node.release(step.release_replica, lifecycle.inference.number);
        if (step.release_claim) node.make_claim(lifecycle.inference, true, {});
        switch (step.step) {
            case Step::enqueue: step = co_await wait_for_placement(lifecycle); break;
            case Step::claim: step = co_await claim(lifecycle); break;
            case Step::interpret: {
                auto const facts = node.lifecycle_facts(lifecycle.placement.replica);
                auto [later, current] = co_await interpret_now(request);
                step = lifecycle.reinterpreted(std::move(later), current->rules->sequence, facts);
                break;
            }
            case Step::send: step = co_await send_try(request, lifecycle, usable); break;
            case Step::answer_shed: co_return co_await shed(request, step.reason, step.retry_after);
            case Step::answer_failure:  // occurs only for relayed requests
            case Step::answer_unknown: co_return co_await unknown(request, step.reason);
            case Step::answer_refused:
                if (!node.refusal_leaves(step.status)) co_return co_await shed(request, "not-fresh", 1);
                ++node.counters.refused;
                node.note_refusal(step.status, lifecycle.rules);
                co_return co_await answer(request, step.status, fields("outcome", "shed", "error", step.reason));
            case Step::answer_seen: co_return co_await answer(request, 409, seen_body());
            case Step::finished: co_return usable;
        }
    }
}

}  // namespace dockrock

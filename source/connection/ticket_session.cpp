// A ticket's way through its connection: entry, waiting, tries, one outcome.
// docs/design.md sections 9 and 10.
#include "connection/session.hpp"
#include "process/clock.hpp"

namespace dockrock {

using namespace asio::experimental::awaitable_operators;

auto Session::wait_for_slot(std::shared_ptr<Slot> slot, std::uint64_t ticket) -> awaitable<bool> {
    (void)ticket;
    while (!slot->ready) {
        auto const event =
            co_await (slot->signal.async_wait(use_tuple) || socket.async_wait(tcp::socket::wait_read, use_tuple));
        if (event.index() == 0 || slot->ready) continue;
        auto peeked = char{};
        boost::system::error_code failure;
        socket.non_blocking(true, failure);
        auto const size = socket.receive(asio::buffer(&peeked, 1), tcp::socket::message_peek, failure);
        if (failure == asio::error::would_block) continue;
        if (failure || size == 0) co_return false;    // the caller went away
        co_await slot->signal.async_wait(use_tuple);  // more sent early: read after this ticket
    }
    co_return true;
}

auto Session::run_ticket(HttpRequest const& request, Verdict verdict, Sequence sequence) -> awaitable<bool> {
    auto ticket = std::move(verdict.ticket);
    ticket.number = node.next_ticket++;
    if (node.resting_now) node.wake();
    if (ticket.body.run_once && !ticket.body.identity.empty()) {
        auto guard = std::unique_lock(node.table.lock);
        auto const fresh = node.remember_identity(ticket.tenant_path + "\n" + ticket.body.identity);
        guard.unlock();
        if (!fresh)
            co_return co_await answer(
                request, 409,
                fields(
                    "outcome", "unknown", "error", "a ticket of this identity was taken before; it is not run again"));
    }
    auto again = std::string{};  // replica that said it did not run the last try
    auto charged = false;
    auto may_have_run = false;  // an earlier try broke: giving up is no longer a refusal (design 10.1)
    auto failure_reason = std::string{};
    for (auto try_number = 1;; ++try_number) {
        auto const executor = co_await asio::this_coro::executor;
        auto const slot = std::make_shared<Slot>(executor);
        auto wake = [slot] {
            asio::post(slot->signal.get_executor(), [slot] {
                slot->ready = true;
                slot->signal.cancel();
            });
        };
        auto avoid = std::optional<std::string>();
        if (charged) avoid = again;
        node.table.enter(ticket, avoid, std::move(wake), clock_now(), node.proof_age(clock_now()));
        auto const present = co_await wait_for_slot(slot, ticket.number);
        if (!present) {
            node.table.abandon(ticket.number);
            ++node.counters.callers_gone;
            co_return false;
        }
        auto const entry = node.table.leave(ticket.number);
        auto const& placed = entry.placement;
        auto const& given_up = entry.shed;
        if (given_up && may_have_run)
            co_return co_await unknown(request, std::string(shed_names[static_cast<std::size_t>(given_up->reason)]));
        if (given_up)
            co_return co_await shed(
                request, std::string(shed_names[static_cast<std::size_t>(given_up->reason)]), given_up->retry_after);
        auto const release = [&] {
            auto const guard = std::lock_guard(node.table.lock);
            node.table.granting.burden.release(placed->replica, ticket.number);
        };
        // Last checks right before the try is sent: rules, freshness, drain (design 8.3, 8.4).
        auto const current = node.snapshot.load();
        if (current->rules->sequence != sequence) {
            auto [later, rules] = co_await interpret_now(request);
            sequence = rules->rules->sequence;
            if (later.kind != Verdict::Kind::enter) {
                release();
                if (may_have_run) co_return co_await unknown(request, later.reason);
                ++node.counters.refused;
                co_return co_await answer(request, later.status, fields("outcome", "shed", "error", later.reason));
            }
            if (later.ticket.chain != ticket.chain || later.ticket.wall_domain != ticket.wall_domain) {
                release();
                later.ticket.number = ticket.number;
                later.ticket.arrived_at = ticket.arrived_at;
                later.ticket.deadline = ticket.deadline;
                ticket = std::move(later.ticket);
                charged = false;
                continue;
            }
        }
        auto const listed = std::find_if(
            current->list.replicas.begin(), current->list.replicas.end(),
            [&](auto const& entry) { return entry.name == placed->replica; });
        if (listed == current->list.replicas.end() || listed->drain || node.proof_age(clock_now()) > proof_limit) {
            release();
            charged = false;  // nothing was sent: no extra try
            continue;
        }
        ++node.counters.tries;
        auto const sent_at = clock_now();
        auto const result = co_await run_try(*this, ticket, *placed, try_number, request.keep_alive());
        {
            auto const guard = std::lock_guard(node.table.lock);
            auto const now = clock_now();
            node.table.granting.finished(placed->replica, ticket, now - sent_at, now, result.end == TryEnd::answered);
            if (result.end == TryEnd::not_sent) node.table.granting.burden.report_failed(placed->replica, now);
            if (result.end == TryEnd::did_not_run)
                node.table.granting.burden.refused(placed->replica, result.reason, now);
            if (node.table.granting.waiting_count() > 0) node.match_locked(now);
        }
        if (result.end == TryEnd::answered) ++node.counters.answered;
        if (result.end == TryEnd::broken_after) ++node.counters.broken;
        if (result.end == TryEnd::caller_gone) ++node.counters.callers_gone;
        if (result.end == TryEnd::did_not_run) ++node.counters.did_not_run;
        if (result.end == TryEnd::not_sent) ++node.counters.connect_failures;
        auto const step = next_step(result.end, ticket.body.run_once, result.reason);
        if (step == NextStep::finished) co_return result.usable;
        if (step == NextStep::answer_unknown) co_return co_await unknown(request, result.reason);
        if (step == NextStep::answer_seen)
            co_return co_await answer(
                request, 409,
                fields(
                    "outcome", "unknown", "error", "a ticket of this identity was taken before; it is not run again"));
        may_have_run = may_have_run || result.end == TryEnd::unknown_before;
        again = placed->replica;
        charged = true;
    }
}

}  // namespace dockrock

#pragma once
// Thread-safe admission: the scheduler and the connections that wait for its decisions, under one lock.
// The mutex type is a parameter, so that the interleaving checker runs this same code.
// docs/design.md section 14.
#include <functional>
#include <mutex>

#include "ticket/scheduler.hpp"

namespace dockrock {

struct SystemPrimitives {
    using Mutex = std::mutex;
};

template <typename Primitives>
struct AdmissionTable {
    using Wake = std::function<void()>;
    using Guard = std::lock_guard<typename Primitives::Mutex>;
    // A request that waits for its decision; `wake` is called when one is set.
    struct Entry {
        std::optional<Placement> placement;
        std::optional<Shed> shed;
        Wake wake;
    };

    typename Primitives::Mutex lock;
    Scheduler scheduler;
    std::map<std::uint64_t, Entry> entries;

    // Queues a request and runs the scheduler. `avoid` names the replica of an earlier try that did not run
    // the request: this is then a retry, paid from the retry budget.
    auto enqueue(
        InferenceRequest const& inference, std::optional<std::string> const& avoid, Wake wake, Microseconds now,
        Microseconds proof_age) -> void {
        auto const guard = Guard(lock);
        entries[inference.number] = Entry{std::nullopt, std::nullopt, std::move(wake)};
        Decisions decisions;
        if (avoid) scheduler.enqueue_retry(inference, *avoid, now);
        else scheduler.enqueue(inference, now, decisions);
        settle(decisions);
        schedule_locked(now, proof_age);
    }

    // Removes the request and returns its entry with the decision, if there is one.
    auto leave(std::uint64_t number) -> Entry {
        auto const guard = Guard(lock);
        return take(number);
    }

    // Whether the request has been placed or shed.
    auto decided(std::uint64_t number) -> bool {
        auto const guard = Guard(lock);
        auto const found = entries.find(number);
        return found != entries.end() && (found->second.placement || found->second.shed);
    }

    // Removes the request of a client that disconnected, and releases a placement made in the meantime.
    auto abandon(std::uint64_t number) -> void {
        auto const guard = Guard(lock);
        auto const entry = take(number);
        if (entry.placement) scheduler.load_table.release(entry.placement->replica, number);
    }

    // Places queued requests; `proof_age`: time since the last proof that the configuration is current.
    auto schedule(Microseconds now, Microseconds proof_age) -> void {
        auto const guard = Guard(lock);
        schedule_locked(now, proof_age);
    }

    // As above; the caller holds `lock`.
    auto schedule_locked(Microseconds now, Microseconds proof_age) -> void {
        Decisions decisions;
        scheduler.schedule(now, proof_age, decisions);
        settle(decisions);
    }

    // Runs `work` on the scheduler under the lock.
    template <typename Work>
    auto with(Work&& work) -> decltype(auto) {
        auto const guard = Guard(lock);
        return work(scheduler);
    }

   private:
    auto take(std::uint64_t number) -> Entry {
        auto entry = Entry();
        if (auto const found = entries.find(number); found != entries.end()) {
            entry = std::move(found->second);
            entries.erase(found);
        }
        scheduler.withdraw(number);
        return entry;
    }

    // Hands decisions to the waiting connections; a placement that nobody waits for is released.
    auto settle(Decisions const& decisions) -> void {
        for (auto const& placement : decisions.placements) {
            auto const found = entries.find(placement.request_number);
            if (found == entries.end()) {
                scheduler.load_table.release(placement.replica, placement.request_number);
                continue;
            }
            found->second.placement = placement;
            found->second.wake();
        }
        for (auto const& shed : decisions.sheds) {
            auto const found = entries.find(shed.request_number);
            if (found == entries.end()) continue;
            found->second.shed = shed;
            found->second.wake();
        }
    }
};

}  // namespace dockrock

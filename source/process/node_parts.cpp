// Which parts of prompts the replicas and stores keep, as they tell it: late,
// with gaps. docs/platform.md section 8.
#include "process/clock.hpp"
#include "process/node.hpp"
#include "request/relayed.hpp"

namespace dockrock {

namespace {

auto pause(Microseconds length) -> awaitable<void> {
    auto timer = asio::steady_timer(co_await asio::this_coro::executor, std::chrono::microseconds(length));
    co_await timer.async_wait(use_tuple);
}

constexpr Microseconds parts_interval = 300 * one_millisecond;  // events gather meanwhile
constexpr Microseconds parts_wait = 900 * one_millisecond;      // a call is held until there are some

}  // namespace

auto Node::parts_manager() -> awaitable<void> {
    if (settings.front_address.empty() || !form->events_call) co_return;
    while (!finished) {
        auto const current = snapshot.load();
        auto const follow = [&](std::string const& name, bool store) {
            if (report_loops.insert(name).second) asio::co_spawn(context, parts_loop(name, store), asio::detached);
        };
        for (auto const& entry : current->list.replicas) follow(entry.name, false);
        if (current->rules->services)
            for (auto const& service : current->rules->services->document.services)
                if (!service.store_address.empty()) follow(service.name, true);
        co_await pause(500 * one_millisecond);
    }
}

// Where a replica or a store is now; empty: it is gone.
auto Node::parts_address(std::string const& name, bool store) const -> std::string {
    auto const current = snapshot.load();
    if (store) {
        auto const* service = current->rules->services ? current->rules->services->service(name) : nullptr;
        return service == nullptr ? std::string() : service->store_address;
    }
    for (auto const& entry : current->list.replicas)
        if (entry.name == name) return entry.address;
    return {};
}

auto Node::take_parts(std::string const& name, bool store, KeptEvents const& told, bool anew) -> void {
    auto const guard = std::lock_guard(table.lock);
    auto& burden = table.granting.burden;
    auto const found = store ? table.granting.stores.find(name) : table.granting.stores.end();
    if (store && found == table.granting.stores.end()) return;
    if (store) found->second.up = true;
    if (anew && store) found->second.parts.clear();
    else if (anew) burden.forget_parts(name);
    if (anew) ++counters.part_gaps;
    for (auto const& event : told.events) {
        ++counters.part_events;
        auto const salt = read_salt(event.salt);
        if (!salt) continue;
        auto const part = part_hash(salt->first, event.part);
        if (!store) burden.take_part(name, part, salt->second, event.kept);
        else if (event.kept) found->second.parts.insert(part ^ hash_text(salt->second));
        else found->second.parts.erase(part ^ hash_text(salt->second));
    }
}

auto Node::parts_silent(std::string const& name, bool store) -> void {
    if (!store) return;
    auto const guard = std::lock_guard(table.lock);
    auto const found = table.granting.stores.find(name);
    if (found == table.granting.stores.end()) return;
    found->second.up = false;
    found->second.parts.clear();
}

auto Node::parts_loop(std::string name, bool store) -> awaitable<void> {
    auto connection = HttpConnection(co_await asio::this_coro::executor);
    auto since = std::uint64_t{0};
    auto life = std::string();
    while (!finished) {
        auto const address = parts_address(name, store);
        if (address.empty()) break;
        ++counters.part_calls;
        auto const ask = form->events_call(since, parts_wait);
        auto const answer = co_await connection.call(address, ask, parts_wait + one_second / 2);
        auto const told = answer.status == 200 ? form->read_events(answer.body) : std::nullopt;
        if (!told) {
            parts_silent(name, store);
            co_await pause(store ? one_second / 2 : one_second);
            continue;
        }
        auto const restarted = told->life != life && !life.empty();
        take_parts(name, store, *told, told->gap || restarted);
        since = restarted ? 0 : told->next;
        life = told->life;
        co_await pause(parts_interval);
    }
    report_loops.erase(name);
}

}  // namespace dockrock

// Which parts of prompts the replicas keep, as they tell it: late, with gaps.
// docs/platform.md section 8.
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
        for (auto const& entry : snapshot.load()->list.replicas)
            if (report_loops.insert(entry.name).second) asio::co_spawn(context, parts_loop(entry.name), asio::detached);
        co_await pause(500 * one_millisecond);
    }
}

auto Node::parts_loop(std::string name) -> awaitable<void> {
    auto connection = HttpConnection(co_await asio::this_coro::executor);
    auto since = std::uint64_t{0};
    auto life = std::string();
    while (!finished) {
        auto const current = snapshot.load();
        auto const entry = std::find_if(
            current->list.replicas.begin(), current->list.replicas.end(),
            [&](auto const& item) { return item.name == name; });
        if (entry == current->list.replicas.end()) break;
        ++counters.part_calls;
        auto const ask = form->events_call(since, parts_wait);
        auto const address = entry->address;
        auto const answer = co_await connection.call(address, ask, parts_wait + one_second);
        auto const told = answer.status == 200 ? form->read_events(answer.body) : std::nullopt;
        if (!told) {
            co_await pause(one_second);
            continue;
        }
        {
            auto const guard = std::lock_guard(table.lock);
            auto& burden = table.granting.burden;
            if (told->gap || (told->life != life && !life.empty())) {
                ++counters.part_gaps;
                burden.forget_parts(name);
            }
            for (auto const& event : told->events) {
                ++counters.part_events;
                auto const salt = read_salt(event.salt);
                if (salt) burden.take_part(name, part_hash(salt->first, event.part), salt->second, event.kept);
            }
        }
        if (told->life != life && !life.empty()) since = 0;
        else since = told->next;
        life = told->life;
        co_await pause(parts_interval);
    }
    report_loops.erase(name);
}

}  // namespace dockrock

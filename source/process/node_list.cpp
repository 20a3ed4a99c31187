// Reads the platform's paged replica list in a relaying fleet; one node reads it
// for the whole fleet. docs/design.md section 8.4.
#include "process/clock.hpp"
#include "process/log.hpp"
#include "process/node.hpp"
#include "process/pause.hpp"

namespace dockrock {

namespace {

constexpr auto most_pages = std::size_t{1'000};

// A replica on two pages moved between them while they were read: the later
// entry wins, but does not clear a drain mark.
auto add_page(std::map<std::string, ReplicaEntry>& read, std::vector<ReplicaEntry> page) -> void {
    for (auto& entry : page) {
        auto& place = read[entry.name];
        entry.drain = entry.drain || place.drain;
        place = std::move(entry);
    }
}

}  // namespace

// Returns the list only if every page was read: a replica counts as removed only if a complete list lacks it.
auto Node::read_whole_list(HttpConnection& connection) -> awaitable<std::optional<ListReading>> {
    std::map<std::string, ReplicaEntry> read;
    std::string next;
    ListReading reading;
    auto const began = clock_now();
    while (reading.pages < most_pages) {
        auto const asked_at = clock_now();
        auto const ask = protocol->list_call(next);
        ++counters.list_calls;
        auto const answer = co_await connection.call(settings.platform_address, ask, list_polling.page_limit);
        if (answer.status == 429) ++counters.list_limited;
        auto page = answer.status == 200 ? protocol->read_list_page(answer.body) : std::nullopt;
        if (!page) co_return std::nullopt;
        ++reading.pages;
        add_page(read, std::move(page->replicas));
        if (page->next.empty()) break;
        auto const pages = static_cast<Microseconds>(reading.pages);
        auto const repeated = page->next == next;
        if (repeated || clock_now() - began > 2 * list_polling.page_limit + pages * list_polling.call_gap())
            co_return std::nullopt;
        next = page->next;
        co_await pause(std::max<Microseconds>(0, asked_at + list_polling.call_gap() - clock_now()));
    }
    if (reading.pages == most_pages) co_return std::nullopt;
    ReplicaList list;
    for (auto& [name, entry] : read) list.replicas.push_back(std::move(entry));
    reading.text = json::serialize(write_json(list));  // in the product's own format, identical whichever node reads it
    co_return reading;
}

auto Node::relay_list_loop() -> awaitable<void> {
    auto connection = HttpConnection(co_await asio::this_coro::executor);
    list_polling.configure(settings.bounds.drain, settings.platform_calls);
    auto wanted = std::make_shared<std::atomic<bool>>(false);
    auto const view = [this](Microseconds now) {
        ListView seen;
        seen.leader = control.leads(configuration_partition, now);
        seen.resting = control.resting;
        seen.list_at = control.views[configuration_partition].live_at;
        if (!seen.leader && now - seen.list_at > list_polling.fallback)
            seen.members = control.membership.alive_members(false).size();
        return seen;
    };
    while (!finished) {
        co_await pause((resting_now ? 500 : 100) * one_millisecond);
        if (!wanted->load()) {
            in_control([this, wanted, view] {
                auto const now = clock_now();
                if (!list_polling.due(view(now), now, control.random)) return;
                list_polling.record_start(now);
                *wanted = true;
            });
            if (!wanted->load()) continue;
        }
        auto const asked_at = clock_now();
        auto reading = co_await read_whole_list(connection);
        if (reading) ++counters.list_reads;
        else ++counters.list_failures;
        auto const done = std::make_shared<std::atomic<bool>>(false);
        in_control([this, wanted, done, view, asked_at, reading = std::move(reading)] {
            auto const now = clock_now();
            *wanted = false;
            if (reading) list_polling.record_success(reading->pages);
            else list_polling.record_failure(view(now), now, control.random);
            if (reading) apply_output(control.list_read(now, asked_at, reading->text));
            *done = true;
        });
        while (!done->load() && !finished) co_await pause(5 * one_millisecond);
    }
}

}  // namespace dockrock

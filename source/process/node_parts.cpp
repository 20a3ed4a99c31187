// Follows which prompt prefixes the replicas and stores have cached, from their event streams, which are late and
// may have gaps. In a small fleet each node reads every source; in a larger one the core nodes divide the sources
// among themselves and forward the events. docs/design.md section 9.9.
#include "process/clock.hpp"
#include "process/loop_entry.hpp"
#include "process/node.hpp"
#include "process/pause.hpp"
#include "process/spawn.hpp"
#include "request/relayed.hpp"

namespace dockrock {

namespace {

constexpr Microseconds parts_interval = 300 * one_millisecond;   // between calls, so that events are batched
constexpr Microseconds shared_interval = 250 * one_millisecond;  // forwarded events wait again at the relay
constexpr Microseconds parts_wait = 900 * one_millisecond;       // long poll: a source holds a call until it has events
constexpr Microseconds members_met = 3 * one_second / 2;         // a node that has just started knows few members yet
constexpr Microseconds catch_up_pause = 20 * one_millisecond;    // between two sources

auto batch_of(std::string const& name, bool store, std::uint64_t since, CacheEvents const& events) -> CacheBatch {
    auto batch = CacheBatch{name, store, events.life, since, events.next, events.gap, {}, {}};
    std::vector<CacheChange> changes;
    for (auto const& event : events.events) {
        auto const salt = read_salt(event.salt);
        if (!salt) continue;
        auto place = std::find(batch.weights.begin(), batch.weights.end(), salt->second);
        if (place == batch.weights.end()) {
            if (batch.weights.size() == weights_in_batch) continue;
            place = batch.weights.insert(place, salt->second);
        }
        auto const weights = static_cast<std::size_t>(place - batch.weights.begin());
        changes.push_back({part_hash(salt->first, event.part), weights, event.cached});
    }
    batch.changes = write_changes(changes);
    return batch;
}

}  // namespace

// All cache event sources: listed replicas, and the stores of the services. step_parts() picks those this node reads.
auto Node::sources_to_read(Snapshot const& current) const -> std::map<std::string, CacheSource> {
    std::map<std::string, CacheSource> all;
    for (auto const& entry : current.list.replicas) all[entry.name] = {entry.address, entry.area, false};
    if (current.rules->services)
        for (auto const& service : current.rules->services->document.services)
            if (!service.store_address.empty()) all[service.name] = {service.store_address, service.zone, true};
    return all;
}

auto Node::step_parts() -> void {
    auto all = sources_to_read(*snapshot.load());
    std::set<std::string> names;
    for (auto const& [name, source] : all) names.insert(name);
    control.cache_feed.forget_except(names);
    auto const met = clock_now() - started_at > members_met;
    auto const direct = met && !load_relayed && !settings.front_address.empty();
    std::erase_if(
        all, [&](auto const& item) { return !direct && !control.reads_source(item.first, item.second.area); });
    for (auto const& [name, store] : take_sources(std::move(all))) {  // unlocked: a loop starts at once and locks
        auto const& cursor = control.cache_feed.cursors[name];
        spawn_connection(counters, context.get_executor(), parts_loop(name, store, cursor.next, cursor.life));
    }
}

// Sets the sources to read from now on; returns those that no loop reads yet (name, is a store).
auto Node::take_sources(std::map<std::string, CacheSource> sources) -> std::vector<std::pair<std::string, bool>> {
    std::vector<std::pair<std::string, bool>> fresh;
    auto const guard = std::lock_guard(loops_lock);
    parts_read = std::move(sources);
    for (auto const& [name, source] : parts_read)
        if (report_loops.insert(name).second) fresh.emplace_back(name, source.store);
    return fresh;
}

auto Node::parts_manager() -> awaitable<void> {
    if (!protocol->events_call) co_return;
    if (settings.front_address.empty() && settings.load_relays_from == 0) co_return;
    spawn_essential(context.get_executor(), catch_up_loop());
    while (!finished) {
        in_control([this] { step_parts(); });
        co_await pause(500 * one_millisecond);
    }
}

// The current address of a source that this node reads; empty: it is gone, or another node reads it.
auto Node::parts_address(std::string const& name) -> std::string {
    auto const guard = std::lock_guard(loops_lock);
    auto const found = parts_read.find(name);
    return found == parts_read.end() ? std::string() : found->second.address;
}

auto Node::take_cache_batch(CacheBatch const& batch, bool forget) -> void {
    auto const changes = read_changes(batch.changes);
    auto const guard = std::lock_guard(table.lock);
    auto& load_table = table.scheduler.load_table;
    auto const found = batch.store ? table.scheduler.stores.find(batch.source) : table.scheduler.stores.end();
    if (!changes || (batch.store && found == table.scheduler.stores.end())) return;
    if (batch.store) found->second.up = !batch.life.empty();
    if (forget && batch.store) found->second.parts.clear();
    else if (forget) load_table.forget_parts(batch.source);
    if (forget) ++counters.part_gaps;
    std::vector<std::uint64_t> marks;
    for (auto const& weights : batch.weights) marks.push_back(hash_text(weights));
    for (auto const& change : *changes) {
        ++counters.part_events;
        if (change.weights >= marks.size()) continue;
        auto const mark = marks[change.weights];
        if (!batch.store) load_table.take_part(batch.source, change.part, mark, change.cached);
        else if (change.cached) found->second.parts.insert(change.part ^ mark);
        else found->second.parts.erase(change.part ^ mark);
    }
}

// Handles a batch read from a source: applies it if this node serves clients, and passes it to the control side,
// which forwards it to other nodes.
auto Node::parts_reported(CacheBatch batch, bool restarted) -> void {
    if (!settings.front_address.empty()) take_cache_batch(batch, batch.anew || restarted);
    in_control([this, batch = std::move(batch)]() mutable { control.cache_read(std::move(batch)); });
}

auto Node::parts_loop(std::string name, bool store, std::uint64_t since, std::string life) -> awaitable<void> {
    auto const listed = LoopEntry(loops_lock, report_loops, name);
    auto connection = HttpConnection(co_await asio::this_coro::executor);
    while (!finished) {
        auto const address = parts_address(name);
        if (address.empty()) break;
        ++counters.part_calls;
        auto const ask = protocol->events_call(since, parts_wait);
        auto const answer = co_await connection.call(address, ask, parts_wait + one_second / 2);
        auto const events = answer.status == 200 ? protocol->read_events(answer.body) : std::nullopt;
        if (!events && store) {  // a batch without an incarnation: the store does not answer
            since = 0;
            life.clear();
            parts_reported(CacheBatch{name, store, {}, 0, 0, true, {}, {}}, true);
        }
        if (!events) {
            co_await pause(store ? one_second / 2 : one_second);
            continue;
        }
        auto const restarted = events->life != life && !life.empty();
        if (restarted && since != 0) {  // the source's event numbers start again
            since = 0;
            life = events->life;
            parts_reported(batch_of(name, store, 0, CacheEvents{events->life, 0, true, {}}), true);
            continue;
        }
        if (events->next != since || events->gap || life.empty())
            parts_reported(batch_of(name, store, since, *events), restarted);
        since = events->next;
        life = events->life;
        co_await pause(settings.front_address.empty() ? shared_interval : parts_interval);
    }
}

// After a gap in the events that came through relays: reads the whole state once from the source itself.
auto Node::catch_up_loop() -> awaitable<void> {
    while (!finished) {
        auto const name = next_to_catch_up();
        co_await pause(name.empty() ? one_second / 2 : catch_up_pause);
        if (name.empty()) continue;
        auto const all = sources_to_read(*snapshot.load());
        auto const source = all.find(name);
        if (source == all.end()) continue;
        ++counters.part_calls;
        auto const ask = protocol->events_call(0, parts_wait);
        auto const answer = co_await http_call(source->second.address, ask, parts_wait + one_second / 2);
        auto const events = answer.status == 200 ? protocol->read_events(answer.body) : std::nullopt;
        if (!events) continue;
        in_control([this, batch = batch_of(name, source->second.store, 0, *events)] {
            if (control.cache_caught_up(batch)) take_cache_batch(batch, true);
        });
    }
}

auto Node::next_to_catch_up() -> std::string {
    auto const guard = std::lock_guard(loops_lock);
    if (parts_missed.empty()) return {};
    return parts_missed.extract(parts_missed.begin()).value();
}

// Applies the batches that came through the relay.
auto Node::take_feed(std::vector<CacheFeed::Taken> const& reported) -> void {
    for (auto const& [batch, gap] : reported) {
        take_cache_batch(batch, gap || batch.anew);
        if (!gap || batch.anew) continue;
        auto const guard = std::lock_guard(loops_lock);
        parts_missed.insert(batch.source);
    }
}

}  // namespace dockrock

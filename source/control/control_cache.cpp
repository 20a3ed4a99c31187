// Distribution of prompt cache changes through relays: which node requests them from which.
// docs/design.md section 9.9.
#include "control/control.hpp"

namespace dockrock {

auto Control::reads_source(std::string_view source, std::string_view area) const -> bool {
    if (!settings.core || !load_choice.relayed) return false;
    auto const cores = membership.alive_members(true);
    auto const* reader = reader_of(source, area, cores);
    return reader != nullptr && reader->identity == membership.self.identity;
}

auto Control::cache_read(CacheBatch batch) -> void {
    auto const known = cache_feed.advance_cursor(batch) == CacheFeed::BatchPosition::known;
    if (!known && settings.core) cache_feed.add(std::move(batch), true);
}

// Moves the cursor to a batch that was read at the source itself. False if the feed is already ahead of it.
auto Control::cache_caught_up(CacheBatch const& batch) -> bool {
    auto& cursor = cache_feed.cursors[batch.source];
    if (cursor.life == batch.life && batch.next < cursor.next) return false;
    cursor = {batch.life, batch.next};
    return true;
}

auto Control::ask_feed(Microseconds now, ControlOutput& output) -> void {
    if (!load_choice.relayed) return;
    auto const cores = membership.alive_members(true);
    auto const asked_at = [&](std::string const& identity) {
        auto const found = cache_feed.readings.find(identity);
        return found == cache_feed.readings.end() ? Microseconds{0} : found->second.asked_at;
    };
    if (settings.core) {
        for (auto const& core : cores)
            if (core.identity != membership.self.identity && now - asked_at(core.identity) >= cache_times.between_cores)
                output.sends.push_back({core.control_address, cache_feed.ask(core.identity, true, now)});
        return;
    }
    auto const busy = now - load_reported_at < cache_times.busy_for;
    if (now - feed_asked_at < (busy ? cache_times.busy : cache_times.idle)) return;
    feed_asked_at = now;
    if (auto const* relay = load_choice.choose(membership.self, cores, now))
        output.sends.push_back({relay->control_address, cache_feed.ask(relay->identity, false, now)});
}

auto Control::take_feed(Microseconds now, std::string const& from, FeedAnswer const& answer, ControlOutput& output)
    -> void {
    load_choice.record_answer(from, now);
    for (auto& taken : cache_feed.take(from, answer)) {
        if (settings.core) cache_feed.add(std::move(taken.batch), false);
        else output.cache_batches.push_back(std::move(taken));
    }
}

}  // namespace dockrock

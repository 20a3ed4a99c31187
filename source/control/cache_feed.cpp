#include "control/cache_feed.hpp"

#include <algorithm>
#include <charconv>

namespace dockrock {

namespace {

constexpr auto max_log_bytes = std::size_t{256} << 10U;  // several seconds of events
constexpr auto batch_overhead = std::size_t{128};
constexpr auto part_letters = std::size_t{16};

auto size_of(CacheBatch const& batch) -> std::size_t {
    return batch_overhead + batch.changes.size() + batch.source.size() + batch.life.size();
}

}  // namespace

// Each change is one letter for the index of the weights, upper case if cached, then the part's hash in hex.
auto write_changes(std::vector<CacheChange> const& changes) -> std::string {
    std::string text;
    text.reserve(changes.size() * (part_letters + 1));
    for (auto const& change : changes) {
        text.push_back(static_cast<char>((change.cached ? 'A' : 'a') + static_cast<char>(change.weights)));
        for (auto shift = 60; shift >= 0; shift -= 4) text.push_back("0123456789abcdef"[(change.part >> shift) & 15U]);
    }
    return text;
}

auto read_changes(std::string_view text) -> std::optional<std::vector<CacheChange>> {
    if (text.size() % (part_letters + 1) != 0) return std::nullopt;
    std::vector<CacheChange> changes;
    changes.reserve(text.size() / (part_letters + 1));
    for (; !text.empty(); text.remove_prefix(part_letters + 1)) {
        CacheChange change;
        auto const letter = text.front();
        change.cached = letter >= 'A' && letter <= 'Z';
        if (!change.cached && (letter < 'a' || letter > 'z')) return std::nullopt;
        change.weights = static_cast<std::size_t>(letter - (change.cached ? 'A' : 'a'));
        auto const* const end = text.data() + part_letters + 1;
        if (std::from_chars(text.data() + 1, end, change.part, 16).ptr != end) return std::nullopt;
        changes.push_back(change);
    }
    return changes;
}

auto reader_of(std::string_view source, std::string_view area, std::vector<Member> const& cores) -> Member const* {
    auto const seed = hash_text(source);
    auto const rank = [&](Member const& core) { return std::pair(core.area != area, hash_text(core.identity, seed)); };
    auto const best = std::min_element(
        cores.begin(), cores.end(), [&](auto const& left, auto const& right) { return rank(left) < rank(right); });
    return best == cores.end() ? nullptr : &*best;
}

// A batch that overlaps the known events is applied as a whole: the last change of
// each part is the same either way.
auto CacheFeed::advance_cursor(CacheBatch const& batch) -> BatchPosition {
    auto& cursor = cursors[batch.source];
    auto const same_instance = cursor.life == batch.life;
    if (same_instance && batch.next <= cursor.next) return BatchPosition::known;
    auto const known_to = same_instance ? cursor.next : 0;
    auto const first = cursor.life.empty();
    cursor = {batch.life, batch.next};
    if (batch.from > known_to) return BatchPosition::gap;
    return same_instance || first ? BatchPosition::follows : BatchPosition::gap;
}

auto CacheFeed::add(CacheBatch batch, bool own) -> void {
    log_bytes += size_of(batch);
    log.push_back({next_position++, own, std::move(batch)});
    while (log.size() > 1 && log_bytes > max_log_bytes) {
        log_bytes -= size_of(log.front().batch);
        log.pop_front();
    }
}

// A node whose position is in the log of a former process gets the whole log.
auto CacheFeed::answer(FeedAsk const& ask) const -> FeedAnswer {
    FeedAnswer answer;
    answer.feed = id;
    answer.position = next_position;
    auto const from = ask.feed == id ? ask.position : 0;
    auto const begin = std::lower_bound(
        log.begin(), log.end(), from, [](auto const& entry, auto position) { return entry.position < position; });
    for (auto entry = begin; entry != log.end(); ++entry)
        if (!ask.own || entry->own) answer.batches.push_back(entry->batch);
    return answer;
}

auto CacheFeed::ask(std::string const& relay, bool own, Microseconds now) -> FeedAsk {
    auto& reading = readings[relay];
    reading.asked_at = now;
    return {reading.feed, reading.position, own};
}

auto CacheFeed::take(std::string const& relay, FeedAnswer answer) -> std::vector<Taken> {
    std::vector<Taken> taken;
    auto const found = readings.find(relay);
    if (found == readings.end()) return taken;
    auto& reading = found->second;
    reading.position = reading.feed == answer.feed ? std::max(reading.position, answer.position) : answer.position;
    reading.feed = answer.feed;
    for (auto& batch : answer.batches) {
        auto const batch_position = advance_cursor(batch);
        if (batch_position != BatchPosition::known)
            taken.push_back({std::move(batch), batch_position == BatchPosition::gap});
    }
    return taken;
}

auto CacheFeed::forget_except(std::set<std::string> const& sources) -> void {
    std::erase_if(cursors, [&](auto const& item) { return !sources.contains(item.first); });
}

}  // namespace dockrock

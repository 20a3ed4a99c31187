#include "control/load.hpp"

#include <algorithm>
#include <array>

namespace dockrock {

namespace {

// Numbers are encoded in base-32 digits, least significant first, with letters that JSON does not escape.
// Letters 32 to 63 mean that another digit follows.
constexpr auto letters = std::string_view("0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_");
constexpr auto max_amount = std::int64_t{1} << 40U;  // sums of such values can't overflow

auto put(std::string& into, std::int64_t number) -> void {
    auto rest = static_cast<std::uint64_t>(std::max<std::int64_t>(0, number));
    while (rest >= 32) {
        into.push_back(letters[32 + rest % 32]);
        rest /= 32;
    }
    into.push_back(letters[rest]);
}

// Reads an untrusted text; after the first error `bad` stays set.
struct Reader {
    std::string_view text;
    bool bad = false;

    auto take() -> std::int64_t {
        auto number = std::uint64_t{0};
        for (auto shift = 0U; shift < 60 && !text.empty(); shift += 5) {
            auto const digit = letters.find(text.front());
            if (digit == std::string_view::npos) break;
            text.remove_prefix(1);
            number |= static_cast<std::uint64_t>(digit % 32) << shift;
            if (digit < 32) return static_cast<std::int64_t>(number);
        }
        bad = true;
        return 0;
    }
    auto take_count() -> std::size_t {  // of elements that take at least one letter each
        auto const count = take();
        if (count > static_cast<std::int64_t>(text.size())) bad = true;
        return bad ? 0 : static_cast<std::size_t>(count);
    }
    auto take_name() -> std::string {
        auto const size = take_count();
        auto name = std::string(text.substr(0, size));
        text.remove_prefix(size);
        return name;
    }
    auto take_amount() -> std::int64_t { return std::min(take(), max_amount); }
    auto take_load() -> Load {
        Load load;
        load.count = take_amount();
        auto const more = take_amount();  // slots minus count, zigzag encoded: 0, -1, 1, -2 ...
        load.slots = std::max<std::int64_t>(0, load.count + (more % 2 == 0 ? more / 2 : -(more + 1) / 2));
        load.memory = take_amount();
        load.recent = take_amount();
        load.aged = take_amount();
        load.nodes = take_amount();
        load.old_nodes = take_amount();
        if (load.old_nodes > 0) load.old_slots = take_amount();
        load.unread = take_amount();
        load.ended = take_amount();
        if (load.ended > 0) load.failed = take_amount();
        return load;
    }
    auto done() const -> bool { return !bad && text.empty(); }
};

auto put_load(std::string& into, Load const& load) -> void {
    put(into, load.count);
    auto const more = load.slots - load.count;
    put(into, more >= 0 ? 2 * more : -2 * more - 1);
    put(into, load.memory);
    put(into, load.recent);
    put(into, load.aged);
    put(into, load.nodes);
    put(into, load.old_nodes);
    if (load.old_nodes > 0) put(into, load.old_slots);
    put(into, load.unread);
    put(into, load.ended);
    if (load.ended > 0) put(into, load.failed);
}

auto put_named(std::string& into, NamedLoad const& item) -> void {
    put(into, static_cast<std::int64_t>(item.name.size()));
    into += item.name;
    put_load(into, item.load);
}

auto in_order(Loads const& loads) -> bool {
    return std::adjacent_find(loads.begin(), loads.end(), [](auto const& left, auto const& right) {
               return !(left.name < right.name);
           }) == loads.end();
}

}  // namespace

auto add_load(Load& into, Load const& from, std::int64_t sign) -> void {
    into.count += sign * from.count;
    into.slots += sign * from.slots;
    into.memory += sign * from.memory;
    into.recent += sign * from.recent;
    into.aged += sign * from.aged;
    into.nodes += sign * from.nodes;
    into.old_nodes += sign * from.old_nodes;
    into.old_slots += sign * from.old_slots;
    into.unread += sign * from.unread;
    into.ended += sign * from.ended;
    into.failed += sign * from.failed;
}

auto add_loads(Loads const& left, Loads const& right) -> Loads {
    Loads sum;
    sum.reserve(left.size() + right.size());
    auto one = left.begin();
    auto other = right.begin();
    while (one != left.end() || other != right.end()) {
        auto const order = one == left.end() ? 1 : other == right.end() ? -1 : one->name.compare(other->name);
        sum.push_back(order <= 0 ? *one : *other);
        if (order == 0) add_load(sum.back().load, other->load);
        if (order <= 0) ++one;
        if (order >= 0) ++other;
    }
    return sum;
}

auto find_load(Loads const& loads, std::string_view name) -> Load const* {
    auto const found = std::lower_bound(
        loads.begin(), loads.end(), name, [](auto const& item, auto const& wanted) { return item.name < wanted; });
    return found == loads.end() || found->name != name ? nullptr : &found->load;
}

auto age_loads(Loads loads, std::int64_t later, bool old) -> Loads {
    for (auto& [name, load] : loads) {
        if (!old) {
            load.aged += load.recent * later;
            continue;
        }
        load.old_nodes = load.nodes;
        load.old_slots = load.slots;
        load.recent = load.aged = 0;
        load.unread = load.ended = load.failed = 0;  // outdated after a second: prompts are read, outcomes replaced
    }
    return loads;
}

auto write_loads(Loads const& loads) -> std::string {
    std::string text;
    put(text, static_cast<std::int64_t>(loads.size()));
    for (auto const& item : loads) put_named(text, item);
    return text;
}

auto read_loads(std::string_view text) -> std::optional<Loads> {
    auto reader = Reader{text};
    Loads loads;
    for (auto count = reader.take_count(); count > 0 && !reader.bad; --count) {
        auto name = reader.take_name();
        loads.push_back({std::move(name), reader.take_load()});
    }
    if (!reader.done() || !in_order(loads)) return std::nullopt;
    return loads;
}

auto write_loads_difference(Loads const& base, Loads const& fresh) -> std::string {
    std::string gone, changed, added;
    auto counts = std::array<std::int64_t, 3>{};
    auto after_gone = std::int64_t{0};  // entries of `base` since the last removed one
    auto after_changed = std::int64_t{0};
    auto one = base.begin();
    auto other = fresh.begin();
    while (one != base.end() || other != fresh.end()) {
        auto const order = one == base.end() ? 1 : other == fresh.end() ? -1 : one->name.compare(other->name);
        if (order > 0) {
            put_named(added, *other);
            ++counts[2];
        } else if (order < 0) {
            put(gone, after_gone);
            after_gone = -1;
            ++counts[0];
        } else if (one->load != other->load) {
            put(changed, after_changed);
            put_load(changed, other->load);
            after_changed = -1;
            ++counts[1];
        }
        if (order <= 0) {
            ++one;
            ++after_gone;
            ++after_changed;
        }
        if (order >= 0) ++other;
    }
    std::string text;
    for (auto const& [count, part] : {std::pair(counts[0], &gone), {counts[1], &changed}, {counts[2], &added}}) {
        put(text, count);
        text += *part;
    }
    return text;
}

auto apply_loads_difference(Loads const& base, std::string_view text) -> std::optional<Loads> {
    auto reader = Reader{text};
    auto remaining = std::vector<bool>(base.size(), true);
    auto made = base;
    auto const place_after = [&](std::size_t& next) {
        next += static_cast<std::size_t>(reader.take());
        if (next < base.size()) return next++;
        reader.bad = true;
        return std::size_t{0};
    };
    auto next = std::size_t{0};
    for (auto count = reader.take_count(); count > 0 && !reader.bad; --count) {
        auto const place = place_after(next);
        if (!reader.bad) remaining[place] = false;
    }
    next = 0;
    for (auto count = reader.take_count(); count > 0 && !reader.bad; --count) {
        auto const place = place_after(next);
        auto const load = reader.take_load();
        if (!reader.bad) made[place].load = load;
    }
    Loads added;
    for (auto count = reader.take_count(); count > 0 && !reader.bad; --count) {
        auto name = reader.take_name();
        added.push_back({std::move(name), reader.take_load()});
    }
    if (!reader.done() || !in_order(added)) return std::nullopt;
    Loads left;
    left.reserve(made.size());
    for (auto place = std::size_t{0}; place < made.size(); ++place)
        if (remaining[place]) left.push_back(std::move(made[place]));
    for (auto const& item : added)
        if (find_load(left, item.name) != nullptr) return std::nullopt;
    return add_loads(left, added);
}

}  // namespace dockrock

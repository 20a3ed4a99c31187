#include "base/text_difference.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <cstring>

namespace dockrock {

namespace {

constexpr auto gram = std::size_t{24};                               // matching bytes that end a difference
constexpr auto windows = std::to_array<std::size_t>({512, 16'384});  // bytes searched after a difference, in turn
constexpr auto max_compared_run = std::size_t{4'096};                // matching bytes counted to compare candidates
constexpr auto max_edits = std::size_t{256};                         // beyond it the rest becomes one edit
constexpr auto edit_overhead = std::size_t{40};                      // bytes of one edit as JSON
constexpr auto digest_prime = std::uint64_t{0x9e3779b97f4a7c15};

auto common_prefix(std::string_view one, std::string_view other) -> std::size_t {
    auto const least = std::min(one.size(), other.size());
    auto const from = one.substr(0, least);
    return static_cast<std::size_t>(std::mismatch(from.begin(), from.end(), other.begin()).first - from.begin());
}

auto common_suffix(std::string_view one, std::string_view other) -> std::size_t {
    auto const least = std::min(one.size(), other.size());
    auto const from = one.substr(one.size() - least);
    auto const differs = std::mismatch(from.rbegin(), from.rend(), other.rbegin()).first;
    return static_cast<std::size_t>(differs - from.rbegin());
}

struct Resumption {  // offsets, from the start of a difference, at which the texts agree again
    std::size_t in_base = 0;
    std::size_t in_fresh = 0;
};

auto hash_of_gram(std::string_view text) -> std::uint64_t {
    auto word = std::uint64_t{0};
    std::memcpy(&word, text.data(), sizeof(word));
    return word * digest_prime;
}

// Hash table of the offsets of all grams in a text; on a collision the first one is kept.
struct GramTable {
    std::vector<std::uint32_t> places;  // offset + 1; 0: none
    int shift = 0;

    explicit GramTable(std::string_view text) {
        auto const slots = std::bit_ceil(2 * text.size());
        places.resize(slots);
        shift = 64 - std::countr_zero(slots);
        for (auto place = std::size_t{0}; place + gram <= text.size(); ++place) {
            auto& kept = places[hash_of_gram(text.substr(place)) >> shift];
            if (kept == 0) kept = static_cast<std::uint32_t>(place + 1);
        }
    }
    auto find(std::string_view sought) const -> std::optional<std::size_t> {
        auto const kept = places[hash_of_gram(sought) >> shift];
        return kept == 0 ? std::nullopt : std::optional(std::size_t{kept} - 1);
    }
};

// The first gram of `fresh` that is at the same offset in `base`.
auto find_in_place(std::string_view base, std::string_view fresh) -> std::optional<Resumption> {
    for (auto place = std::size_t{0}; place + gram <= std::min(base.size(), fresh.size()); ++place)
        if (base.substr(place, gram) == fresh.substr(place, gram)) return Resumption{place, place};
    return std::nullopt;
}

// The first gram of `fresh` that is anywhere in `base`.
auto find_anywhere(std::string_view base, std::string_view fresh) -> std::optional<Resumption> {
    auto const table = GramTable(base);
    for (auto place = std::size_t{0}; place + gram <= fresh.size(); ++place) {
        auto const sought = fresh.substr(place, gram);
        auto const found = table.find(sought);
        if (found && base.substr(*found, gram) == sought) return Resumption{*found, place};
    }
    return std::nullopt;
}

// Chooses the candidate followed by more matching bytes: in repetitive text the nearest match may be a wrong one.
auto find_resumption(std::string_view base, std::string_view fresh, std::size_t window) -> std::optional<Resumption> {
    auto const near_base = base.substr(0, window);
    auto const near_fresh = fresh.substr(0, window);
    if (near_base.size() < gram || near_fresh.size() < gram) return std::nullopt;
    auto const in_place = find_in_place(near_base, near_fresh);
    auto const moved = find_anywhere(near_base, near_fresh);
    if (!in_place || !moved) return in_place ? in_place : moved;
    auto const matching_bytes = [&](Resumption const& from) {
        return common_prefix(
            base.substr(from.in_base, max_compared_run), fresh.substr(from.in_fresh, max_compared_run));
    };
    return matching_bytes(*in_place) >= matching_bytes(*moved) ? in_place : moved;
}

// Tries the small window first, as most changes are small.
auto find_resumption_near(std::string_view base, std::string_view fresh) -> std::optional<Resumption> {
    for (auto const window : windows)
        if (auto const found = find_resumption(base, fresh, window)) return found;
    return std::nullopt;
}

}  // namespace

auto edits_between(std::string_view base, std::string_view fresh) -> TextEdits {
    TextEdits edits;
    while (true) {
        auto const kept = common_prefix(base, fresh);
        if (kept == base.size() && kept == fresh.size()) return edits;
        base.remove_prefix(kept);
        fresh.remove_prefix(kept);
        auto const resumed = edits.size() + 1 < max_edits ? find_resumption_near(base, fresh) : std::nullopt;
        if (!resumed) {
            auto const back = common_suffix(base, fresh);
            edits.push_back({kept, base.size() - back, std::string(fresh.substr(0, fresh.size() - back))});
            return edits;
        }
        edits.push_back({kept, resumed->in_base, std::string(fresh.substr(0, resumed->in_fresh))});
        base.remove_prefix(resumed->in_base);
        fresh.remove_prefix(resumed->in_fresh);
    }
}

auto apply_edits(std::string_view base, TextEdits const& edits) -> std::optional<std::string> {
    std::string made;
    made.reserve(base.size() + size_of(edits));
    for (auto const& edit : edits) {
        if (edit.kept > base.size() || edit.dropped > base.size() - edit.kept) return std::nullopt;
        made.append(base.substr(0, edit.kept)).append(edit.put);
        base.remove_prefix(edit.kept + edit.dropped);
    }
    made.append(base);
    return made;
}

auto size_of(TextEdits const& edits) -> std::size_t {
    auto size = std::size_t{0};
    for (auto const& edit : edits) size += edit.put.size() + edit_overhead;
    return size;
}

auto text_digest(std::string_view text) -> std::uint64_t {
    auto value = digest_prime ^ text.size();
    while (!text.empty()) {
        auto word = std::uint64_t{0};
        auto const length = std::min(text.size(), sizeof(word));
        std::memcpy(&word, text.data(), length);
        value = (value ^ word) * digest_prime;
        value ^= value >> 29U;
        text.remove_prefix(length);
    }
    return value >> 1U;
}

}  // namespace dockrock

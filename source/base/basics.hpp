#pragma once
// Basic types and functions that every component uses. docs/design.md section 2.
#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dockrock {

using Microseconds = std::int64_t;  // the unit of every time and duration

inline constexpr Microseconds one_millisecond = 1'000;
inline constexpr Microseconds one_second = 1'000'000;

// A counter-based pseudo-random generator (SplitMix64). The node process seeds it
// from the system, the simulator from its own seed (design 2).
struct Random {
    std::uint64_t state = 1;
    auto next() -> std::uint64_t {
        state += 0x9e3779b97f4a7c15ULL;
        auto mixed = state;
        mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
        mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
        return mixed ^ (mixed >> 31);
    }
    // A number in [0, limit); 0 for a limit of 0.
    auto below(std::uint64_t limit) -> std::uint64_t { return limit == 0 ? 0 : next() % limit; }
};

// FNV-1a with a final mix; not a cryptographic hash.
inline auto hash_text(std::string_view text, std::uint64_t seed = 0xcbf29ce484222325ULL) -> std::uint64_t {
    auto value = seed;
    for (auto character : text) value = (value ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
    value ^= value >> 32;
    return value * 0x9e3779b97f4a7c15ULL;
}

inline auto contains(std::vector<std::string> const& list, std::string const& item) -> bool {
    return std::find(list.begin(), list.end(), item) != list.end();
}

}  // namespace dockrock

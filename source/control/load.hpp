#pragma once
// The load of replicas as one node tells it, or as many nodes' words together:
// sums, and their short text. docs/design.md section 9.8.
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/basics.hpp"

namespace dockrock {

inline constexpr auto tokens_in_unread = std::int64_t{64};

struct Load {
    std::int64_t count = 0;  // requests placed and not seen finished
    std::int64_t slots = 0;
    std::int64_t memory = 0;
    std::int64_t recent = 0;     // placed in the second before each node told
    std::int64_t aged = 0;       // sum of recent times the age of its telling, in milliseconds
    std::int64_t nodes = 0;      // how many nodes told of this replica,
    std::int64_t old_nodes = 0;  // of these, whose word is old: `recent` and `aged` leave them out
    std::int64_t old_slots = 0;
    std::int64_t unread = 0;  // of prompts placed and not read yet, in units of `tokens_in_unread`
    std::int64_t ended = 0;   // outcomes seen within their window (scheduling/replica_health.hpp)
    std::int64_t failed = 0;
    auto operator==(Load const&) const -> bool = default;
};
struct NamedLoad {
    std::string name;
    Load load;
    auto operator==(NamedLoad const&) const -> bool = default;
};
using Loads = std::vector<NamedLoad>;  // in the order of names

auto add_load(Load& into, Load const& from, std::int64_t sign = 1) -> void;
auto add_loads(Loads const& left, Loads const& right) -> Loads;
auto find_load(Loads const& loads, std::string_view name) -> Load const*;
// As they are `later` milliseconds on; past the limit every word in it is old.
auto age_loads(Loads loads, std::int64_t later, bool old) -> Loads;

auto write_loads(Loads const& loads) -> std::string;
auto read_loads(std::string_view text) -> std::optional<Loads>;
// What makes `fresh` of `base`: places stand for names that both have.
auto write_loads_difference(Loads const& base, Loads const& fresh) -> std::string;
auto apply_loads_difference(Loads const& base, std::string_view text) -> std::optional<Loads>;

}  // namespace dockrock

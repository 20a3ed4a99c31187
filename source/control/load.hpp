#pragma once
// The load of replicas as reported by one node or summed over many nodes, and its
// compact text encoding. docs/design.md section 9.8.
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/basics.hpp"

namespace dockrock {

inline constexpr auto tokens_in_unread = std::int64_t{64};

// All fields are sums over the nodes that placed requests on a replica.
struct Load {
    std::int64_t count = 0;  // requests placed and not known to be finished
    std::int64_t slots = 0;
    std::int64_t memory = 0;
    std::int64_t recent = 0;     // placed in the last second before each node's report
    std::int64_t aged = 0;       // sum over reports of `recent` times the report's age in milliseconds
    std::int64_t nodes = 0;      // number of nodes that reported load on this replica,
    std::int64_t old_nodes = 0;  // of these, nodes with an old report, which `recent` and `aged` leave out
    std::int64_t old_slots = 0;
    std::int64_t unread = 0;  // prompt tokens placed and not prefilled yet, in units of `tokens_in_unread`
    std::int64_t ended = 0;   // outcomes within the window (scheduling/replica_health.hpp), and failures among them
    std::int64_t failed = 0;
    auto operator==(Load const&) const -> bool = default;
};
struct NamedLoad {
    std::string name;
    Load load;
    auto operator==(NamedLoad const&) const -> bool = default;
};
using Loads = std::vector<NamedLoad>;  // sorted by name

auto add_load(Load& into, Load const& from, std::int64_t sign = 1) -> void;
auto add_loads(Loads const& left, Loads const& right) -> Loads;
auto find_load(Loads const& loads, std::string_view name) -> Load const*;
// The loads `later` milliseconds on; with `old`, all reports in them count as old.
auto age_loads(Loads loads, std::int64_t later, bool old) -> Loads;

auto write_loads(Loads const& loads) -> std::string;
auto read_loads(std::string_view text) -> std::optional<Loads>;
// The difference that turns `base` into `fresh`; names in `base` are referred to by index.
auto write_loads_difference(Loads const& base, Loads const& fresh) -> std::string;
auto apply_loads_difference(Loads const& base, std::string_view text) -> std::optional<Loads>;

}  // namespace dockrock

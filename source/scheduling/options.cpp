#include "scheduling/options.hpp"

#include <array>
#include <charconv>
#include <variant>

namespace dockrock {

namespace {

using Target = std::variant<
    std::int64_t SchedulingOptions::*, double SchedulingOptions::*, bool SchedulingOptions::*,
    std::size_t SchedulingOptions::*>;
struct Option {
    std::string_view name;
    Target target;
    double least = 0.0;
    double most = 0.0;
    std::int64_t unit = 1;  // factor from the value to the field: microseconds per millisecond, for times
};

constexpr auto option_table = std::to_array<Option>(
    {{"multiplier", &SchedulingOptions::multiplier, 1, 64},
     {"load_steps", &SchedulingOptions::load_steps, 0, 1'024},
     {"depth", &SchedulingOptions::depth, 1, 10'000},
     {"digest_interval", &SchedulingOptions::digest_interval, 20, 2'000, one_millisecond},
     {"relayed_interval", &SchedulingOptions::relayed_interval, 20, 2'000, one_millisecond},
     {"wait_token_rate", &SchedulingOptions::wait_token_rate, 0, 1e6},
     {"share_bound", &SchedulingOptions::share_bound, 1, 100},
     {"rank_weight", &SchedulingOptions::rank_weight, 0, 100},
     {"refused_pause", &SchedulingOptions::refused_pause, 0, 10'000, one_millisecond},
     {"owing_limit", &SchedulingOptions::budget_wait_limit, 0, 60'000, one_millisecond},
     {"least_saved", &SchedulingOptions::least_saved, 0, 1e9},
     {"idle_open", &SchedulingOptions::idle_open, 0, 1},
     {"work_outstanding", &SchedulingOptions::work_outstanding, 0, 1},
     {"copy_cost", &SchedulingOptions::copy_cost, 0, 100},
     {"prefix_home", &SchedulingOptions::prefix_home, 0, 1},
     {"short_prompt", &SchedulingOptions::short_prompt, 0, 1e6},
     {"peer_moves", &SchedulingOptions::peer_moves, 0, 1},
     {"store_reads", &SchedulingOptions::store_reads, 0, 1},
     {"store_writes", &SchedulingOptions::store_writes, 0, 1},
     {"eject_failing", &SchedulingOptions::eject_failing, 0, 1},
     {"observe_rates", &SchedulingOptions::observe_rates, 0, 1}});

auto find_option(std::string_view name) -> Option const* {
    for (auto const& option : option_table)
        if (option.name == name) return &option;
    return nullptr;
}

auto number_of(std::string_view text) -> std::optional<double> {
    auto value = 0.0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return value;
}

auto range_text(Option const& option) -> std::string {
    return "must be a number from " + std::to_string(static_cast<std::int64_t>(option.least)) + " to " +
        std::to_string(static_cast<std::int64_t>(option.most));
}

auto is_whole(Option const& option, double value) -> bool {
    return std::holds_alternative<double SchedulingOptions::*>(option.target) ||
        value == static_cast<double>(static_cast<std::int64_t>(value));
}

}  // namespace

auto set_scheduling_options(std::vector<std::string> const& items, SchedulingOptions& into) -> Problems {
    Problems problems;
    for (auto const& item : items) {
        auto const mark = item.find('=');
        auto const name = item.substr(0, mark);
        auto const path = "/scheduling/" + name;
        auto const* option = find_option(name);
        if (mark == std::string::npos || option == nullptr) {
            problems.push_back({path, mark == std::string::npos ? "must be NAME=VALUE" : "is no scheduling option"});
            continue;
        }
        auto const value = number_of(std::string_view(item).substr(mark + 1));
        if (!value || !(*value >= option->least && *value <= option->most) || !is_whole(*option, *value)) {
            problems.push_back({path, range_text(*option)});
            continue;
        }
        std::visit(
            [&](auto target) {
                using Field = std::remove_reference_t<decltype(into.*target)>;
                into.*target = static_cast<Field>(*value * static_cast<double>(option->unit));
            },
            option->target);
    }
    return problems;
}

}  // namespace dockrock

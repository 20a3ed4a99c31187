#pragma once
// Verdicts on a record: one for each rule that can be seen from outside.
#include "record.hpp"

namespace dockrock::platform_stand_in {

enum class Rule {
    mixed,
    unasked,
    twice,
    refused,
    route,
    drain,
    config,
    budget,
    order,
    lost,
    one,
    stale,
    wall,
    version,
    count
};
constexpr auto rule_names = std::array<std::string_view, static_cast<std::size_t>(Rule::count)>{
    "MIXED",  "UNASKED", "TWICE", "REFUSED", "ROUTE", "DRAIN", "CONFIG",
    "BUDGET", "ORDER",   "LOST",  "ONE",     "STALE", "WALL",  "VERSION"};

struct Verdict {
    std::int64_t judged = 0;  // how many things could have broken it
    std::vector<std::string> broken;
};
using Verdicts = std::array<Verdict, static_cast<std::size_t>(Rule::count)>;

struct Court {  // a record with its look-up tables
    Record const& record;
    Bounds const& bounds;
    std::map<std::string, Sent const*> sent;                 // by Request-Id
    std::map<std::string, Run const*> runs;                  // by the run's own name
    std::map<std::string, std::vector<Run const*>> by_sent;  // by Request-Id
    Verdicts verdicts;

    auto of(Rule rule) -> Verdict& { return verdicts[static_cast<std::size_t>(rule)]; }
    auto judge(Rule rule, bool kept, std::string const& what) -> void {
        ++of(rule).judged;
        if (!kept) of(rule).broken.push_back(what);
    }
    auto calm(Milliseconds from, Milliseconds to) const -> bool;  // no trouble from `contact` before
    auto in_touch(std::string const& node, Milliseconds from, Milliseconds to) const -> bool;
    // Until when a node may act by an older configuration; nothing: it is bound by no time.
    auto apply_bound(std::string const& node, Milliseconds from, Milliseconds to) const -> std::optional<Milliseconds>;
    auto smooth_since(Milliseconds at) const -> std::optional<Milliseconds>;  // nothing: it is rough
};

auto judge_answers(Court& court) -> void;        // MIXED, ORDER, REFUSED
auto judge_runs(Court& court) -> void;           // UNASKED, TWICE, WALL, STALE, VERSION
auto judge_configuration(Court& court) -> void;  // ROUTE, CONFIG, LOST
auto judge_going_back(Court& court) -> void;     // CONFIG: a node that returns to an older one
auto judge_glances(Court& court) -> void;        // CONFIG: what any node shows at any time
auto judge_repeated(Court& court) -> void;       // CONFIG: a change that was taken, sent again
auto judge_kept(Court& court) -> void;           // LOST: kept connections closed without an answer
auto judge_stops(Court& court) -> void;          // LOST: answers cut off by a planned stop
auto judge_fleet(Court& court) -> void;          // DRAIN, BUDGET, ONE
auto judge(Record const& record, Bounds const& bounds) -> Verdicts;
auto state_of(Verdict const& verdict) -> std::string_view;  // held, BROKEN, not judged
constexpr auto first_words = std::int64_t{5};               // of what broke a rule, told in its verdict
auto write_verdicts(Verdicts const& verdicts, std::int64_t most = first_words) -> json::array;

}  // namespace dockrock::platform_stand_in

// Rules on what replicas ran.
#include <algorithm>
#include <limits>

#include "judge.hpp"

namespace dockrock::platform_stand_in {

namespace {
auto judge_asked(Court& court, Run const& run) -> Sent const* {
    auto const found = court.sent.find(run.identity);
    court.judge(Rule::unasked, found != court.sent.end(), run.name + ": no client sent " + run.identity);
    if (found == court.sent.end()) return nullptr;
    auto const& sent = *found->second;
    auto const same = sent.method == run.method && sent.host == run.host && sent.target == run.target;
    court.judge(Rule::unasked, same, run.name + ": method, host, path or query changed: " + run.target);
    court.judge(Rule::unasked, sent.body == run.body, run.name + ": the body was changed");
    court.judge(Rule::unasked, !run.key_seen, run.name + ": the key was handed on");
    if (!sent.repeatable)
        court.judge(Rule::twice, court.by_sent[run.identity].size() == 1, run.identity + " ran more than once");
    return &sent;
}

auto judge_tenant(Court& court, Run const& run, Sent const& sent) -> void {
    auto known = false, right = false;  // a key that nobody held is a matter of ROUTE
    for (auto const& change : court.record.changes) {
        if (!change.configuration.keyed || change.sent > run.at) continue;
        auto const* tenant = tenant_of(change.configuration, sent.key);
        known |= tenant != nullptr;
        if (tenant != nullptr && tenant->name == run.tenant) right = true;
        auto const* route = route_of(change.configuration, sent.host, sent.target);
        if (route != nullptr && route->open) right = true;
    }
    if (known) court.judge(Rule::unasked, right, run.name + ": the key is not of tenant '" + run.tenant + "'");
}

// The version that every node acts on by then, at least: the newest that was acknowledged a bound before, or the first.
auto settled_version(Court const& court, Milliseconds at) -> std::int64_t {
    auto first = std::numeric_limits<std::int64_t>::max();
    auto newest = std::int64_t{0};
    for (auto const& change : court.record.changes) {
        if (change.outcome != Outcome::acknowledged) continue;
        first = std::min(first, change.configuration.version);
        if (change.answered <= at - court.bounds.apply) newest = std::max(newest, change.configuration.version);
    }
    return newest == 0 ? first : newest;
}

// Under every configuration that may be in force on a node at that time.
auto isolated(Court const& court, std::string const& tenant, Milliseconds at) -> bool {
    auto const settled = settled_version(court, at);
    auto walled = false;
    for (auto const& change : court.record.changes) {
        if (!change.valid || change.outcome == Outcome::refused || change.sent > at) continue;
        if (change.configuration.version < settled) continue;
        auto const* const found = tenant_named(change.configuration, tenant);
        if (found == nullptr || !found->isolated) return false;
        walled = true;
    }
    return walled;
}

auto judge_memory(Court& court, Run const& run) -> void {
    for (auto const& part : run.used) {
        court.judge(
            Rule::stale, part.version == run.version,
            run.name + ": memory of version " + std::to_string(part.version) + " under " + std::to_string(run.version));
        auto const walled =
            part.tenant != run.tenant && (isolated(court, part.tenant, run.at) || isolated(court, run.tenant, run.at));
        court.judge(Rule::wall, !walled, run.name + ": '" + run.tenant + "' on memory of '" + part.tenant + "'");
    }
}

// The time counts within one stretch without trouble in the core or on a link.
auto judge_version(Court& court, Run const& run, Sent const& sent) -> void {
    auto const since = court.smooth_since(run.at);
    if (!since || !court.in_touch(sent.node, sent.at, run.at)) return;
    for (auto const& named : court.record.versions) {
        auto const began = std::max(named.acknowledged, *since);
        if (named.model != run.model || began + court.bounds.version >= run.at) continue;
        court.judge(
            Rule::version, run.version >= named.version,
            run.identity + ": begun on " + std::to_string(run.version) + ", named " + std::to_string(named.version) +
                ", " + std::to_string(run.at - began) + " ms after");
    }
}

// What follows an early answer is the rest of that request's body and nothing else.
auto judge_early(Court& court) -> void {
    for (auto const& early : court.record.early) {
        auto const found = court.sent.find(early.identity);
        if (found == court.sent.end() || !early.whole) continue;
        court.judge(
            Rule::unasked, found->second->body == early.body, early.identity + ": other bytes in place of its body");
    }
}

}  // namespace

auto judge_runs(Court& court) -> void {
    judge_early(court);
    for (auto const& run : court.record.runs) {
        auto const* sent = judge_asked(court, run);
        if (sent != nullptr) judge_tenant(court, run, *sent);
        if (sent != nullptr) judge_version(court, run, *sent);
        judge_memory(court, run);
    }
}

}  // namespace dockrock::platform_stand_in

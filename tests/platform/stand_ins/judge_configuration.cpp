// Rules on which configuration was in force, and on what was read back.
#include "judge.hpp"

namespace dockrock::platform_stand_in {

namespace {
constexpr auto ever = -(Milliseconds{1} << 60U);  // before anything was acknowledged

// Versions that may be in force for a request: from the newest that had been
// acknowledged for `bound` when it was sent, up to those sent by the time of the run.
auto in_force(Court const& court, Milliseconds sent, Milliseconds run, Milliseconds bound)
    -> std::vector<Configuration const*> {
    auto newest = std::int64_t{0};
    for (auto const& change : court.record.changes)
        if (change.outcome == Outcome::acknowledged && change.answered + bound < sent)
            newest = std::max(newest, change.configuration.version);
    auto found = std::vector<Configuration const*>();
    for (auto const& change : court.record.changes)
        if (change.outcome != Outcome::refused && change.configuration.version >= newest && change.sent <= run)
            found.push_back(&change.configuration);
    return found;
}

auto judge_run(Court& court, Run const& run, Sent const& sent) -> void {
    auto routed = false, keyed = false;
    for (auto const& change : court.record.changes) {
        routed |= allows_service(change.configuration, sent.host, sent.target, run.service);
        keyed |= allows_key(change.configuration, sent.host, sent.target, sent.key);
    }
    court.judge(Rule::route, routed, run.name + ": " + sent.target + " at " + run.service);
    court.judge(Rule::route, keyed, run.name + ": a key that no configuration held");
    auto const any = [&](std::vector<Configuration const*> const& list, auto const& allows) {
        return std::any_of(list.begin(), list.end(), [&](auto const* item) { return allows(*item); });
    };
    if (!routed || !keyed) return;
    auto const forever = in_force(court, ever, run.at, 0);
    auto const by_service = [&](Configuration const& item) {
        return allows_service(item, sent.host, sent.target, run.service);
    };
    auto const by_key = [&](Configuration const& item) { return allows_key(item, sent.host, sent.target, sent.key); };
    court.judge(Rule::config, any(forever, by_service), run.name + ": a refused configuration is in force");
    if (court.bounds.revoked)
        court.judge(
            Rule::config, any(in_force(court, sent.at, run.at, court.bounds.revoke), by_key),
            run.name + ": ran with a revoked key");
    auto const bound = court.apply_bound(sent.node, sent.at, run.at);
    if (!bound) return;
    auto const applied = in_force(court, sent.at, run.at, *bound);
    court.judge(
        Rule::config, any(applied, by_service) && any(applied, by_key),
        run.name + ": only an older configuration allows " + sent.target + " at " + run.service);
}

auto judge_denied(Court& court, Answer const& answer, Sent const& sent) -> void {
    if (answer.status != 401 && answer.status != 403 && answer.status != 404) return;
    auto const bound = court.apply_bound(sent.node, sent.at, answer.at);
    if (!bound) return;
    auto const list = in_force(court, sent.at, answer.at, *bound);
    auto const allows = [&](Configuration const* item) {
        return route_of(*item, sent.host, sent.target) != nullptr &&
            allows_key(*item, sent.host, sent.target, sent.key);
    };
    auto const wrong = !list.empty() && std::all_of(list.begin(), list.end(), allows);
    court.judge(Rule::config, !wrong, sent.identity + ": " + std::to_string(answer.status) + " though allowed");
}

auto judge_changes(Court& court) -> void {
    auto bases = std::map<std::int64_t, std::int64_t>();
    for (auto const& change : court.record.changes) {
        if (change.outcome != Outcome::acknowledged) continue;
        auto const version = std::to_string(change.configuration.version);
        court.judge(Rule::config, change.valid, "version " + version + " is invalid and acknowledged");
        court.judge(Rule::config, ++bases[change.base] == 1, "two acknowledged on top of one, " + version);
    }
}

auto judge_read(Court& court, ReadBack const& read) -> void {
    auto newest = std::int64_t{0};
    for (auto const& change : court.record.changes)
        if (change.outcome == Outcome::acknowledged && change.answered <= read.at)
            newest = std::max(newest, change.configuration.version);
    court.judge(Rule::lost, read.document.has_value(), "the configuration does not come");
    if (!read.document) return;
    auto const version = number_of(*read.document, "ver");
    court.judge(
        Rule::lost, version >= newest, "read " + std::to_string(version) + ", acknowledged " + std::to_string(newest));
    auto as_sent = false;
    for (auto const& change : court.record.changes)
        if (change.outcome != Outcome::refused && change.configuration.version == version)
            as_sent |= change.document == *read.document;
    court.judge(Rule::config, as_sent, "version " + std::to_string(version) + " is not as it was sent");
}
}  // namespace

auto judge_configuration(Court& court) -> void {
    for (auto const& run : court.record.runs)
        if (auto const sent = court.sent.find(run.identity); sent != court.sent.end())
            judge_run(court, run, *sent->second);
    for (auto const& answer : court.record.answers)
        if (auto const sent = court.sent.find(answer.identity); sent != court.sent.end())
            judge_denied(court, answer, *sent->second);
    judge_changes(court);
    for (auto const& read : court.record.reads) judge_read(court, read);
}

// A node showed a version once a run can be explained by none older; what is
// sent `revert` later must not need an older one, as long as the process lives.
auto judge_going_back(Court& court) -> void {
    struct Shown {
        Milliseconds at = 0;
        std::int64_t version = 0;
        Milliseconds born = 0;  // the life that took the request
    };
    auto runs = std::vector<Run const*>();
    for (auto const& run : court.record.runs)
        if (court.sent.contains(run.identity)) runs.push_back(&run);
    std::sort(runs.begin(), runs.end(), [](auto const* left, auto const* right) { return left->at < right->at; });
    auto shown = std::map<std::string, std::vector<Shown>>();
    for (auto const* run : runs) {
        auto const& sent = *court.sent[run->identity];
        auto oldest = std::int64_t{0}, newest = std::int64_t{0};
        for (auto const& change : court.record.changes) {
            auto const& item = change.configuration;
            if (change.outcome == Outcome::refused || !allows_service(item, sent.host, sent.target, run->service) ||
                !allows_key(item, sent.host, sent.target, sent.key))
                continue;
            oldest = oldest == 0 ? item.version : std::min(oldest, item.version);
            newest = std::max(newest, item.version);
        }
        auto born = Milliseconds{0};
        for (auto const& start : court.record.starts)
            if (start.node == sent.node && start.at <= sent.at) born = std::max(born, start.at);
        for (auto const& before : shown[sent.node])
            if (newest > 0 && before.born == born && sent.at > before.at + court.bounds.revert)
                court.judge(
                    Rule::config, newest >= before.version,
                    sent.node + " went back from " + std::to_string(before.version) + " to " + std::to_string(newest));
        auto const& last = shown[sent.node];
        if (oldest > 0 && (last.empty() || last.back().version < oldest || last.back().born != born))
            shown[sent.node].push_back({run->at, oldest, born});
    }
}

}  // namespace dockrock::platform_stand_in

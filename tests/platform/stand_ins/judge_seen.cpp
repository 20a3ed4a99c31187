// Rules on what nodes show and do at any time, under troubles too.
#include "judge.hpp"

namespace dockrock::platform_stand_in {

namespace {
constexpr auto closed_at_most = std::size_t{3};  // kept connections, by one machine

auto refused(std::int64_t status) -> bool { return status / 100 == 4 && status != 408 && status != 429; }

// Whether any change but this one may have been made from `from` to `to`.
auto other_change(Court const& court, std::int64_t version, Milliseconds from, Milliseconds to) -> bool {
    auto const& changes = court.record.changes;
    return std::any_of(changes.begin(), changes.end(), [&](Change const& change) {
        return change.configuration.version != version && change.outcome != Outcome::refused && change.sent <= to &&
            (change.answered == 0 || change.answered >= from);
    });
}

auto sound(Court const& court, Run const& run) -> bool {
    return !run.broke && std::none_of(court.record.ended.begin(), court.record.ended.end(), [&](auto const& ended) {
        return ended.replica == run.replica;
    });
}
}  // namespace

auto judge_glances(Court& court) -> void {
    for (auto const& glance : court.record.glances) {
        if (glance.status / 100 != 2 || !glance.document) continue;
        auto newest = std::int64_t{0};
        for (auto const& change : court.record.changes)
            if (change.outcome == Outcome::acknowledged && change.answered + court.bounds.apply < glance.sent)
                newest = std::max(newest, change.configuration.version);
        auto const version = number_of(*glance.document, "ver");
        court.judge(
            Rule::config, version >= newest,
            glance.node + " shows " + std::to_string(version) + " at " + std::to_string(glance.at) + ", " +
                std::to_string(newest) + " was acknowledged longer ago than the bound");
        auto const as_sent =
            std::any_of(court.record.changes.begin(), court.record.changes.end(), [&](Change const& change) {
                return change.outcome != Outcome::refused && change.document == *glance.document;
            });
        court.judge(Rule::config, as_sent, glance.node + " shows " + std::to_string(version) + ", not as it was sent");
    }
}

auto judge_repeated(Court& court) -> void {
    for (auto const& repeated : court.record.repeated) {
        if (refused(repeated.status) && other_change(court, repeated.version, repeated.sent, repeated.at)) continue;
        court.judge(
            Rule::config, !refused(repeated.status),
            "version " + std::to_string(repeated.version) + " was taken, sent again and refused with " +
                std::to_string(repeated.status));
    }
}

auto judge_stops(Court& court) -> void {
    auto const planned = [&](std::string const& node, Milliseconds from, Milliseconds to) {
        return std::any_of(court.record.stops.begin(), court.record.stops.end(), [&](NodeSpan const& stop) {
            return stop.node == node && stop.from <= to && stop.to >= from;
        });
    };
    auto const troubled = [&](Milliseconds from, Milliseconds to) {
        return std::any_of(court.record.unplanned.begin(), court.record.unplanned.end(), [&](Span const& span) {
            return span.from <= to && span.to >= from;
        });
    };
    for (auto const& answer : court.record.answers) {
        auto const found = court.sent.find(answer.identity);
        auto const runs = court.by_sent.find(answer.identity);
        if (found == court.sent.end() || runs == court.by_sent.end() || !sound(court, *runs->second.back())) continue;
        auto const& sent = *found->second;
        if (!planned(sent.node, sent.at, answer.at) || troubled(sent.at, answer.at)) continue;
        court.judge(
            Rule::lost, !answer.closed || answer.at >= sent.until,
            answer.identity + " was cut off by the planned stop of " + sent.node);
    }
}

auto judge_kept(Court& court) -> void {
    auto closed = std::map<std::string, std::vector<std::string>>();
    for (auto const& answer : court.record.answers) {
        auto const found = court.sent.find(answer.identity);
        if (found == court.sent.end() || !found->second->kept) continue;
        auto const& sent = *found->second;
        auto const runs = court.by_sent.find(answer.identity);
        auto const passed_on = runs != court.by_sent.end() && sound(court, *runs->second.back());
        if (!passed_on || !court.in_touch(sent.node, sent.at, answer.at)) continue;
        auto& list = closed[sent.node];
        if (answer.closed && answer.status == 0) list.push_back(answer.identity);
    }
    for (auto const& [node, identities] : closed) {
        auto told = std::string();
        for (auto const& identity : identities) told += " " + identity;
        court.judge(
            Rule::lost, identities.size() <= closed_at_most,
            node + " closed kept connections without an answer:" + told);
    }
}

}  // namespace dockrock::platform_stand_in

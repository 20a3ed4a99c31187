// Rules on the fleet as a whole, and the verdicts together.
#include "judge.hpp"

#include <algorithm>

namespace dockrock::platform_stand_in {

namespace {
// Judged by each arrival at a leaving replica, and once for each such replica
// by the requests that were sent after the bound and came elsewhere.
auto judge_leaving(Court& court) -> void {
    for (auto const& leaving : court.record.leaving) {
        auto const bound = leaving.shown + court.bounds.drain;
        if (std::any_of(
                court.record.sent.begin(), court.record.sent.end(), [&](auto const& sent) { return sent.at > bound; }))
            court.judge(Rule::drain, true, "nothing later at " + leaving.replica);
        for (auto const& arrival : court.record.arrivals) {
            if (arrival.replica != leaving.replica || arrival.at <= leaving.shown) continue;
            auto const late = arrival.at > leaving.shown + court.bounds.drain && arrival.status != 421;
            auto const sent = court.sent.find(arrival.identity);
            auto const node = sent == court.sent.end() ? std::string() : sent->second->node;
            if (late && !court.in_touch(node, leaving.shown, arrival.at)) continue;
            court.judge(
                Rule::drain, !late,
                arrival.identity + " at " + leaving.replica + " after " + std::to_string(arrival.at - leaving.shown) +
                    " ms");
        }
    }
}

// Each window that begins at an arrival past the first of its request.
auto judge_budget(Court& court, std::string const& service) -> void {
    auto known = std::set<std::string>();
    auto further = std::vector<Milliseconds>();
    auto asked = std::vector<Milliseconds>();
    for (auto const& arrival : court.record.arrivals)
        if (arrival.service == service && !known.insert(arrival.identity).second) further.push_back(arrival.at);
    for (auto const& sent : court.record.sent)
        for (auto const& change : court.record.changes)
            if (change.sent <= sent.at && change.outcome != Outcome::refused &&
                allows_service(change.configuration, sent.host, sent.target, service)) {
                asked.push_back(sent.at);
                break;
            }
    std::sort(further.begin(), further.end());
    std::sort(asked.begin(), asked.end());
    auto const between = [](std::vector<Milliseconds> const& times, Milliseconds from, Milliseconds to) {
        return std::lower_bound(times.begin(), times.end(), to) - std::lower_bound(times.begin(), times.end(), from);
    };
    auto const width = court.bounds.retry_window;
    court.judge(Rule::budget, true, service);
    for (auto const from : further) {
        auto requests = std::ptrdiff_t{0};
        for (auto const back : {Milliseconds{0}, width / 2, width})
            requests = std::max(requests, between(asked, from - back, from - back + width));
        auto const count = between(further, from, from + width);
        auto const allowed = court.bounds.retry_ratio * static_cast<double>(requests) + court.bounds.retry_slack;
        court.judge(
            Rule::budget, static_cast<double>(count) <= allowed,
            service + ": " + std::to_string(count) + " further arrivals for " + std::to_string(requests));
    }
}

auto judge_orders(Court& court) -> void {
    struct Taken {
        std::map<std::int64_t, std::string> holders;  // by fence
        std::int64_t highest = 0;
        std::string holder;
        Milliseconds at = 0;
    };
    auto replicas = std::map<std::string, Taken>();
    for (auto const& order : court.record.orders) {
        auto& taken = replicas[order.replica];
        auto const holder = taken.holders.emplace(order.fence, order.holder).first->second;
        court.judge(Rule::one, holder == order.holder, order.replica + ": two holders of one fence");
        if (order.status != 200 && order.status != 202) continue;
        court.judge(Rule::one, order.fence >= taken.highest, order.replica + ": a lower fence was taken");
        auto const turns = !taken.holder.empty() && taken.holder != order.holder;
        auto const since = court.smooth_since(order.at);
        if (turns && (!since || *since > taken.at)) court.judge(Rule::one, true, order.replica);  // not in touch
        else
            court.judge(
                Rule::one, !turns || order.at - taken.at > court.bounds.lease,
                order.replica + ": holders take turns within the lease");
        taken.highest = std::max(taken.highest, order.fence);
        taken.holder = order.holder;
        taken.at = order.at;
    }
}
}  // namespace

auto judge_fleet(Court& court) -> void {
    judge_leaving(court);
    auto services = std::set<std::string>();
    for (auto const& arrival : court.record.arrivals) services.insert(arrival.service);
    for (auto const& service : services) judge_budget(court, service);
    judge_orders(court);
}

auto judge(Record const& record, Bounds const& bounds) -> Verdicts {
    auto court = Court{record, bounds, {}, {}, {}, {}};
    for (auto const& sent : record.sent) court.sent[sent.identity] = &sent;
    for (auto const& run : record.runs) {
        court.runs[run.name] = &run;
        court.by_sent[run.identity].push_back(&run);
    }
    judge_answers(court);
    judge_runs(court);
    judge_configuration(court);
    judge_going_back(court);
    judge_glances(court);
    judge_repeated(court);
    judge_kept(court);
    judge_stops(court);
    judge_fleet(court);
    return court.verdicts;
}

auto state_of(Verdict const& verdict) -> std::string_view {
    if (!verdict.broken.empty()) return "BROKEN";
    return verdict.judged > 0 ? "held" : "not judged";
}

auto write_verdicts(Verdicts const& verdicts, std::int64_t most) -> json::array {
    auto lines = json::array();
    for (auto place = std::size_t{0}; place < verdicts.size(); ++place) {
        auto const& verdict = verdicts[place];
        auto line = json::object();
        line["rule"] = rule_names[place];
        line["state"] = state_of(verdict);
        line["judged"] = verdict.judged;
        line["broken"] = verdict.broken.size();
        auto told = json::array();
        for (auto const& what : verdict.broken)
            if (static_cast<std::int64_t>(told.size()) < most) told.push_back(json::value(what));
        line["first"] = told;
        lines.push_back(line);
    }
    return lines;
}

}  // namespace dockrock::platform_stand_in

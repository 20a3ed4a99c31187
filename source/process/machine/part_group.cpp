// Who is of a part's group: the owner and as many understudies as losses are
// to be borne; and who votes. docs/design.md 5.2, 5.5.
#include <algorithm>

#include "process/machine/part.hpp"

namespace dockrock {

auto Part::copies() const -> std::size_t {
    auto const count = core_count != 0 ? core_count : votes.decided.voters.size();
    return count == 0 ? machines_lost + 1 : std::min(machines_lost + 1, majority_of(count));
}

auto Part::follow(Microseconds now) -> void {
    followers.clear();
    for (auto const& understudy : votes.decided.understudies) followers[understudy] = {now, {}};
}

auto Part::lost_understudies(Context& context) const -> std::set<std::string> {
    std::set<std::string> lost;
    for (auto const& [identity, follower] : followers) {
        auto const silent = context.now - follower.heard;
        if (silent > times.understudy_limit || (silent > 2 * times.renew_interval && !context.alive(identity)))
            lost.insert(identity);
    }
    return lost;
}

// Those of `from` that are not lost stay; living core nodes take the places of
// the others, first from areas where no member is. With too few living, lost
// ones keep their places: the group is never smaller, a change waits for them.
auto Part::understudies_for(Context& context, Record const& from, std::set<std::string> const& lost) const
    -> std::vector<std::string> {
    auto const cores = context.cores();
    auto const area_of = [&](std::string const& identity) {
        auto const found =
            std::find_if(cores.begin(), cores.end(), [&](auto const& member) { return member.identity == identity; });
        return found == cores.end() ? std::string() : found->area;
    };
    auto chosen = Record{0, from.primary, {}, {}};
    auto areas = std::set<std::string>{area_of(from.primary)};
    auto const take = [&](std::string const& identity) {
        if (chosen.understudies.size() + 1 >= copies() || chosen.has_member(identity)) return;
        chosen.understudies.push_back(identity);
        areas.insert(area_of(identity));
    };
    for (auto const& identity : from.understudies)
        if (!lost.contains(identity)) take(identity);
    while (chosen.understudies.size() + 1 < copies()) {
        std::vector<std::string> same_area;
        std::vector<std::string> other_area;
        for (auto const& member : cores) {
            if (chosen.has_member(member.identity) || lost.contains(member.identity)) continue;
            (areas.contains(member.area) ? same_area : other_area).push_back(member.identity);
        }
        auto const& list = other_area.empty() ? same_area : other_area;
        if (list.empty()) break;
        take(list[context.random.below(list.size())]);
    }
    for (auto living : {true, false})
        for (auto const& identity : from.understudies)
            if (context.alive(identity) == living) take(identity);
    return chosen.understudies;
}

// A core node whose disk came back empty has a new identity; it votes only
// once a majority has decided a record that names it (design 5.5).
auto Part::renewed_voters(Context& context) const -> std::vector<std::string> {
    auto voters = votes.decided.voters;
    std::vector<std::string> fresh;
    for (auto const& member : context.cores())
        if (std::find(voters.begin(), voters.end(), member.identity) == voters.end()) fresh.push_back(member.identity);
    for (auto& voter : voters) {
        if (fresh.empty()) break;
        if (context.alive(voter)) continue;
        voter = fresh.back();
        fresh.pop_back();
    }
    auto const most = core_count != 0 ? core_count : votes.decided.voters.size();
    while (voters.size() < most && !fresh.empty()) {
        voters.push_back(fresh.back());
        fresh.pop_back();
    }
    return voters;
}

}  // namespace dockrock

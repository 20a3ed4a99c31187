// Choice of a partition's group (the leader and as many followers as machine losses
// must be tolerated) and of its voters. docs/design.md 5.2, 5.5.
#include <algorithm>

#include "consensus/partition.hpp"

namespace dockrock {

auto Partition::group_size() const -> std::size_t {
    auto const count = core_count != 0 ? core_count : votes.decided.voters.size();
    return count == 0 ? machines_lost + 1 : std::min(machines_lost + 1, majority_of(count));
}

auto Partition::all_have(Sequence const& sequence) const -> bool {
    return std::all_of(
        progress.begin(), progress.end(), [&](auto const& item) { return item.second.synced_sequence >= sequence; });
}

auto Partition::reset_progress(Microseconds now) -> void {
    progress.clear();
    for (auto const& follower : votes.decided.followers) progress[follower] = {now, {}};
}

auto Partition::lost_followers(Context& context) const -> std::set<std::string> {
    std::set<std::string> lost;
    auto const others_stay = context.cores().size() >= group_size();
    for (auto const& [identity, follower] : progress) {
        if (others_stay && context.leaving(identity)) lost.insert(identity);
        auto const silent = context.now - follower.heard;
        if (silent > times.follower_timeout || (silent > 2 * times.heartbeat_interval && !context.alive(identity)))
            lost.insert(identity);
    }
    return lost;
}

auto Partition::silent_members(Microseconds now) const -> std::set<std::string> {
    std::set<std::string> silent;
    for (auto const& [identity, since] : silent_since)
        if (now - since < times.silent_backoff) silent.insert(identity);
    return silent;
}

// Keeps the followers of `from` that are not lost and replaces the others by live core nodes,
// preferably in areas without a member. With too few live nodes, lost followers stay: the group
// does not shrink, and changes wait for them.
auto Partition::followers_for(Context& context, Record const& from, std::set<std::string> const& lost) const
    -> std::vector<std::string> {
    auto const cores = context.cores();
    auto const area_of = [&](std::string const& identity) {
        auto const found =
            std::find_if(cores.begin(), cores.end(), [&](auto const& member) { return member.identity == identity; });
        return found == cores.end() ? std::string() : found->area;
    };
    auto chosen = Record{0, from.leader, {}, {}};
    auto areas = std::set<std::string>{area_of(from.leader)};
    auto const take = [&](std::string const& identity) {
        if (chosen.followers.size() + 1 >= group_size() || chosen.has_member(identity)) return;
        chosen.followers.push_back(identity);
        areas.insert(area_of(identity));
    };
    for (auto const& identity : from.followers)
        if (!lost.contains(identity)) take(identity);
    while (chosen.followers.size() + 1 < group_size()) {
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
        for (auto const& identity : from.followers)
            if (context.alive(identity) == living) take(identity);
    return chosen.followers;
}

// Replaces dead and leaving voters by new core nodes, and adds some up to the core count. A core node that
// lost its disk has a new identity; it votes only after a majority has decided a record that names it (design 5.5).
auto Partition::renewed_voters(Context& context) const -> std::vector<std::string> {
    auto voters = votes.decided.voters;
    std::vector<std::string> fresh;
    for (auto const& member : context.cores())
        if (std::find(voters.begin(), voters.end(), member.identity) == voters.end()) fresh.push_back(member.identity);
    for (auto& voter : voters) {
        if (fresh.empty()) break;
        if (context.alive(voter) && !context.leaving(voter)) continue;
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

// Transfers leadership before a graceful stop: proposes a follower as leader. It holds all
// acknowledged changes; every member of the new group gets the sealed copy (design 5.6).
auto Partition::hand_over(Context& context) -> bool {
    if (!is_leader(context.self) || !healthy) return false;
    if (proposal || context.now - last_proposal_at < times.proposal_interval) return true;
    last_proposal_at = context.now;
    auto wanted = votes.decided;
    auto lost = std::set<std::string>{context.self};
    for (auto const& follower : votes.decided.followers)
        if (!context.alive(follower) || context.leaving(follower)) lost.insert(follower);
    auto& others = wanted.followers;
    auto const next =
        std::find_if(others.begin(), others.end(), [&](auto const& item) { return !lost.contains(item); });
    if (next == others.end()) return false;
    wanted.leader = *next;
    others.erase(next);
    others = followers_for(context, wanted, lost);
    wanted.voters = renewed_voters(context);
    auto const living = [&](auto const& item) { return context.alive(item); };
    if (others.size() + 1 < group_size() || !std::all_of(others.begin(), others.end(), living)) return false;
    propose(context, wanted);
    return true;
}

}  // namespace dockrock

// First formation of a fleet, handover, leaving, and load digests to other nodes. docs/design.md 5.6, 5.7.
#include <algorithm>

#include "control/control.hpp"

namespace dockrock {

namespace {
constexpr Microseconds stable_cores_wait = 1'200 * one_millisecond;  // the set of core nodes is unchanged for so long
constexpr Microseconds unseen_seed_wait = 3 * one_second;            // added while a seed has not been seen
constexpr Microseconds forming_interval = 700 * one_millisecond;
constexpr auto forming_jitter = std::uint64_t{400'000};  // microseconds

auto fleet_known(Membership const& membership) -> bool {
    auto const members = membership.alive_members(false);
    return std::any_of(members.begin(), members.end(), [](auto const& member) { return member.knows_fleet; });
}

auto cores_by_address(Membership const& membership) -> std::vector<Member> {
    auto cores = membership.alive_members(true);
    std::sort(cores.begin(), cores.end(), [](auto const& left, auto const& right) {
        return left.control_address < right.control_address;
    });
    return cores;
}

// The replica group to propose when none is decided yet: spread over areas if there are enough.
// In a recovery, the node that holds the copies becomes the first leader of all partitions.
auto first_group(Membership const& membership, Partition const& partition) -> Record {
    auto wanted = partition.votes.decided;
    auto const& voters = wanted.voters;
    auto const count = voters.size();
    auto const own = std::find(voters.begin(), voters.end(), membership.self.identity);
    auto const place = wanted.term != 0 ? static_cast<std::size_t>(own - voters.begin()) % count
                                        : static_cast<std::size_t>(partition.index) % count;
    wanted.leader = voters[place];
    auto const* leader = membership.find(wanted.leader);
    auto areas = std::set<std::string>{leader != nullptr ? leader->area : ""};
    for (auto spread : {true, false})
        for (auto step = std::size_t{1}; step < count && wanted.followers.size() + 1 < partition.group_size(); ++step) {
            auto const& identity = voters[(place + step) % count];
            auto const* other = membership.find(identity);
            if (wanted.has_member(identity) || (spread && (other == nullptr || areas.contains(other->area)))) continue;
            wanted.followers.push_back(identity);
            if (other != nullptr) areas.insert(other->area);
        }
    return wanted;
}
}  // namespace

auto Control::knows_fleet() const -> bool {
    for (auto const& partition : partitions)
        if (partition.votes.decided.term > 0) return true;
    for (auto const& item : views)
        if (item.record.term > 0) return true;
    return false;
}

auto Control::best_record(int partition) const -> Record const& {
    auto const index = static_cast<std::size_t>(partition);
    return views[index].record.term > partitions[index].votes.decided.term ? views[index].record
                                                                           : partitions[index].votes.decided;
}

// A majority of the configured core nodes; without a configured count, as many
// as still have a majority after the tolerated losses.
auto Control::cores_needed() const -> std::size_t {
    return settings.core_count != 0 ? majority_of(settings.core_count) : 2 * settings.machines_lost + 1;
}

// Whether this node may propose the first voters now, which are the core nodes it sees.
auto Control::may_form_now(Microseconds now, std::vector<Member> const& cores) -> bool {
    std::vector<std::string> seen;
    for (auto const& member : cores) seen.push_back(member.identity);
    if (seen != cores_seen) cores_since = now;
    cores_seen = std::move(seen);
    auto const forming_node = std::find_if(
        cores.begin(), cores.end(), [](auto const& member) { return !member.never_forms.value_or(false); });
    if (cores.size() < cores_needed() || forming_node == cores.end() ||
        forming_node->identity != membership.self.identity) {
        blank_since = now;
        return false;
    }
    // Long enough to hear first from any edge node that knows an existing fleet.
    if (settings.core_count != 0)
        return now - blank_since >= (cores.size() >= settings.core_count ? 3 * one_second : 5 * one_second);
    std::set<std::string> heard{membership.self.control_address};
    for (auto const& [identity, entry] : membership.known) heard.insert(entry.member.control_address);
    auto const all_heard = std::all_of(
        membership.seeds.begin(), membership.seeds.end(), [&](auto const& seed) { return heard.contains(seed); });
    return now - cores_since >= stable_cores_wait + (all_heard ? 0 : unseen_seed_wait);
}

// First formation (design 5.7): only among core nodes without state, and only if
// no reachable node knows an existing fleet.
auto Control::form(Microseconds now, Context& context) -> void {
    auto const& first = partitions[0].votes.decided;
    auto const blank = first.term == 0 && first.voters.empty();
    if (blank && !recovers_fleet && fleet_known(membership)) {
        blank_since = cores_since = now;
        return;
    }
    if (blank) {
        auto const cores = cores_by_address(membership);
        if (!may_form_now(now, cores)) return;
        Record voters_only;
        for (auto const& member : cores) voters_only.voters.push_back(member.identity);
        for (auto& partition : partitions) partition.learn(context, voters_only);
    }
    auto const pause = forming_interval + static_cast<Microseconds>(random.below(forming_jitter));
    if (now - last_forming < pause) return;
    last_forming = now;
    for (auto& partition : partitions) {
        auto const& record = partition.votes.decided;
        auto const nothing_to_propose = !record.leader.empty() || record.voters.empty();
        if (nothing_to_propose || partition.proposal || (record.term != 0 && !recovers_fleet)) continue;
        partition.propose(context, first_group(membership, partition));
    }
}

// This node proposes its own successors as leader; the leaders, informed that it leaves, move its copies and votes.
auto Control::hand_over(Microseconds now, bool& pending) -> ControlOutput {
    ControlOutput output;
    if (!membership.self.leaving) begin_leaving(output);
    with_partitions(now, output, [&](Context& context) {
        for (auto& partition : partitions) pending = partition.hand_over(context) || pending;
    });
    pending = pending || has_duties();
    return output;
}

auto Control::begin_leaving(ControlOutput& output) -> void {
    membership.self.leaving = true;
    for (auto const& member : staying_cores())
        output.sends.push_back({member.control_address, Probe{0, {membership.self, membership.self, membership.self}}});
}

// Whether this node has a copy or a vote that another core node could take over.
auto Control::has_duties() const -> bool {
    auto const staying = staying_cores();
    for (auto const& partition : partitions) {
        auto const& record = partition.votes.decided;
        auto const votes_here = [&](std::string const& identity) {
            return std::find(record.voters.begin(), record.voters.end(), identity) != record.voters.end();
        };
        if (record.has_member(membership.self.identity) && staying.size() >= partition.group_size()) return true;
        auto const spare = std::any_of(
            staying.begin(), staying.end(), [&](auto const& member) { return !votes_here(member.identity); });
        if (votes_here(membership.self.identity) && spare) return true;
    }
    return false;
}

auto Control::leave() -> ControlOutput {
    ControlOutput output;
    membership.self.state = static_cast<int>(MemberState::dead);
    for (auto const& member : membership.alive_members(false))
        if (member.identity != membership.self.identity)
            output.sends.push_back(
                {member.control_address, Probe{0, {membership.self, membership.self, membership.self}}});
    return output;
}

// Resting nodes are not woken; they get the next digest once they are awake.
auto Control::digest(std::string const& body, std::uint64_t number, std::set<std::string> const& resting_nodes)
    -> ControlOutput {
    ControlOutput output;
    for (auto const& member : membership.alive_members(false))
        if (member.identity != membership.self.identity && !resting_nodes.contains(member.identity))
            output.sends.push_back({member.control_address, LoadDigest{number, body}});
    return output;
}

}  // namespace dockrock

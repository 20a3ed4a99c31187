#include "membership/membership.hpp"

namespace dockrock {

auto Membership::find(std::string const& identity) const -> Member const* {
    if (identity == self.identity) return &self;
    auto const found = known.find(identity);
    return found == known.end() ? nullptr : &found->second.member;
}

auto Membership::alive(std::string const& identity) const -> bool {
    auto const* member = find(identity);
    return member != nullptr && member->state == state_alive;
}

auto Membership::address_of(std::string const& identity) const -> std::string {
    auto const* member = find(identity);
    return member == nullptr ? "" : member->control_address;
}

auto Membership::alive_members(bool core_only) const -> std::vector<Member> {
    std::vector<Member> members;
    if (!core_only || self.core) members.push_back(self);
    for (auto const& [identity, entry] : known)
        if (entry.member.state == state_alive && (!core_only || entry.member.core)) members.push_back(entry.member);
    return members;
}

auto Membership::alive_count() const -> std::size_t {
    auto count = std::size_t{1};
    for (auto const& [identity, entry] : known)
        if (entry.member.state == state_alive) ++count;
    return count;
}

auto Membership::leaving(std::string const& identity) const -> bool {
    auto const* member = find(identity);
    return member != nullptr && member->leaving.value_or(false);
}

auto Membership::heard_from(std::string const& identity, Microseconds now) -> void {
    auto const found = known.find(identity);
    if (found == known.end()) return;
    auto& entry = found->second;
    if (entry.member.state == state_suspect) {  // direct contact overrides gossiped suspicion
        entry.member.state = state_alive;
        entry.changed_at = now;
    }
    for (auto place = pending.begin(); place != pending.end();)
        place = place->second.identity == identity ? pending.erase(place) : std::next(place);
}

auto Membership::learn(Member const& report, Microseconds now) -> void {
    if (report.identity.empty()) return;
    if (report.identity == self.identity) {
        if (report.state != state_alive && report.incarnation >= self.incarnation)
            self.incarnation = report.incarnation + 1;
        return;
    }
    auto [place, fresh] = known.try_emplace(report.identity);
    auto& entry = place->second;
    auto const newer = fresh || report.incarnation > entry.member.incarnation ||
        (report.incarnation == entry.member.incarnation && report.state > entry.member.state);
    if (newer) {
        entry = KnownMember{report, now, 0};
        remembered_addresses[report.control_address] = report.area;
    }
    // A node never ceases to know its fleet: the flag is accepted even from a report that is not newer.
    if (report.knows_fleet && !entry.member.knows_fleet) {
        entry.member.knows_fleet = true;
        entry.times_gossiped = 0;
    }
    if (report.leaving && report.incarnation == entry.member.incarnation && !entry.member.leaving) {
        entry.member.leaving = true;
        entry.times_gossiped = 0;
    }
    if (!newer || report.state != state_alive) return;
    for (auto& [identity, other] : known) {  // the same node under a former identity is dead
        if (identity == report.identity || other.member.control_address != report.control_address) continue;
        if (other.member.state == state_dead || other.member.incarnation > report.incarnation) continue;
        other.member.state = state_dead;
        other.changed_at = now;
        other.times_gossiped = 0;
    }
}

auto Membership::gossip(std::size_t most) -> std::vector<Member> {
    std::vector<KnownMember*> entries;
    for (auto& [identity, entry] : known) entries.push_back(&entry);
    std::stable_sort(entries.begin(), entries.end(), [](auto* left, auto* right) {
        return left->times_gossiped < right->times_gossiped;
    });
    std::vector<Member> members{self};
    for (auto* entry : entries) {
        if (members.size() > most) break;
        ++entry->times_gossiped;
        members.push_back(entry->member);
    }
    return members;
}

auto Membership::all_members() const -> std::vector<Member> {
    std::vector<Member> members{self};
    for (auto const& [identity, entry] : known) members.push_back(entry.member);
    return members;
}

auto Membership::on(
    Probe const& probe, std::string const& from, std::string const& address, Microseconds now, AddressedMessages& out)
    -> void {
    auto const unknown_sender = !known.contains(from);
    for (auto const& member : probe.members) learn(member, now);
    heard_from(from, now);
    auto const* asker = find(from);
    auto const knows_few = unknown_sender || probe.members.size() < 3;
    out.push_back(
        {asker != nullptr ? asker->control_address : address,
         ProbeAnswer{probe.token, knows_few ? all_members() : gossip(gossip_to_members)}});
}

auto Membership::on(
    ProbeAnswer const& answer, std::string const& from, std::string const&, Microseconds now, AddressedMessages& out)
    -> void {
    for (auto const& member : answer.members) learn(member, now);
    heard_from(from, now);
    if (auto const found = relayed.find(answer.token); found != relayed.end()) {
        out.push_back({found->second.address, ProbeAnswer{found->second.token, answer.members}});
        relayed.erase(found);
        return;
    }
    auto const found = pending.find(answer.token);
    if (found == pending.end()) return;
    // Another node answers at that address: the probed one is gone, whatever the
    // incarnation numbers say (they start again after the loss of a disk).
    auto const probed = known.find(found->second.identity);
    auto const* answerer = find(from);
    if (probed != known.end() && answerer != nullptr && probed->first != from &&
        probed->second.member.control_address == answerer->control_address &&
        probed->second.member.state != state_dead) {
        probed->second.member.state = state_dead;
        probed->second.changed_at = now;
        probed->second.times_gossiped = 0;
    }
    pending.erase(found);
}

auto Membership::on(IndirectProbe const& ask, std::string const& address, Microseconds now, AddressedMessages& out)
    -> void {
    auto const token = next_token++;
    relayed[token] = {ask.token, address, now};
    out.push_back({ask.target, Probe{token, gossip(gossip_to_unknown)}});
}

}  // namespace dockrock

// Periodic work: direct and indirect probes, suspicion and removal. docs/design.md section 4.
#include "membership/membership.hpp"

namespace dockrock {

namespace {
constexpr Microseconds contact_interval = 2 * one_second;
constexpr Microseconds isolated_contact_interval = one_second / 4;  // while no member is known
constexpr auto contacts_at_once = std::size_t{4};
constexpr auto indirect_probes = 2;
}  // namespace

auto Membership::check_pending_probes(Microseconds now, Random& random, AddressedMessages& out) -> void {
    for (auto place = pending.begin(); place != pending.end();) {
        auto const token = place->first;
        auto& waiting = place->second;
        auto const found = known.find(waiting.identity);
        if (found == known.end() || found->second.member.state == state_dead) {
            place = pending.erase(place);
            continue;
        }
        if (!waiting.asked_others && now - waiting.sent_at > times.probe_limit) {
            waiting.asked_others = true;
            auto helpers = alive_members(false);
            std::erase_if(helpers, [&](auto const& member) {
                return member.identity == self.identity || member.identity == waiting.identity;
            });
            for (auto count = 0; count < indirect_probes && !helpers.empty(); ++count) {
                auto const chosen = random.below(helpers.size());
                out.push_back(
                    {helpers[chosen].control_address, IndirectProbe{token, found->second.member.control_address}});
                helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(chosen));
            }
        }
        if (now - waiting.sent_at > 3 * times.probe_limit) {
            if (found->second.member.state == state_alive) {
                found->second.member.state = state_suspect;
                found->second.changed_at = now;
                found->second.times_gossiped = 0;
            }
            place = pending.erase(place);
            continue;
        }
        ++place;
    }
}

auto Membership::tick(Microseconds now, Random& random, AddressedMessages& out) -> void {
    if (last_tick != 0 && now - last_tick > times.frozen_gap) reset_after_pause(now);
    last_tick = now;
    check_pending_probes(now, random, out);
    expire_members(now);
    std::erase_if(relayed, [&](auto const& item) { return now - item.second.sent_at > 4 * times.probe_limit; });
    contact_addresses(now, random, out);
    probe_next(now, random, out);
}

// After a pause of this process, expired timers say nothing about other nodes (design 4).
auto Membership::reset_after_pause(Microseconds now) -> void {
    pending.clear();
    relayed.clear();
    for (auto& [identity, entry] : known)
        if (entry.member.state == state_suspect) entry.changed_at = now;
}

// Declares members dead that were suspect for too long, and removes dead ones after a while.
auto Membership::expire_members(Microseconds now) -> void {
    for (auto place = known.begin(); place != known.end();) {
        auto& entry = place->second;
        if (entry.member.state == state_suspect && now - entry.changed_at > times.suspicion_limit) {
            entry.member.state = state_dead;
            entry.changed_at = now;
            entry.times_gossiped = 0;
        }
        if (entry.member.state == state_dead && now - entry.changed_at > times.forget_limit) place = known.erase(place);
        else ++place;
    }
}

// Probes seeds and addresses of nodes known earlier that no live member has: for the first contact, and to rejoin.
auto Membership::contact_addresses(Microseconds now, Random& random, AddressedMessages& out) -> void {
    if (now - last_seed <= (known.empty() ? isolated_contact_interval : contact_interval)) return;
    last_seed = now;
    std::set<std::string> addresses(seeds.begin(), seeds.end());
    for (auto const& [address, area] : remembered_addresses) addresses.insert(address);
    addresses.erase(self.control_address);
    for (auto const& member : alive_members(false)) addresses.erase(member.control_address);
    auto count = std::size_t{0};
    for (auto const& address : addresses)
        if (known.empty() || (random.below(addresses.size()) < contacts_at_once && ++count <= contacts_at_once))
            out.push_back({address, Probe{0, gossip(gossip_to_unknown)}});
}

// Probes one member at a time, round-robin in a random order.
auto Membership::probe_next(Microseconds now, Random& random, AddressedMessages& out) -> void {
    if (now - last_probe < times.probe_interval) return;
    last_probe = now;
    while (!probe_order.empty() && !known.contains(probe_order.back())) probe_order.pop_back();
    if (probe_order.empty()) {
        for (auto const& [identity, entry] : known) probe_order.push_back(identity);
        for (auto index = probe_order.size(); index > 1; --index)
            std::swap(probe_order[index - 1], probe_order[random.below(index)]);
    }
    if (probe_order.empty()) return;
    auto const target = probe_order.back();
    probe_order.pop_back();
    auto const& member = known.at(target).member;
    auto const token = next_token++;
    if (member.state != state_dead) pending[token] = {target, now, false};
    out.push_back({member.control_address, Probe{token, gossip(gossip_to_members)}});
}

}  // namespace dockrock

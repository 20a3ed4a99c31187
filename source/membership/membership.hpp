#pragma once
// Gossip-based membership and failure detection after SWIM: probes to members in turn, indirect
// probes through other members, suspicion before removal. Only a hint. docs/design.md section 4.
#include <set>

#include "base/messages.hpp"

namespace dockrock {

struct AddressedMessage {
    std::string address;
    Message message;
};
using AddressedMessages = std::vector<AddressedMessage>;

struct MembershipTimes {
    Microseconds probe_interval = 300 * one_millisecond;
    Microseconds probe_limit = 250 * one_millisecond;        // without an answer, before indirect probes
    Microseconds suspicion_limit = 1'500 * one_millisecond;  // from suspect to dead
    Microseconds forget_limit = 60 * one_second;             // from dead to removed
    Microseconds frozen_gap = 900 * one_millisecond;  // between ticks; a longer one means that the process was paused
};

// The values of Member::state in messages.
inline constexpr auto state_alive = static_cast<int>(MemberState::alive);
inline constexpr auto state_suspect = static_cast<int>(MemberState::suspect);
inline constexpr auto state_dead = static_cast<int>(MemberState::dead);

// The number of other members gossiped about in one message.
inline constexpr auto gossip_to_members = std::size_t{6};
inline constexpr auto gossip_to_unknown = std::size_t{4};

struct KnownMember {
    Member member;
    Microseconds changed_at = 0;
    int times_gossiped = 0;
};

struct Membership {
    Member self;
    std::vector<std::string> seeds;
    MembershipTimes times;
    std::map<std::string, KnownMember> known;                 // by identity, without self
    std::map<std::string, std::string> remembered_addresses;  // address -> area, kept when a node is forgotten
    std::vector<std::string> probe_order;
    struct PendingProbe {
        std::string identity;
        Microseconds sent_at = 0;
        bool asked_others = false;
    };
    std::map<std::uint64_t, PendingProbe> pending;
    struct RelayedProbe {
        std::uint64_t token = 0;
        std::string address;
        Microseconds sent_at = 0;
    };
    std::map<std::uint64_t, RelayedProbe> relayed;  // probes made for other members, by token
    std::uint64_t next_token = 1;
    Microseconds last_tick = 0;
    Microseconds last_probe = 0;
    Microseconds last_seed = 0;

    auto tick(Microseconds now, Random& random, AddressedMessages& out) -> void;
    auto on(
        Probe const& probe, std::string const& from, std::string const& address, Microseconds now,
        AddressedMessages& out) -> void;
    auto on(
        ProbeAnswer const& answer, std::string const& from, std::string const& address, Microseconds now,
        AddressedMessages& out) -> void;
    auto on(IndirectProbe const& ask, std::string const& address, Microseconds now, AddressedMessages& out) -> void;
    auto heard_from(std::string const& identity, Microseconds now) -> void;
    auto alive(std::string const& identity) const -> bool;
    auto address_of(std::string const& identity) const -> std::string;
    auto find(std::string const& identity) const -> Member const*;
    auto alive_members(bool core_only) const -> std::vector<Member>;
    auto alive_count() const -> std::size_t;  // including this node
    auto leaving(std::string const& identity) const -> bool;

   private:
    auto learn(Member const& report, Microseconds now) -> void;
    auto gossip(std::size_t most) -> std::vector<Member>;
    auto all_members() const -> std::vector<Member>;
    auto check_pending_probes(Microseconds now, Random& random, AddressedMessages& out) -> void;
    auto reset_after_pause(Microseconds now) -> void;
    auto expire_members(Microseconds now) -> void;
    auto contact_addresses(Microseconds now, Random& random, AddressedMessages& out) -> void;
    auto probe_next(Microseconds now, Random& random, AddressedMessages& out) -> void;
};

}  // namespace dockrock

#pragma once
// The claims of run-once requests, replicated in a partition's group: a key, made from a caller's
// identity, belongs to the one request that may be sent. docs/design.md section 10.5.
#include <deque>
#include <set>

#include "base/messages.hpp"

namespace dockrock {

inline constexpr Microseconds claim_retention = 1'200 * one_second;
inline constexpr auto max_claims = std::size_t{65'536};
inline constexpr auto claim_text_limit = std::size_t{64};

struct Claim {
    std::string ticket;  // the request that owns the key; "-": released
    Microseconds at = 0;
    bool synced = false;
};

// A claim as stored and sent: one line with key, owning request and age in microseconds.
struct ClaimLine {
    std::string key;
    std::string ticket;
    Microseconds age = 0;
};
auto write_claim(std::string const& key, Claim const& claim, Microseconds now) -> std::string;
auto read_claims(std::string_view text) -> std::vector<ClaimLine>;

struct ClaimTable {
    std::map<std::string, Claim> held;
    std::deque<std::pair<Microseconds, std::string>> order;  // in order of arrival, for expiry
    std::uint64_t life = 0;                                  // this node's incarnation
    std::size_t logged = 0;  // claim lines on disk, including those of the last snapshot
    // leader
    std::set<std::string> unsaved;  // keys not yet given to the disk
    std::set<std::string> saving;   // keys being written to the disk
    std::uint64_t save_token = 0;
    std::set<std::string> to_replicate;             // keys synced here, not yet sent to followers
    std::set<std::string> replicating_claims;       // keys in the batch being replicated
    std::set<std::string> replicated_at_followers;  // followers that hold that batch
    bool replication_active = false;
    bool replicating_whole = false;
    bool whole_needed = true;  // a follower may lack earlier claims: the next batch holds all
    std::uint64_t replication_number = 0;
    Microseconds replication_sent_at = 0;
    std::string replication_batch;  // the batch, as claim lines
    struct Waiter {                 // a request for a claim that is not replicated yet
        std::string origin;
        std::uint64_t token = 0;
        std::string key;
        std::string ticket;
        Microseconds since = 0;
    };
    std::vector<Waiter> waiters;
    // follower
    std::pair<std::uint64_t, std::uint64_t> newest_replication{0, 0};  // leader's incarnation and batch number

    auto load(std::string_view text, Microseconds now) -> void;
    auto take(std::vector<ClaimLine> const& lines, Microseconds now, bool synced) -> void;
    auto put(std::string const& key, std::string ticket, Microseconds at, bool synced) -> void;
    auto expire(Microseconds now) -> void;
    auto write_all(Microseconds now, bool only_synced) const -> std::string;  // all claims, as lines
    auto is_replicated(std::string const& key) const -> bool;                 // synced here and at all followers
    auto drop_unsaved() -> void;        // claims on no disk: they were never acknowledged, so they may be dropped
    auto reset_leader_state() -> void;  // on losing leadership
};

}  // namespace dockrock

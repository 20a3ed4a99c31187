#pragma once
// The claims of run-once tickets that a partition's group keeps: which ticket may be
// sent under a caller's identity. docs/design.md section 10.5.
#include <deque>
#include <set>

#include "base/messages.hpp"

namespace dockrock {

inline constexpr Microseconds claim_retention = 1'200 * one_second;
inline constexpr auto claims_kept = std::size_t{65'536};
inline constexpr auto claim_text_limit = std::size_t{64};

struct Claim {
    std::string ticket;  // "-": given back
    Microseconds at = 0;
    bool synced = false;
};

// One line each: key, ticket, age in microseconds.
struct ClaimLine {
    std::string key;
    std::string ticket;
    Microseconds age = 0;
};
auto write_claim(std::string const& key, Claim const& claim, Microseconds now) -> std::string;
auto read_claims(std::string_view text) -> std::vector<ClaimLine>;

struct ClaimTable {
    std::map<std::string, Claim> held;
    std::deque<std::pair<Microseconds, std::string>> order;  // as they came, for expiry
    std::uint64_t life = 0;                                  // this node's incarnation
    std::size_t logged = 0;                                  // lines since the disk last got the whole
    // leader
    std::set<std::string> fresh;   // not yet given to the disk
    std::set<std::string> saving;  // given, not yet synced
    std::uint64_t save_token = 0;
    std::set<std::string> to_replicate;             // synced here, not yet flown
    std::set<std::string> replicating_claims;       // in the flight under way
    std::set<std::string> replicated_at_followers;  // followers that hold it
    bool replication_active = false;
    bool replicating_whole = false;
    bool whole_needed = true;  // an follower may lack some
    std::uint64_t replication_number = 0;
    Microseconds replication_sent_at = 0;
    std::string replication_batch;
    struct Waiter {
        std::string origin;
        std::uint64_t token = 0;
        std::string key;
        std::string ticket;
        Microseconds since = 0;
    };
    std::vector<Waiter> waiters;
    // follower
    std::pair<std::uint64_t, std::uint64_t> newest_replication{0, 0};  // life, number

    auto load(std::string_view text, Microseconds now) -> void;
    auto take(std::vector<ClaimLine> const& lines, Microseconds now, bool synced) -> void;
    auto put(std::string const& key, std::string ticket, Microseconds at, bool synced) -> void;
    auto expire(Microseconds now) -> void;
    auto whole(Microseconds now, bool only_synced) const -> std::string;
    auto settled(std::string const& key) const -> bool;
    auto drop_fresh() -> void;  // what no disk has: never acknowledged, so it may go
    auto stand_back() -> void;  // no longer the leader
};

}  // namespace dockrock

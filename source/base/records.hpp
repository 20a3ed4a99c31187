#pragma once
// Types that messages and the disk share. docs/design.md sections 4 and 5.
#include <algorithm>

#include "base/json_structs.hpp"

namespace dockrock {

struct Sequence {  // version of a partition's copy; only increases
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    auto operator<=>(Sequence const&) const = default;
};
struct Ballot {
    std::uint64_t round = 0;
    std::string node;
    auto operator<=>(Ballot const&) const = default;
};
struct Record {  // one consensus decision about a partition: its group, and who votes on the next record
    std::uint64_t term = 0;
    std::string leader;
    std::vector<std::string> followers;  // with the leader, the group that replicates the partition
    std::vector<std::string> voters;
    auto operator==(Record const&) const -> bool = default;
    auto has_follower(std::string const& identity) const -> bool {
        return std::find(followers.begin(), followers.end(), identity) != followers.end();
    }
    auto has_member(std::string const& identity) const -> bool { return leader == identity || has_follower(identity); }
};
struct Outcome {  // of a change, kept under the caller's change identity for idempotent retries
    std::string identity;
    Sequence sequence;
    std::uint64_t digest = 0;
    auto operator==(Outcome const&) const -> bool = default;
};
struct Copy {  // the replicated state of a partition
    Sequence sequence;
    std::string document;
    std::vector<Outcome> outcomes;
};
enum class MemberState : int { alive, suspect, dead };
struct Member {
    std::string identity;
    std::string control_address;
    std::string http_address;
    std::string area;
    bool core = false;
    bool knows_fleet = false;
    bool resting = false;
    std::uint64_t incarnation = 0;
    int state = 0;
    std::optional<bool> never_forms;  // a blank core node that waits to join a fleet and forms none (design 5.7)
    std::optional<bool> leaving;      // graceful stop: others take over its duties, copies and votes (design 5.6)
};

inline auto etag_of(Sequence const& sequence) -> std::string {
    return "\"" + std::to_string(sequence.term) + "." + std::to_string(sequence.number) + "\"";
}

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(dockrock::Sequence, term, number);
BOOST_HANA_ADAPT_STRUCT(dockrock::Ballot, round, node);
BOOST_HANA_ADAPT_STRUCT(dockrock::Record, term, leader, followers, voters);
BOOST_HANA_ADAPT_STRUCT(dockrock::Outcome, identity, sequence, digest);
BOOST_HANA_ADAPT_STRUCT(dockrock::Copy, sequence, document, outcomes);
BOOST_HANA_ADAPT_STRUCT(
    dockrock::Member, identity, control_address, http_address, area, core, knows_fleet, resting, incarnation, state,
    never_forms, leaving);

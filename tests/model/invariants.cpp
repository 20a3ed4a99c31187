#include "invariants.hpp"

namespace dockrock::model {

namespace {

auto describe(Record const& record) -> std::string {
    auto text = std::to_string(record.term) + " led by " + record.leader + " with";
    for (auto const& follower : record.followers) text += " " + follower;
    return text;
}

auto holds(Copy const& copy, Acknowledgement const& acknowledged) -> bool {
    return copy.sequence >= acknowledged.sequence &&
        std::any_of(copy.outcomes.begin(), copy.outcomes.end(), [&](auto const& outcome) {
               return outcome.identity == acknowledged.identity && outcome.sequence == acknowledged.sequence;
           });
}

// One record is decided for a term, and it names losses and one members.
auto check_records(World& world) -> void {
    for (auto const& node : world.nodes) {
        auto const& record = node->running ? node->partition.votes.decided : node->disk.votes.decided;
        if (record.term == 0) continue;
        auto const& known = world.observed.decided.try_emplace(record.term, record).first->second;
        if (known != record) world.violation("one record: " + describe(known) + " and " + describe(record));
        if (record.followers.size() + 1 != group_size(world.setup)) world.violation("group size: " + describe(record));
    }
}

// A voter counts for a lease while its grant lives; and one that cannot vote yet takes part in no other ballot.
auto backs(World const& world, std::string const& voter, Node const& leader) -> bool {
    auto const index = world.index_of(voter);
    if (!index) return true;  // its disk is lost: that identity never votes again
    auto const& node = *world.nodes[*index];
    if (!node.running || node.partition.vote_from > world.now) return true;
    return node.partition.granted_until > world.now && node.partition.granted_to == leader.identity;
}

auto check_lease(World& world, Node const& leader) -> void {
    auto const& record = leader.partition.votes.decided;
    for (auto const& other : world.nodes) {
        if (other->identity == leader.identity || !other->running) continue;
        if (other->partition.has_lease(other->identity, world.now))
            world.violation("lease: held by " + leader.identity + " and " + other->identity);
        if (other->partition.votes.decided.term > record.term)
            world.violation("lease: " + leader.identity + " holds one of a term that has a successor");
    }
    auto const backing = std::count_if(
        record.voters.begin(), record.voters.end(), [&](auto const& voter) { return backs(world, voter, leader); });
    if (static_cast<std::size_t>(backing) < blocking_of(record.voters.size()))
        world.violation("lease: that of " + leader.identity + " is not backed by grants");
}

// Whatever a leased leader could give out now.
auto check_served(World& world, Node const& leader) -> void {
    auto const& committed = leader.partition.committed;
    if (!committed) return;
    auto& served = world.observed.served;
    if (committed->sequence < served)
        world.violation(
            "read: " + leader.identity + " serves " + etag_of(committed->sequence) + " after " + etag_of(served));
    served = std::max(served, committed->sequence);
    for (auto const& acknowledged : world.observed.acknowledged)
        if (!holds(*committed, acknowledged))
            world.violation("read: " + leader.identity + " serves without " + acknowledged.identity);
    for (auto const& outcome : committed->outcomes)
        if (world.observed.refused.contains(outcome.identity))
            world.violation("refused: " + outcome.identity + " is in force");
}

// What a leader holds for committed, and may give out or acknowledge, is on the disk of each member.
auto check_committed(World& world, Node const& leader) -> void {
    auto const& record = leader.partition.votes.decided;
    auto const& committed = leader.partition.committed;
    if (!committed) return;
    for (auto const& node : world.nodes)
        if (record.has_member(node->identity) && (!node->disk.copy || node->disk.copy->sequence < committed->sequence))
            world.violation(
                "commit: " + etag_of(committed->sequence) + " of " + leader.identity + " is not on the disk of " +
                node->identity);
}

// What was acknowledged is on the disk of each member of the newest group: any
// `losses` of them may be lost at once.
auto check_durability(World& world) -> void {
    auto const& newest = world.observed.decided.rbegin()->second;
    for (auto const& node : world.nodes) {
        if (!newest.has_member(node->identity)) continue;
        for (auto const& acknowledged : world.observed.acknowledged)
            if (!node->disk.copy || !holds(*node->disk.copy, acknowledged))
                world.violation(
                    "durability: " + acknowledged.identity + " is not on the disk of " + node->identity +
                    ", member of " + describe(newest));
    }
}

}  // namespace

auto check(World& world) -> void {
    check_records(world);
    for (auto const& node : world.nodes) {
        if (!node->running || !node->partition.has_lease(node->identity, world.now)) continue;
        check_lease(world, *node);
        check_served(world, *node);
        check_committed(world, *node);
    }
    check_durability(world);
}

}  // namespace dockrock::model

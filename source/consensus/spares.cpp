// Spare copies at core nodes outside the group: never authoritative, but they let a node
// become a member quickly. docs/design.md 5.8.
#include "consensus/partition.hpp"

namespace dockrock {

// Announces the committed sequence to the core nodes outside the group; those that hold another one are sent the copy.
auto Partition::announce_to_spares(Context& context) -> void {
    spares_announced_at = context.now;
    if (!offered || offered->sequence != committed->sequence) {
        offered_change = offered ? change_between(*offered, *committed) : std::nullopt;
        offered = committed;
    }
    for (auto const& member : context.cores())
        if (!votes.decided.has_member(member.identity))
            context.sends.push_back(
                {member.identity, Heartbeat{index, votes.decided, offered->sequence, std::nullopt}});
}

auto Partition::offer_spare(Context& context, std::string const& spare, Appended const& answer) -> void {
    if (!committed || !offered || answer.sequence == offered->sequence) return;
    if (offered_change && answer.sequence == offered_change->base && !answer.lacks_base)
        context.sends.push_back({spare, SpareChange{index, votes.decided, *offered_change}});
    else context.sends.push_back({spare, SpareOffer{index, votes.decided, *offered}});
}

// False for a member of the group, and for a sealed node: it may hold a copy for the next term, which must stay.
auto Partition::takes_offers(std::string const& from, std::string const& self, Record const& record) const -> bool {
    auto const outside = votes.decided == record && from == record.leader && !record.has_follower(self);
    return outside && healthy && votes.sealed < record.term;
}

auto Partition::on(Context& context, std::string const& from, SpareOffer const& message) -> void {
    learn(context, message.record);
    if (!takes_offers(from, context.self, message.record) || message.copy.sequence == copy.sequence) return;
    copy = message.copy;
    save(context, true, {});
}

auto Partition::on(Context& context, std::string const& from, SpareChange const& message) -> void {
    learn(context, message.record);
    if (!takes_offers(from, context.self, message.record) || message.change.sequence == copy.sequence) return;
    if (!apply_change(copy, message.change))
        return context.sends.push_back({from, Appended{index, votes.decided.term, synced, true}});
    save_change(context, message.change, {});
}

}  // namespace dockrock

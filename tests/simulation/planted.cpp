// Faults planted in what the control machines send. docs/proofs.md.
#include "world.hpp"

namespace dockrock::simulation {

// For showing that the checks bite: the last follower gets nothing, and the
// sender is told that it holds all.
auto World::planted(std::size_t index, AddressedMessage& send) -> bool {
    auto answer = std::optional<Message>();
    auto from = std::string();
    if (auto const* replication_batch = std::get_if<Append>(&send.message);
        replication_batch != nullptr && options.planted_copy_short) {
        from = replication_batch->record.followers.back();
        answer =
            Appended{replication_batch->partition, replication_batch->record.term, replication_batch->copy.sequence};
    }
    if (auto const* replication_batch = std::get_if<AppendChange>(&send.message);
        replication_batch != nullptr && options.planted_copy_short) {
        from = replication_batch->record.followers.back();
        answer =
            Appended{replication_batch->partition, replication_batch->record.term, replication_batch->change.sequence};
    }
    if (auto const* offer = std::get_if<CopyOffer>(&send.message);
        offer != nullptr && options.planted_partner_not_given) {
        auto const& machine = nodes[index]->control.partitions[static_cast<std::size_t>(offer->partition)];
        if (machine.proposal) from = machine.proposal->value.followers.back();
        answer = CopyTaken{offer->partition, offer->record.term, offer->ballot};
    }
    if (!answer || from.empty() || nodes[index]->control.membership.address_of(from) != send.address) return false;
    at(now + one_millisecond, [this, index, life = nodes[index]->life, from, answer = *answer, address = send.address] {
        on_node(index, life, [this, index, from, answer, address] {
            act(index, nodes[index]->control.receive(local(*nodes[index]), from, address, answer));
        });
    });
    return true;
}

}  // namespace dockrock::simulation

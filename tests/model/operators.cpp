// The operators of the modelled world: conditional changes, sent again until their outcome is known.
#include <charconv>

#include "world.hpp"

namespace dockrock::model {

namespace {

constexpr auto tokens_each = std::uint64_t{1'000};

auto sequence_of(std::string_view etag) -> Sequence {
    Sequence sequence;
    auto const dot = etag.find('.');
    if (dot == std::string_view::npos) return sequence;
    std::from_chars(etag.data() + 1, etag.data() + dot, sequence.term);
    std::from_chars(etag.data() + dot + 1, etag.data() + etag.size(), sequence.number);
    return sequence;
}

auto outcome_known(OperatorChange const& change) -> bool { return change.status == 200 || change.status == 412; }

}  // namespace

// The change whose outcome is not known yet, again; or else the next one.
auto World::next_call(std::size_t operator_index) const -> Call {
    auto const& changes = operators[operator_index].changes;
    if (!changes.empty() && !outcome_known(changes.back())) return changes.back().call;
    auto const name = std::string(1, static_cast<char>('A' + operator_index)) + std::to_string(changes.size() + 1);
    return Call{0, name, "put", etag_of(observed.served), "document " + name, ""};
}

auto World::submit(std::size_t operator_index, std::size_t node_index) -> void {
    auto call = next_call(operator_index);
    auto& changes = operators[operator_index].changes;
    if (changes.empty() || changes.back().call.identity != call.identity) changes.push_back({call, 0, 0});
    changes.back().asked_at = now;
    auto const token = operator_index * tokens_each + changes.size();
    plant_in_call(setup.planted, call);
    act(node_index, [&](Partition& partition, Context& context) { partition.call(context, "operator", token, call); });
}

auto World::answered(Node const& node, CallDone const& done) -> void {
    auto& changes = operators[done.token / tokens_each].changes;
    auto& change = changes[done.token % tokens_each - 1];
    if (done.status == 200) {
        change.status = done.status;
        return acknowledged(node, change.call, done);
    }
    if (done.status == 503 || done.status == 504) return;
    if (change.status == 200)
        violation("repeat: acknowledged " + change.call.identity + " was told " + std::to_string(done.status));
    if (!node.partition.has_lease(node.identity, now)) violation("lease: " + node.identity + " answered without one");
    change.status = done.status;
    observed.refused.insert(change.call.identity);
}

auto World::acknowledged(Node const& node, Call const& call, CallDone const& done) -> void {
    for (auto const& earlier : observed.acknowledged) {
        if (earlier.identity == call.identity) {
            if (earlier.etag != done.etag || earlier.body != done.body)
                violation("repeat: " + call.identity + " was told " + earlier.etag + ", then " + done.etag);
            return;
        }
        if (earlier.base == call.if_match)
            violation("base: " + earlier.identity + " and " + call.identity + " both won on " + call.if_match);
    }
    auto const& record = node.partition.votes.decided;
    auto const sequence = sequence_of(done.etag);
    for (auto const& other : nodes) {
        auto const& disk = other->identity == node.identity ? node.disk : other->disk;
        if (record.has_member(other->identity) && (!disk.copy || disk.copy->sequence < sequence))
            violation("durability: " + call.identity + " acknowledged, not synced at " + other->identity);
    }
    if (observed.refused.contains(call.identity)) violation("refused: " + call.identity + " was acknowledged later");
    observed.acknowledged.push_back({call.identity, call.if_match, done.etag, done.body, sequence});
}

}  // namespace dockrock::model

// Claims for this node's run-once requests, sent to the leader of their partition. docs/design.md 10.5.
#include "control/control.hpp"

namespace dockrock {

auto Control::claim(Microseconds now, std::uint64_t local_token, ClaimAsk ask) -> ControlOutput {
    ControlOutput output;
    ask.token = random.next() | 1U;
    auto pending = PendingClaim{ask, now, now, local_token};
    send_claim(now, claims[ask.token] = std::move(pending), output);
    return output;
}

auto Control::send_claim(Microseconds now, PendingClaim& pending, ControlOutput& output) -> void {
    pending.sent_at = now;
    auto const ask = pending.ask;
    auto const& record = best_record(ask.partition);
    if (record.leader.empty()) return;
    if (record.leader == membership.self.identity) {
        with_partitions(now, output, [&](Context& context) {
            partitions[static_cast<std::size_t>(ask.partition)].claim(context, membership.self.control_address, ask);
        });
        return;
    }
    if (auto leader = membership.address_of(record.leader); !leader.empty()) output.sends.push_back({leader, ask});
}

auto Control::take_claim_answer(ClaimAnswer const& answer, ControlOutput& output) -> void {
    auto const state = static_cast<ClaimState>(answer.state);
    auto const found = claims.find(answer.token);
    if (found == claims.end() || found->second.ask.partition != answer.partition) return;
    if (state != ClaimState::granted && state != ClaimState::seen && state != ClaimState::full) return;  // retried
    output.claims.push_back({found->second.local_token, state, answer.term});
    claims.erase(found);
}

// A claim without an answer ends as unknown: its request is never sent to a replica.
auto Control::tick_claims(Microseconds now, ControlOutput& output) -> void {
    std::vector<std::uint64_t> due;
    for (auto place = claims.begin(); place != claims.end();) {
        auto& [token, pending] = *place;
        if (now - pending.since > times.claim_limit) {
            output.claims.push_back({pending.local_token, ClaimState::not_here, 0});
            place = claims.erase(place);
            continue;
        }
        if (now - pending.sent_at > times.claim_resend) due.push_back(token);
        ++place;
    }
    for (auto token : due)
        if (auto const found = claims.find(token); found != claims.end()) send_claim(now, found->second, output);
}

}  // namespace dockrock

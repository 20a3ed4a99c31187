// Dispatches each message to the state machine that handles it. docs/design.md sections 5 and 9.
#include "control/control.hpp"

namespace dockrock {

auto Control::deliver(Arrival const& arrival, Message const& message) -> void {
    std::visit([&](auto const& body) { on(arrival, body); }, message);
}

template <typename GroupMessage>
auto Control::on(Arrival const& arrival, GroupMessage const& message) -> void {
    if (!settings.core || !is_partition(message.partition)) return;
    with_partitions(arrival.now, arrival.output, [&](Context& context) {
        partitions[static_cast<std::size_t>(message.partition)].on(context, arrival.from, message);
    });
}

// Sent to every node, which requests updates from the leader of the record from now on.
auto Control::on(Arrival const& arrival, Decided const& decided) -> void {
    if (!is_partition(decided.partition)) return;
    auto& item = views[static_cast<std::size_t>(decided.partition)];
    if (decided.record.term > item.record.term) {
        item.record = decided.record;
        retire_request(item, false);  // don't wait for the old leader's answer
        item.unanswered = 0;
    }
    on<Decided>(arrival, decided);
}

auto Control::on(Arrival const& arrival, Probe const& probe) -> void {
    membership.on(probe, arrival.from, arrival.address, arrival.now, arrival.output.sends);
}

auto Control::on(Arrival const& arrival, ProbeAnswer const& answer) -> void {
    membership.on(answer, arrival.from, arrival.address, arrival.now, arrival.output.sends);
}

auto Control::on(Arrival const& arrival, IndirectProbe const& probe) -> void {
    membership.on(probe, arrival.address, arrival.now, arrival.output.sends);
}

auto Control::on(Arrival const& arrival, UpdateRequest const& ask) -> void {
    if (!is_partition(ask.partition)) return;
    answer_update_request(arrival.now, {arrival.address, ask, arrival.now}, arrival.output, true);
}

auto Control::on(Arrival const& arrival, UpdateAnswer const& answer) -> void {
    if (!is_partition(answer.partition)) return;
    load_choice.record_answer(arrival.from, arrival.now);
    take_update(arrival.now, answer, arrival.output);
}

auto Control::on(Arrival const& arrival, LoadDigest const& digest) -> void {
    arrival.output.digests.emplace_back(arrival.from, digest);
}

auto Control::on(Arrival const& arrival, LoadReport const& report) -> void {
    if (!settings.core) return;
    auto sum = load_relay.take(arrival.from, report, arrival.now);
    if (sum) arrival.output.sends.push_back({arrival.address, std::move(*sum)});
}

auto Control::on(Arrival const& arrival, LoadShare const& share) -> void {
    if (settings.core) load_relay.take(arrival.from, share, arrival.now);
}

auto Control::on(Arrival const& arrival, LoadSum const& sum) -> void {
    load_choice.record_answer(arrival.from, arrival.now);
    arrival.output.load_sums.emplace_back(arrival.from, sum);
}

auto Control::on(Arrival const& arrival, FeedAsk const& ask) -> void {
    if (settings.core) arrival.output.sends.push_back({arrival.address, cache_feed.answer(ask)});
}

auto Control::on(Arrival const& arrival, FeedAnswer const& answer) -> void {
    take_feed(arrival.now, arrival.from, answer, arrival.output);
}

auto Control::on(Arrival const& arrival, VersionAges const& ages) -> void {
    take_version_ages(arrival.now, arrival.address, ages, arrival.output);
}

auto Control::on(Arrival const& arrival, CallForward const& forward) -> void {
    if (is_partition(forward.call.partition)) on_call_forward(arrival.now, forward, arrival.output);
}

auto Control::on(Arrival const& arrival, CallAnswer const& answer) -> void {
    finish_call(answer.token, answer.status, answer.body, answer.etag, arrival.output);
}

auto Control::on(Arrival const& arrival, ClaimAsk const& ask) -> void {
    if (!is_partition(ask.partition) || !settings.core) return;
    with_partitions(arrival.now, arrival.output, [&](Context& context) {
        partitions[static_cast<std::size_t>(ask.partition)].claim(context, arrival.address, ask);
    });
}

auto Control::on(Arrival const& arrival, ClaimAnswer const& answer) -> void {
    take_claim_answer(answer, arrival.output);
}

auto Control::on(Arrival const& arrival, RecoveryRequest const& ask) -> void {
    arrival.output.sends.push_back({arrival.address, RecoveryAnswer{ask.token, held_partitions()}});
}

auto Control::on(Arrival const& arrival, RecoveryAnswer const& answer) -> void {
    if (!recovery || recovery->token != answer.token) return;
    if (recovery->silent.erase(arrival.address) > 0) take_recovery(answer.partitions);
}

auto Control::on(Arrival const& arrival, RecoverFleet const& order) -> void {
    on_recover_fleet(arrival.now, order, arrival.output);
}

}  // namespace dockrock

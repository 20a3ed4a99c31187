// Distribution of the partitions' documents to every node, by long polling, with proofs of freshness.
// docs/design.md section 8.
#include "control/control.hpp"

namespace dockrock {

// A decided record is valid from any sender. The only remaining member of its group may be one that the
// leader did not inform: it must learn the record, or nobody proposes the next one (consensus.md 3.3).
auto Control::learn_record(Microseconds now, Partition& partition, Record const& record, ControlOutput& output)
    -> void {
    with_partitions(now, output, [&](Context& context) { partition.learn(context, record); });
}

// Only a committed copy of a leader with a valid lease is published.
auto Control::publish(Microseconds now, ControlOutput& output) -> void {
    for (auto index = std::size_t{0}; index < partition_count; ++index) {
        auto& partition = partitions[index];
        auto& item = views[index];
        if (partition.votes.decided.term > item.record.term) item.record = partition.votes.decided;
        else if (settings.core && item.record.term > partition.votes.decided.term)
            learn_record(now, partition, item.record, output);
        if (!watches[index].check(partition, item, membership.self.identity, now)) continue;
        if (!partition.committed || !partition.has_lease(membership.self.identity, now)) continue;
        auto const changed = partition.committed->sequence > item.copy.sequence;
        if (changed) {
            keep_as_base(item);
            item.copy = *partition.committed;
            learn_version_times(static_cast<int>(index), now);
        }
        item.proven_at = now;
        if (item.announced_term < item.record.term) {  // a new leader announces itself to every node (design 8.1)
            item.announced_term = item.record.term;
            for (auto const& member : membership.alive_members(false))
                if (member.identity != membership.self.identity)
                    output.sends.push_back({member.control_address, Decided{static_cast<int>(index), item.record}});
        }
        if (!changed) continue;
        output.snapshot_changed = true;
        answer_held(now, static_cast<int>(index), output);
    }
}

// After an answer that was held the next request is held as well. The same is true for a
// relay with a fresh proof, which answers once it gets an update from the leader.
auto Control::next_request_held(PartitionView const& item, int partition, Microseconds now) const -> bool {
    auto const relayed = item.asked_relay && now - item.proven_at < hold_limit(partition);
    return relayed || now - item.asked_at > hold_limit(partition) / 3;
}

auto Control::answer_expired(Microseconds now, ControlOutput& output) -> void {
    auto waiting = std::move(held_requests);
    held_requests.clear();
    for (auto const& item : waiting) {
        if (now - item.since >= hold_limit(item.ask.partition)) answer_update_request(now, item, output, false);
        else held_requests.push_back(item);
    }
}

auto Control::answer_held(Microseconds now, int partition, ControlOutput& output) -> void {
    auto waiting = std::move(held_requests);
    held_requests.clear();
    for (auto const& entry : waiting) {
        if (entry.ask.partition == partition) answer_update_request(now, entry, output, false);
        else held_requests.push_back(entry);
    }
}

// Ages are reported as of the request's arrival: the requester counts from the time of its
// request, so the time that the request was held here must not be added (design 8.2).
auto Control::answer_update_request(Microseconds now, HeldRequest const& waiting, ControlOutput& output, bool may_wait)
    -> void {
    auto const& ask = waiting.ask;
    auto& item = views[static_cast<std::size_t>(ask.partition)];
    auto const live_age = waiting.since - item.live_at;
    auto const list_newer = item.live_digest != ask.live_digest && live_age < ask.live_age;
    auto const newer = item.copy.sequence > ask.have || list_newer || item.record.term > ask.term;
    if (may_wait && !newer && (leads(ask.partition, now) || relays_updates(ask.partition, now))) {
        if (held_requests.size() < 1024) held_requests.push_back(waiting);
        return;
    }
    UpdateAnswer answer;
    answer.partition = ask.partition;
    answer.token = ask.token;
    answer.record = item.record;
    answer.proven = now - item.proven_at < 10 * one_second;
    answer.age = waiting.since - item.proven_at;
    answer.sequence = item.copy.sequence;
    if (item.copy.sequence > ask.have) {
        answer.copy = shared_update(item, ask);
        update_bytes += answer.copy->text.size() + size_of(answer.copy->edits);
        update_bytes_whole += item.copy.document.size();
    }
    answer.live_digest = item.live_digest;
    answer.live_age = live_age;
    if (list_newer) answer.live = item.live;
    output.sends.push_back({waiting.address, std::move(answer)});
}

// A core node with a fresh proof holds requests like the leader does, and answers
// them with the next update that it gets from the leader (design 8.1).
auto Control::relays_updates(int partition, Microseconds now) const -> bool {
    if (!settings.core || !load_choice.relayed) return false;
    return now - views[static_cast<std::size_t>(partition)].proven_at < 2 * hold_limit(partition);
}

auto Control::take_update(Microseconds now, UpdateAnswer const& answer, ControlOutput& output) -> void {
    auto& item = views[static_cast<std::size_t>(answer.partition)];
    if (answer.token != item.ask_token || item.ask_token == 0) return take_late_answer(now, answer, output);
    retire_request(item, true);
    item.unanswered = 0;
    take_answer(now, item, answer, item.asked_at, output);
    if (item.asked_relay && now - item.proven_at > 2 * hold_limit(answer.partition))
        item.direct_until = now + times.direct;  // the relay is behind or partitioned from the leader
    if (settings.core && load_choice.relayed) answer_held(now, answer.partition, output);
}

// The age of a proof counts from its own request, however late the answer is; newer content is always accepted.
auto Control::take_answer(
    Microseconds now, PartitionView& item, UpdateAnswer const& answer, Microseconds asked_at, ControlOutput& output)
    -> void {
    if (answer.record.term > item.record.term) item.record = answer.record;
    take_copy(now, item, answer, output);
    if (answer.proven && answer.sequence == item.copy.sequence &&
        invariants::check(invariants::ProofFacts{asked_at - answer.age, asked_at, now}))
        item.proven_at = std::max(item.proven_at, asked_at - answer.age);
    take_live(item, answer, asked_at, output);
}

// An answer to an earlier request: a newer one was sent since, or the same one went to two nodes.
auto Control::take_late_answer(Microseconds now, UpdateAnswer const& answer, ControlOutput& output) -> void {
    auto& item = views[static_cast<std::size_t>(answer.partition)];
    auto* asked = find_past_request(item, answer.token);
    if (asked == nullptr) {
        ++update_counts.unknown;
        return;
    }
    if (!asked->answered) {
        ++update_counts.late;
        update_counts.latest = std::max(update_counts.latest, now - asked->asked_at);
        output.notes.push_back({answer.partition, asked->whom, now - asked->asked_at, true});
    }
    asked->answered = true;
    take_answer(now, item, answer, asked->asked_at, output);
}

auto Control::take_copy(Microseconds now, PartitionView& item, UpdateAnswer const& answer, ControlOutput& output)
    -> void {
    if (!answer.copy || !(answer.copy->sequence > item.copy.sequence)) return;  // never replaced by an older one
    auto made = apply_update(item, *answer.copy);
    item.whole_wanted = !made.has_value();
    if (!made) return;
    keep_as_base(item);
    item.copy.sequence = answer.copy->sequence;
    item.copy.document = std::move(*made);
    item.copy.outcomes.clear();
    learn_version_times(answer.partition, now);
    output.snapshot_changed = true;
}

auto Control::take_live(PartitionView& item, UpdateAnswer const& answer, Microseconds asked_at, ControlOutput& output)
    -> void {
    // Texts are compared by digest: an identical text only gets the later time of
    // reading, a different one replaces it if it was read later (design 8.4).
    auto const live_at = asked_at - answer.live_age;
    if (live_at <= item.live_at) return;
    if (answer.live_digest == item.live_digest) {
        item.live_at = live_at;
    } else if (!answer.live.empty() && digest_of(answer.live) == answer.live_digest) {
        item.live = answer.live;
        item.live_digest = answer.live_digest;
        item.live_at = live_at;
        output.snapshot_changed = true;
    }
}

// Whether a request may be sent now: none is outstanding, or the outstanding one timed out (it is given up here).
auto Control::may_request_update(PartitionView& item, int partition, Microseconds now, ControlOutput& output) -> bool {
    if (item.ask_token == 0) return true;
    if (now - item.asked_at < (partition == configuration_partition ? times.ask_limit : times.service_ask_limit))
        return false;
    ++update_counts.unanswered;
    output.notes.push_back({partition, item.asked_whom, now - item.asked_at, false});
    retire_request(item, false);
    if (item.asked_relay) item.direct_until = now + times.direct;
    else ++item.unanswered;
    return true;
}

// The address to request updates from: a relay in large fleets, else the leader, or any node if no leader is known.
auto Control::update_target(PartitionView& item, int partition, Microseconds now) -> std::string {
    item.asked_relay = false;
    if (load_choice.relayed && !settings.core && now >= item.direct_until) {
        auto const cores = membership.alive_members(true);
        auto const* relay = load_choice.choose(membership.self, cores, now);
        item.asked_relay = relay != nullptr;
        if (relay != nullptr) return relay->control_address;
    }
    auto const& record = best_record(partition);
    auto target = membership.address_of(record.leader);
    if (!target.empty() && record.leader != membership.self.identity) return target;
    return other_target(item, "");
}

// A random node except this one and the one already asked; core nodes only until six requests went unanswered.
auto Control::other_target(PartitionView const& item, std::string const& asked) -> std::string {
    auto members = membership.alive_members(item.unanswered < 6);
    std::erase_if(members, [&](auto const& member) {
        return member.identity == membership.self.identity || member.control_address == asked;
    });
    if (members.empty()) return {};
    return members[random.below(members.size())].control_address;
}

auto Control::request_updates(Microseconds now, ControlOutput& output) -> void {
    for (auto index = std::size_t{0}; index < partition_count; ++index) {
        auto& item = views[index];
        if (leads(static_cast<int>(index), now)) continue;
        if (resting && index != configuration_partition && index != resting_partition) continue;
        if (resting && now - item.asked_at < times.resting_interval) continue;
        if (index == resting_partition && !settings.rests && !settings.core) continue;
        if (!may_request_update(item, static_cast<int>(index), now, output)) continue;
        auto const target = update_target(item, static_cast<int>(index), now);
        if (target.empty()) continue;
        ++update_counts.asked;
        item.ask_token = random.next() | 1U;
        item.asked_at = now;
        item.asked_whom = target;
        auto const ask =
            UpdateRequest{static_cast<int>(index), item.ask_token,     item.record.term, item.copy.sequence,
                          item.live_digest,        now - item.live_at, item.whole_wanted};
        output.sends.push_back({target, ask});
        // If the last request was not answered, ask a second node, which may relay the proof it holds.
        auto const other = item.unanswered > 0 ? other_target(item, target) : std::string();
        if (!other.empty()) output.sends.push_back({other, ask});
    }
}

}  // namespace dockrock

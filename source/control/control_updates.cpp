// News to every node, with proofs of freshness, and operator calls passed on.
// docs/design.md sections 7 and 8.
#include "control/control.hpp"

namespace dockrock {

// A record is decided whoever tells it. Of the members that it names the only one left may be one that
// was not told by its leader: it has to know, or nobody proposes the next record (consensus.md 3.3).
auto Control::learn_record(Microseconds now, Partition& partition, Record const& record, ControlOutput& output)
    -> void {
    with_parts(now, output, [&](Context& context) { partition.learn(context, record); });
}

// The leased leader's committed copy is the news; nothing else ever is.
auto Control::publish(Microseconds now, ControlOutput& output) -> void {
    for (auto index = std::size_t{0}; index < partition_count; ++index) {
        auto& partition = partitions[index];
        auto& item = views[index];
        if (partition.votes.decided.term > item.record.term) item.record = partition.votes.decided;
        else if (settings.core && item.record.term > partition.votes.decided.term)
            learn_record(now, partition, item.record, output);
        if (!watches[index].look(partition, item, membership.self.identity, now)) continue;
        if (!partition.committed || !partition.has_lease(membership.self.identity, now)) continue;
        auto const changed = partition.committed->sequence > item.copy.sequence;
        if (changed) {
            remember(item);
            item.copy = *partition.committed;
            learn_version_times(static_cast<int>(index), now);
        }
        item.proven_at = now;
        if (item.announced_term < item.record.term) {  // a new leader tells everyone where to ask (design 8.1)
            item.announced_term = item.record.term;
            for (auto const& member : membership.alive_members(false))
                if (member.identity != membership.self.identity)
                    output.sends.push_back({member.control_address, Decided{static_cast<int>(index), item.record}});
        }
        if (!changed) continue;
        output.snapshot_changed = true;
        answer_waiting(now, static_cast<int>(index), output);
    }
}

// After an answer that was held the next question is held as well; so it is at
// a relay with a fresh proof, which answers with what it hears from the leader.
auto Control::next_is_held(PartitionView const& item, int partition, Microseconds now) const -> bool {
    auto const relayed = item.asked_relay && now - item.proven_at < hold_limit(partition);
    return relayed || now - item.asked_at > hold_limit(partition) / 3;
}

auto Control::answer_overdue(Microseconds now, ControlOutput& output) -> void {
    auto waiting = std::move(held_requests);
    held_requests.clear();
    for (auto const& item : waiting) {
        if (now - item.since >= hold_limit(item.ask.partition)) answer_update_request(now, item, output, false);
        else held_requests.push_back(item);
    }
}

auto Control::answer_waiting(Microseconds now, int partition, ControlOutput& output) -> void {
    auto waiting = std::move(held_requests);
    held_requests.clear();
    for (auto const& entry : waiting) {
        if (entry.ask.partition == partition) answer_update_request(now, entry, output, false);
        else held_requests.push_back(entry);
    }
}

// Ages are told as of the question's arrival: the asker counts from when it
// asked, and the time that the question was held here is no age (design 8.2).
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

// A core node whose own proof is fresh holds questions as the leader does, and
// answers them with what it hears from the leader next (design 8.1).
auto Control::relays_updates(int partition, Microseconds now) const -> bool {
    if (!settings.core || !load_choice.relayed) return false;
    return now - views[static_cast<std::size_t>(partition)].proven_at < 2 * hold_limit(partition);
}

auto Control::take_update(Microseconds now, UpdateAnswer const& answer, ControlOutput& output) -> void {
    auto& item = views[static_cast<std::size_t>(answer.partition)];
    if (answer.token != item.ask_token || item.ask_token == 0) return take_late(now, answer, output);
    retire_request(item, true);
    item.unanswered = 0;
    take_answer(now, item, answer, item.asked_at, output);
    if (item.asked_relay && now - item.proven_at > 2 * hold_limit(answer.partition))
        item.direct_until = now + times.direct;  // a relay that is behind, or cut off from the leader
    if (settings.core && load_choice.relayed) answer_waiting(now, answer.partition, output);
}

// A proof counts from when its own question was asked, however late it comes; content that is newer is always taken.
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

// The question was asked anew since, or of two nodes at once.
auto Control::take_late(Microseconds now, UpdateAnswer const& answer, ControlOutput& output) -> void {
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
    if (!answer.copy || !(answer.copy->sequence > item.copy.sequence)) return;  // never back to an older one
    auto made = apply_update(item, *answer.copy);
    item.whole_wanted = !made.has_value();
    if (!made) return;
    remember(item);
    item.copy.sequence = answer.copy->sequence;
    item.copy.document = std::move(*made);
    item.copy.outcomes.clear();
    learn_version_times(answer.partition, now);
    output.snapshot_changed = true;
}

auto Control::take_live(PartitionView& item, UpdateAnswer const& answer, Microseconds asked_at, ControlOutput& output)
    -> void {
    // A list is told apart by its digest: the same text is as fresh as its
    // freshest reading, another one is taken where it was read later (design 8.4).
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

// Whether the partition may be asked about now: nothing is under way, or too long.
auto Control::ask_overdue(PartitionView& item, int partition, Microseconds now, ControlOutput& output) -> bool {
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

// A relay where there are many nodes; else the leader, or anyone where none is known.
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

// Anyone but this node and the one that is asked already.
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
        if (!ask_overdue(item, static_cast<int>(index), now, output)) continue;
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
        // Where the last question was not answered, another node, whoever it is, may relay its proof.
        auto const other = item.unanswered > 0 ? other_target(item, target) : std::string();
        if (!other.empty()) output.sends.push_back({other, ask});
    }
}

}  // namespace dockrock

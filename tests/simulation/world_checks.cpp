// Operators' calls in the simulator and the invariants checked after each event.
#include "world.hpp"

namespace dockrock::simulation {

namespace {
constexpr Microseconds wiped_kept = 10 * one_second;

auto names_of(Record const& record) -> std::string {
    auto names = record.leader;
    for (auto const& follower : record.followers) names += "/" + follower;
    return names;
}
}  // namespace

// Every partition has a leased leader, a whole and synced group, and voters that all live.
auto World::settled() -> bool {
    for (auto partition = 0; partition < static_cast<int>(partition_count); ++partition) {
        auto const holder = leader(partition);
        if (!holder) return false;
        auto const& machine = nodes[*holder]->control.partitions[static_cast<std::size_t>(partition)];
        if (!machine.committed || machine.in_flight || machine.proposal ||
            !machine.all_have(machine.committed->sequence) || machine.votes.decided.followers.size() != options.losses)
            return false;
        for (auto const& voter : machine.votes.decided.voters) {
            auto const lives = std::any_of(nodes.begin(), nodes.end(), [&](auto const& node) {
                return node->running && node->disk.identity == voter && node->disk.mode == DiskMode::good &&
                    !node->disk.broken &&
                    node->control.partitions[static_cast<std::size_t>(partition)].votes.decided ==
                    machine.votes.decided;
            });
            if (!lives) return false;
        }
        if (machine.votes.decided.voters.size() != options.cores) return false;
    }
    return true;
}

auto World::describe() -> void {
    for (auto const& node : nodes) {
        if (!node->core) continue;
        for (auto const& partition : node->control.partitions) {
            auto const& votes = partition.votes;
            note(
                node->address + (node->running ? "" : " (down)") + " partition " + std::to_string(partition.index) +
                " term " + std::to_string(votes.decided.term) + " " + names_of(votes.decided) + " promised " +
                std::to_string(votes.promised.round) + votes.promised.node + " accepted " +
                (votes.accepted ? names_of(*votes.accepted) : "-") + " sealed " + std::to_string(votes.sealed) +
                " copy " + etag_of(partition.copy.sequence) + " synced " + etag_of(partition.synced) +
                (partition.healthy ? "" : " sick") + (partition.committed ? " committed" : "") +
                (partition.in_flight ? " flying" : "") + (partition.proposal ? " proposing" : "") + " round " +
                std::to_string(partition.highest_round) + " saving " + std::to_string(partition.saving.size()) +
                " lease " +
                std::to_string((partition.lease_until(node->control.membership.self.identity) - local(*node)) / 1'000) +
                " voters " + write_message(Decided{partition.index, votes.decided}));
        }
    }
}

auto World::put(
    std::size_t index, std::string document, std::string if_match, std::string identity, std::function<void(int)> told)
    -> std::size_t {
    auto const number = changes.size();
    if (identity.empty()) identity = "change-" + std::to_string(number);
    changes.push_back({identity, document, now, 0, {}, 0});
    auto const token = next_call++;
    using history::Operation;
    auto const place = asked({Operation::write, {}, 0, 0, identity, document, history::read_version(if_match), {}});
    call_results[token] = [this, number, place, told = std::move(told)](CallDone done) {
        answered(place, done);
        auto& change = changes[number];
        change.status = done.status;
        change.answered_at = now;
        if (told && done.status != 200) told(done.status);
        if (done.status != 200) return;
        auto const dot = done.etag.find('.');
        change.sequence = {
            std::strtoull(done.etag.c_str() + 1, nullptr, 10), std::strtoull(done.etag.c_str() + dot + 1, nullptr, 10)};
        note("acknowledged " + change.identity + " " + done.etag);
        for (auto const& other : changes)
            if (other.status == 200 && other.identity != change.identity && other.answered_at < change.asked_at &&
                other.sequence >= change.sequence)
                violation("a change acknowledged later has an older sequence: " + change.identity);
        highest_acknowledged = std::max(highest_acknowledged, change.sequence);
        if (told) told(200);
    };
    auto& node = *nodes[index];
    on_node(
        index, node.life,
        [this, index, token, call = Call{configuration_partition, identity, "put", if_match, document}] {
            act(index, nodes[index]->control.call(local(*nodes[index]), token, call));
        });
    return number;
}

auto World::read(std::size_t index) -> void {
    auto const token = next_call++;
    auto const least = highest_acknowledged;
    auto const place = asked({history::Operation::read, {}, 0, 0, "", "", std::nullopt, {}});
    call_results[token] = [this, least, place](CallDone done) {
        answered(place, done);
        if (done.status != 200) return;
        ++reads_checked;
        auto const dot = done.etag.find('.');
        auto const got = Sequence{
            std::strtoull(done.etag.c_str() + 1, nullptr, 10), std::strtoull(done.etag.c_str() + dot + 1, nullptr, 10)};
        if (got < least) violation("a read gave " + done.etag + ", older than " + etag_of(least));
        for (auto const& change : changes)
            if (change.document == done.body && change.status != 0 && change.status != 200 && change.status != 504 &&
                change.answered_at < now)
                violation("a read gave a refused change " + change.identity);
    };
    auto& node = *nodes[index];
    on_node(index, node.life, [this, index, token] {
        act(index,
            nodes[index]->control.call(local(*nodes[index]), token, Call{configuration_partition, "", "get", "", ""}));
    });
}

auto World::claim(
    std::size_t index, std::string key, std::string ticket, std::function<void(ClaimDone)> done, bool release) -> void {
    auto const partition = 1 + static_cast<int>(hash_text(key) % service_partitions);
    claim(index, ClaimAsk{partition, 0, std::move(key), std::move(ticket), release}, std::move(done));
}

auto World::claim(std::size_t index, ClaimAsk ask, std::function<void(ClaimDone)> done) -> void {
    auto const token = next_call++;
    if (done) claim_results[token] = std::move(done);
    on_node(index, nodes[index]->life, [this, index, token, ask = std::move(ask)] {
        act(index, nodes[index]->control.claim(local(*nodes[index]), token, ask));
    });
}

auto World::call(std::size_t index, Call asked, std::function<void(CallDone)> done) -> void {
    auto const token = next_call++;
    call_results[token] = std::move(done);
    on_node(index, nodes[index]->life, [this, index, token, asked = std::move(asked)] {
        act(index, nodes[index]->control.call(local(*nodes[index]), token, asked));
    });
}

auto World::check() -> void {
    for (auto partition = 0; partition < static_cast<int>(partition_count); ++partition) {
        auto holders = 0;
        for (auto const& node : nodes)
            if (node->running && node->control.leads(partition, local(*node))) ++holders;
        if (holders > 1) violation("two leased holders of partition " + std::to_string(partition));
    }
    for (auto& node : nodes)
        if (node->running && node->frozen_until <= now) check_node(*node);
    check_copies();
}

// Whatever a leader holds for acknowledged is synced on more disks than may be
// lost; a disk wiped since counts, as its loss came after (design 5.4).
auto World::check_copies() -> void {
    std::erase_if(wiped, [&](auto const& item) { return now - item.at > wiped_kept; });
    for (auto const& node : nodes) {
        if (!node->running) continue;
        for (auto const& partition : node->control.partitions) {
            auto& known = copies_checked[static_cast<std::size_t>(partition.index)];
            if (!partition.committed || partition.committed->sequence <= known) continue;
            known = partition.committed->sequence;
            auto const holds = [&](SavedPartition const& saved) {
                return saved.partition == partition.index && saved.copy && saved.copy->sequence >= known;
            };
            auto copies = std::size_t{0};
            for (auto const& other : nodes)
                copies += std::any_of(other->disk.synced.begin(), other->disk.synced.end(), holds) ? 1 : 0;
            for (auto const& item : wiped) copies += std::any_of(item.synced.begin(), item.synced.end(), holds) ? 1 : 0;
            if (copies <= options.losses)
                violation(
                    node->address + " holds " + etag_of(known) + " of partition " + std::to_string(partition.index) +
                    " for acknowledged with " + std::to_string(copies) + " synced copies");
        }
    }
}

// What the code itself saw violated in the last event; each invariant once, to leave room for what follows of it.
auto World::check_invariants() -> void {
    auto const met = invariants::violations_on_this_thread();
    if (met == invariants_met) return;
    invariants_met = met;
    auto const& text = invariants::last_violation_on_this_thread();
    auto const name = "invariant " + text.substr(0, text.find(' '));
    auto const told = std::any_of(
        violations.begin(), violations.end(), [&](auto const& known) { return known.find(name) != std::string::npos; });
    if (!told) violation("invariant " + text);
}

auto World::check_node(SimulatedNode& node) -> void {
    for (auto const& partition : node.control.partitions) {
        if (partition.votes.decided.term == 0) continue;
        auto const [place, fresh] =
            records.emplace(std::pair(partition.index, partition.votes.decided.term), partition.votes.decided);
        if (!fresh && place->second != partition.votes.decided)
            violation(
                "two records decided for partition " + std::to_string(partition.index) + " term " +
                std::to_string(partition.votes.decided.term));
    }
    auto const& item = node.control.views[configuration_partition];
    if (item.copy.sequence < node.newest_seen) violation(node.address + " went back to an older configuration");
    if (item.copy.sequence == node.newest_seen) {
        if (node.control.proof_age(configuration_partition, local(node)) >= 1'500 * one_millisecond) return;
        for (auto const& change : changes)  // whoever may grant entry holds what was acknowledged two seconds ago
            if (change.status == 200 && now - change.answered_at > 2 * one_second &&
                change.sequence > item.copy.sequence) {
                violation(
                    node.address + " grants entry under " + etag_of(item.copy.sequence) + " though " + change.identity +
                    " was acknowledged over 2 s ago");
                return;
            }
        return;
    }
    node.newest_seen = item.copy.sequence;
    for (auto const& change : changes)
        if (change.document == item.copy.document && change.status != 0 && change.status != 200 && change.status != 504)
            violation("refused change " + change.identity + " came in force");
}

}  // namespace dockrock::simulation

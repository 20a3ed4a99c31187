// Recovery after the loss of every core disk: ordered explicitly by an operator, from the
// newest copies that the remaining nodes hold. docs/design.md 5.9.
#include <algorithm>

#include "control/control.hpp"

namespace dockrock {

namespace {
constexpr Microseconds gather_limit = 2 * one_second;
constexpr Microseconds forming_limit = 10 * one_second;
constexpr Microseconds send_interval = one_second;
}  // namespace

auto Control::held_partitions() const -> std::vector<HeldPartition> {
    std::vector<HeldPartition> held;
    for (auto index = std::size_t{0}; index < partition_count; ++index) {
        auto const& record = best_record(static_cast<int>(index));
        auto const& own = partitions[index].copy;
        auto const& published = views[index].copy;
        auto const& newest = own.sequence > published.sequence ? own : published;
        auto const voters = record.leader.empty() ? std::vector<std::string>() : record.voters;
        held.push_back({record.term, voters, newest.sequence, newest.document});
    }
    return held;
}

auto Control::old_voter_alive(std::vector<HeldPartition> const& held) const -> std::string {
    for (auto const& partition : held)
        for (auto const& voter : partition.voters)
            if (voter == membership.self.identity || membership.alive(voter)) return voter;
    return "";
}

auto Control::recover_fleet(Microseconds now, std::uint64_t local_token) -> ControlOutput {
    ControlOutput output;
    auto const busy = recovery.has_value();
    auto fresh = PendingRecovery{random.next() | 1U, local_token, now, {}, held_partitions(), 0};
    auto const refused = [&](std::string_view what) {
        auto const body = json::serialize(fields("error", std::string(what) + "; nothing was done"));
        output.results.push_back({"", local_token, 409, body, ""});
        return output;
    };
    if (busy) return refused("forming anew is under way");
    if (!knows_fleet()) return refused("this node knows no fleet that was; blank core nodes form by themselves");
    if (auto const voter = old_voter_alive(fresh.best); !voter.empty())
        return refused("core node " + voter + " of the fleet that was still answers");
    if (membership.alive_members(true).size() < cores_needed())
        return refused("fewer than a majority of core nodes are there");
    for (auto const& member : membership.alive_members(false)) {
        if (member.identity == membership.self.identity) continue;
        fresh.silent.insert(member.control_address);
        output.sends.push_back({member.control_address, RecoveryRequest{fresh.token}});
    }
    recovery = std::move(fresh);
    return output;
}

auto Control::take_recovery(std::vector<HeldPartition> const& received) -> void {
    for (auto index = std::size_t{0}; index < std::min(received.size(), recovery->best.size()); ++index) {
        auto& best = recovery->best[index];
        if (received[index].term > best.term) {
            best.term = received[index].term;
            if (!received[index].voters.empty()) best.voters = received[index].voters;
        }
        if (received[index].sequence > best.sequence) {
            best.sequence = received[index].sequence;
            best.document = received[index].document;
        }
    }
}

auto Control::end_recovery(int status, std::string_view what, ControlOutput& output) -> void {
    auto const* name = status == 200 ? "state" : "error";
    output.results.push_back({"", recovery->local_token, status, json::serialize(fields(name, std::string(what))), ""});
    recovery.reset();
}

auto Control::tick_recovery(Microseconds now, ControlOutput& output) -> void {
    if (!recovery) return;
    if (recovery->term != 0) {
        auto const& record = best_record(configuration_partition);
        if (record.term > recovery->term && !record.leader.empty()) return end_recovery(200, "formed anew", output);
        if (now - recovery->sent_at > send_interval) send_recovery(now, output);  // the previous message may be lost
        if (now - recovery->since > forming_limit)
            end_recovery(504, "not formed yet; look at the status, order again", output);
        return;
    }
    if (!recovery->silent.empty() && now - recovery->since < gather_limit) return;
    if (auto const voter = old_voter_alive(recovery->best); !voter.empty())
        return end_recovery(
            409, "core node " + voter + " of the fleet that was still answers; nothing was done", output);
    auto cores = membership.alive_members(true);
    if (cores.empty()) return end_recovery(409, "no core node is there; nothing was done", output);
    std::sort(cores.begin(), cores.end(), [](auto const& left, auto const& right) {
        return left.control_address < right.control_address;
    });
    auto order = RecoverFleet{0, {}, recovery->best};
    for (auto const& partition : recovery->best) order.term = std::max(order.term, partition.term + 1);
    for (auto const& core : cores) order.voters.push_back(core.identity);
    recovery->term = order.term;
    recovery->since = now;
    recovery->order = std::move(order);
    recovery->at = cores.front().control_address;
    send_recovery(now, output);
}

auto Control::send_recovery(Microseconds now, ControlOutput& output) -> void {
    recovery->sent_at = now;
    if (recovery->at == membership.self.control_address) on_recover_fleet(now, recovery->order, output);
    else output.sends.push_back({recovery->at, recovery->order});
}

// Accepted only by a core node that was no voter or member of the former fleet: its disk has no newer state.
auto Control::on_recover_fleet(Microseconds now, RecoverFleet const& order, ControlOutput& output) -> void {
    auto const named = std::any_of(partitions.begin(), partitions.end(), [&](auto const& partition) {
        auto const& record = partition.votes.decided;
        auto const& self = membership.self.identity;
        auto const votes = std::find(record.voters.begin(), record.voters.end(), self) != record.voters.end();
        return !record.leader.empty() && (votes || record.has_member(self));
    });
    auto const listed = std::find(order.voters.begin(), order.voters.end(), membership.self.identity);
    if (!settings.core || named || order.partitions.size() != partition_count || listed == order.voters.end()) return;
    if (!old_voter_alive(order.partitions).empty()) return;
    recovers_fleet = true;
    with_partitions(now, output, [&](Context& context) {
        for (auto index = std::size_t{0}; index < partition_count; ++index) {
            auto& partition = partitions[index];
            partition.copy = {order.partitions[index].sequence, order.partitions[index].document, {}};
            partition.last_written.reset();  // the disk holds a different document
            partition.learn(context, Record{order.term, "", {}, order.voters});
        }
    });
}

}  // namespace dockrock

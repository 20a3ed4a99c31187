// Operator calls, forwarded to the leader of their partition. docs/design.md section 7.
#include <algorithm>

#include "control/control.hpp"

namespace dockrock {

namespace {
constexpr auto max_hops = 2;
// Extra time for large bodies, which take longer to transfer and to parse.
auto allowance_for(Call const& call, UpdateTimes const& times) -> Microseconds {
    return static_cast<Microseconds>(call.body.size()) * times.call_each_mebibyte / (Microseconds{1} << 20U);
}
}  // namespace

auto Control::call(Microseconds now, std::uint64_t local_token, Call const& asked) -> ControlOutput {
    ControlOutput output;
    auto const token = random.next() | 1U;
    auto& pending = calls[token];
    pending.call = asked;
    pending.since = now;
    pending.local_token = local_token;
    send_call(now, token, pending, output);
    publish(now, output);
    return output;
}

auto Control::send_call(Microseconds now, std::uint64_t token, PendingCall& pending, ControlOutput& output) -> void {
    pending.sent_at = now;
    auto const call = pending.call;
    if (leader_unreachable(now, call.partition)) return;
    auto const& record = best_record(call.partition);
    if (record.leader.empty()) return;
    ++pending.sends;
    if (record.leader == membership.self.identity) {
        ++pending.outstanding;
        with_partitions(now, output, [&](Context& context) {
            partitions[static_cast<std::size_t>(call.partition)].call(
                context, membership.self.control_address, token, call);
        });
        return;
    }
    auto const address = next_hop(pending);
    if (address.empty()) return;
    ++pending.outstanding;
    auto forward = CallForward{token, pending.hops, membership.self.control_address, call};
    if (call.operation == "get" && pending.asker.empty()) forward.call.if_match = held_etag(call.partition);
    output.sends.push_back({address, std::move(forward)});
}

// The ETag of the document that this node holds; empty if it holds none.
auto Control::held_etag(int partition) const -> std::string {
    auto const& held = views[static_cast<std::size_t>(partition)].copy;
    return held.document.empty() ? std::string() : etag_of(held.sequence);
}

// The document with that ETag; null if this node no longer holds it.
auto Control::held_document(int partition, std::string const& etag) const -> std::string const* {
    auto const& held = views[static_cast<std::size_t>(partition)];
    if (etag_of(held.copy.sequence) == etag) return &held.copy.document;
    auto const found = std::find_if(
        held.past.begin(), held.past.end(), [&](auto const& earlier) { return etag_of(earlier.first) == etag; });
    return found == held.past.end() ? nullptr : &found->second;
}

// No proof of a leader arrived by any path for a long time: a call sent now would only wait.
auto Control::leader_unreachable(Microseconds now, int partition) const -> bool {
    auto const& machine = partitions[static_cast<std::size_t>(partition)];
    auto const proven = std::min(proof_age(partition, now), proof_age(configuration_partition, now));
    return proven > times.shed_limit && !machine.has_lease(membership.self.identity, now);
}

// The leader; on every second attempt another core node, which may reach the leader when this node can't.
auto Control::next_hop(PendingCall const& pending) -> std::string {
    auto const& record = best_record(pending.call.partition);
    auto others = staying_cores();
    std::erase_if(others, [&](auto const& member) {
        return member.identity == record.leader || member.identity == membership.self.identity;
    });
    if (pending.sends % 2 == 1 || others.empty() || pending.hops > 0) return membership.address_of(record.leader);
    return others[random.below(others.size())].control_address;
}

auto Control::on_call_forward(Microseconds now, CallForward const& forward, ControlOutput& output) -> void {
    auto const& record = best_record(forward.call.partition);
    auto& partition = partitions[static_cast<std::size_t>(forward.call.partition)];
    auto const here = partition.is_leader(membership.self.identity) || record.leader == membership.self.identity;
    if (here || forward.hops >= max_hops) {
        with_partitions(now, output, [&](Context& context) {
            partition.call(context, forward.origin, forward.token, forward.call);
        });
        return;
    }
    auto const held = std::any_of(calls.begin(), calls.end(), [&](auto const& item) {
        return item.second.asker == forward.origin && item.second.local_token == forward.token;
    });
    if (held) return;
    auto const token = random.next() | 1U;
    auto& pending = calls[token];
    pending.call = forward.call;
    pending.since = now;
    pending.local_token = forward.token;
    pending.asker = forward.origin;
    pending.hops = forward.hops + 1;
    send_call(now, token, pending, output);
}

auto Control::answer_call(PendingCall const& pending, CallDone done, ControlOutput& output) -> void {
    if (pending.asker.empty()) return output.results.push_back(std::move(done));
    output.sends.push_back(
        {pending.asker, CallAnswer{pending.local_token, done.status, std::move(done.body), std::move(done.etag)}});
}

auto Control::finish_call(std::uint64_t token, int status, std::string body, std::string etag, ControlOutput& output)
    -> void {
    auto const found = calls.find(token);
    if (found == calls.end()) return;
    if (status == not_modified && found->second.asker.empty()) {
        auto const* const document = held_document(found->second.call.partition, etag);
        status = document == nullptr ? 503 : 200;
        if (document != nullptr) body = *document;
    }
    if (status == 503) {  // not executed there: retried until the limit
        --found->second.outstanding;
        return;
    }
    answer_call(found->second, {"", found->second.local_token, status, std::move(body), std::move(etag)}, output);
    calls.erase(found);
}

// A change carries its identity, so that a retry finds the outcome of the first
// attempt and cannot apply it twice (design 7).
auto Control::tick_calls(Microseconds now, ControlOutput& output) -> void {
    std::vector<std::uint64_t> due;
    std::vector<std::uint64_t> over;
    for (auto const& [token, pending] : calls) {
        auto const reads = pending.call.operation == "get" || pending.call.operation == "outcome";
        auto const sent = pending.outstanding > 0 && !reads;
        auto const unsent_limit =
            leader_unreachable(now, pending.call.partition) ? times.call_refused_limit : times.call_unsent_limit;
        auto const more = allowance_for(pending.call, times);
        auto const limit = (sent ? times.call_limit : unsent_limit) + more;
        if (now - pending.since > limit) over.push_back(token);
        else if (now - pending.sent_at > times.call_resend + more) due.push_back(token);
    }
    for (auto token : over) {
        auto const& pending = calls.at(token);
        auto const reads = pending.call.operation == "get" || pending.call.operation == "outcome";
        auto const unknown = pending.outstanding > 0 && !reads;
        answer_call(
            pending,
            {"", pending.local_token, unknown ? 504 : 503,
             unknown ? R"({"error":"outcome not known; ask again under the same change identity"})"
                     : R"({"error":"no leader of this partition can be reached; nothing was changed"})",
             ""},
            output);
        calls.erase(token);
    }
    for (auto token : due) {
        if (auto const found = calls.find(token); found != calls.end()) send_call(now, token, found->second, output);
    }
}

}  // namespace dockrock

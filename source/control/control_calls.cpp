// Operators' calls, passed on to the leader of their partition. docs/design.md section 7.
#include "control/control.hpp"

namespace dockrock {

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
    auto const& record = best_record(call.partition);
    if (record.leader.empty()) return;
    if (record.leader == membership.self.identity) {
        ++pending.outstanding;
        with_parts(now, output, [&](Context& context) {
            partitions[static_cast<std::size_t>(call.partition)].call(
                context, membership.self.control_address, token, call);
        });
        return;
    }
    auto const leader = membership.address_of(record.leader);
    if (leader.empty()) return;
    ++pending.outstanding;
    output.sends.push_back({leader, CallForward{token, 0, membership.self.control_address, call}});
}

auto Control::finish_call(std::uint64_t token, int status, std::string body, std::string etag, ControlOutput& output)
    -> void {
    auto const found = calls.find(token);
    if (found == calls.end()) return;
    if (status == 503) {  // nothing was done there: asked again until the limit
        --found->second.outstanding;
        return;
    }
    output.results.push_back({"", found->second.local_token, status, std::move(body), std::move(etag)});
    calls.erase(found);
}

// A change travels under its identity, so sending it again finds its outcome
// and cannot make it twice (design 7).
auto Control::tick_calls(Microseconds now, ControlOutput& output) -> void {
    std::vector<std::uint64_t> due;
    std::vector<std::uint64_t> over;
    for (auto const& [token, pending] : calls) {
        auto const reads = pending.call.operation == "get" || pending.call.operation == "outcome";
        auto const limit = pending.outstanding > 0 && !reads ? times.call_limit : times.call_unsent_limit;
        if (now - pending.since > limit) over.push_back(token);
        else if (now - pending.sent_at > times.call_resend) due.push_back(token);
    }
    for (auto token : over) {
        auto const& pending = calls.at(token);
        auto const reads = pending.call.operation == "get" || pending.call.operation == "outcome";
        auto const unknown = pending.outstanding > 0 && !reads;
        output.results.push_back(
            {"", pending.local_token, unknown ? 504 : 503,
             unknown ? R"({"error":"outcome not known; ask again under the same change identity"})"
                     : R"({"error":"no leader of this partition can be reached; nothing was changed"})",
             ""});
        calls.erase(token);
    }
    for (auto token : due) {
        if (auto const found = calls.find(token); found != calls.end()) send_call(now, token, found->second, output);
    }
}

}  // namespace dockrock

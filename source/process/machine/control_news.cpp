// News to every node, with proofs of freshness, and operator calls passed on.
// docs/design.md sections 7 and 8.
#include "process/machine/control.hpp"

namespace dockrock {

// The licensed owner's committed copy is the news; nothing else ever is.
auto Control::publish(Microseconds now, ControlOutput& output) -> void {
    for (auto index = std::size_t{0}; index < part_count; ++index) {
        auto& part = parts[index];
        auto& item = news[index];
        if (part.votes.decided.epoch > item.record.epoch) item.record = part.votes.decided;
        if (!part.committed || !part.licensed(membership.self.identity, now)) continue;
        auto const changed = part.committed->sequence > item.copy.sequence;
        if (changed) item.copy = *part.committed;
        item.proven_at = now;
        if (item.told_epoch < item.record.epoch) {  // a new owner tells everyone where to ask (design 8.1)
            item.told_epoch = item.record.epoch;
            for (auto const& member : membership.alive_members(false))
                if (member.identity != membership.self.identity)
                    output.sends.push_back({member.control_address, Decided{static_cast<int>(index), item.record}});
        }
        if (!changed) continue;
        output.news = true;
        auto waiting = std::move(waiting_asks);
        waiting_asks.clear();
        for (auto const& entry : waiting) {
            if (entry.ask.part == static_cast<int>(index)) answer_news(now, entry.address, entry.ask, output, false);
            else waiting_asks.push_back(entry);
        }
    }
}

auto Control::answer_news(
    Microseconds now, std::string const& address, NewsAsk const& ask, ControlOutput& output, bool may_wait) -> void {
    auto const index = static_cast<std::size_t>(ask.part);
    auto const& item = news[index];
    auto const newer =
        item.copy.sequence > ask.have || item.live_number > ask.have_live || item.record.epoch > ask.epoch;
    if (may_wait && !newer && owns(ask.part, now)) {
        if (waiting_asks.size() < 1024) waiting_asks.push_back({address, ask, now});
        return;
    }
    NewsAnswer answer;
    answer.part = ask.part;
    answer.token = ask.token;
    answer.record = item.record;
    answer.proven = now - item.proven_at < 10 * one_second;
    answer.age = now - item.proven_at;
    answer.sequence = item.copy.sequence;
    if (item.copy.sequence > ask.have) answer.copy = item.copy;
    answer.live_number = item.live_number;
    answer.live_age = now - item.live_at;
    if (item.live_number > ask.have_live) answer.live = item.live;
    output.sends.push_back({address, std::move(answer)});
}

auto Control::take_news(Microseconds now, NewsAnswer const& answer, ControlOutput& output) -> void {
    (void)now;
    auto& item = news[static_cast<std::size_t>(answer.part)];
    if (answer.token != item.ask_token || item.ask_token == 0) return;
    item.ask_token = 0;
    item.unanswered = 0;
    if (answer.record.epoch > item.record.epoch) item.record = answer.record;
    if (answer.copy && answer.copy->sequence > item.copy.sequence) {  // never back to an older one
        item.copy = *answer.copy;
        output.news = true;
    }
    if (answer.proven && answer.sequence == item.copy.sequence)
        item.proven_at = std::max(item.proven_at, item.asked_at - answer.age);
    auto const live_at = item.asked_at - answer.live_age;
    if (answer.live_number > item.live_number) {
        item.live_number = answer.live_number;
        if (live_at > item.live_at && !answer.live.empty()) {
            item.live = answer.live;
            item.live_at = live_at;
            output.news = true;
        }
    } else if (answer.live_number == item.live_number && answer.live_number != 0) {
        item.live_at = std::max(item.live_at, live_at);
    }
}

auto Control::ask_news(Microseconds now, ControlOutput& output) -> void {
    for (auto index = std::size_t{0}; index < part_count; ++index) {
        auto& item = news[index];
        if (owns(static_cast<int>(index), now)) continue;
        if (resting && index != configuration_part && index != resting_part) continue;
        if (resting && now - item.asked_at < times.resting_interval) continue;
        if (item.ask_token != 0) {
            if (now - item.asked_at < times.ask_limit) continue;
            ++item.unanswered;
        }
        auto const& record = best_record(static_cast<int>(index));
        auto target = membership.address_of(record.primary);
        // The owner first; where it does not answer, anyone may relay its proof.
        if (target.empty() || record.primary == membership.self.identity || item.unanswered % 2 == 1) {
            auto members = membership.alive_members(item.unanswered < 6);
            std::erase_if(members, [&](auto const& member) { return member.identity == membership.self.identity; });
            if (members.empty()) continue;
            target = members[random.below(members.size())].control_address;
        }
        item.ask_token = random.next() | 1U;
        item.asked_at = now;
        item.asked_whom = target;
        output.sends.push_back(
            {target,
             NewsAsk{
                 static_cast<int>(index), item.ask_token, item.record.epoch, item.copy.sequence, item.live_number}});
    }
}

auto Control::wants_list(Microseconds now) const -> bool {
    if (owns(configuration_part, now)) return now - last_list_read >= times.list_interval;
    if (resting) return false;
    return now - news[configuration_part].live_at > times.list_fallback && now - last_list_read >= one_second / 2;
}

// A list that was read whole. What can't be read never reaches this machine,
// so silence undoes no mark (design 8).
auto Control::list_read(Microseconds now, std::string const& text) -> ControlOutput {
    ControlOutput output;
    last_list_read = now;
    auto& item = news[configuration_part];
    item.live_at = now;
    if (text == item.live) {
        if (item.live_number >> 32U == item.record.epoch || !owns(configuration_part, now)) return output;
    }
    item.live = text;
    output.news = true;
    if (!owns(configuration_part, now)) return output;
    item.live_number = std::max(item.live_number + 1, item.record.epoch << 32U);
    auto waiting = std::move(waiting_asks);
    waiting_asks.clear();
    for (auto const& entry : waiting) {
        if (entry.ask.part == configuration_part) answer_news(now, entry.address, entry.ask, output, false);
        else waiting_asks.push_back(entry);
    }
    return output;
}

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
    auto const& record = best_record(call.part);
    if (record.primary.empty()) return;
    if (record.primary == membership.self.identity) {
        ++pending.outstanding;
        with_parts(now, output, [&](Context& context) {
            parts[static_cast<std::size_t>(call.part)].call(context, membership.self.control_address, token, call);
        });
        return;
    }
    auto const owner = membership.address_of(record.primary);
    if (owner.empty()) return;
    ++pending.outstanding;
    output.sends.push_back({owner, CallForward{token, 0, membership.self.control_address, call}});
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
                     : R"({"error":"no owner of this part can be reached; nothing was changed"})",
             ""});
        calls.erase(token);
    }
    for (auto token : due) {
        if (auto const found = calls.find(token); found != calls.end()) send_call(now, token, found->second, output);
    }
}

}  // namespace dockrock

// The pair: owner and understudy, changes and their outcomes. docs/design.md 5.4 to 5.6.
#include <algorithm>

#include "process/machine/part.hpp"

namespace dockrock {

namespace {
constexpr Microseconds queued_limit = 2'500 * one_millisecond;
constexpr Microseconds waiter_limit = 3 * one_second;

auto error_body(std::string_view what) -> std::string {
    return json::serialize(json::object{{"error", json::string_view(what.data(), what.size())}});
}
}  // namespace

auto Part::step_down(Context& context) -> void {
    committed.reset();
    in_flight = false;
    for (auto const& waiter : waiters)
        context.done.push_back(
            {waiter.origin, waiter.token, 504,
             error_body("outcome not known; ask again under the same change identity"), ""});
    waiters.clear();
    for (auto const& item : queued)
        context.done.push_back(
            {item.origin, item.token, 503, error_body("the owner of this part changed; nothing was changed"), ""});
    queued.clear();
}

auto Part::tick(Context& context) -> void {
    if (last_tick != 0 && context.now - last_tick > times.frozen_gap) {
        primary_heard = understudy_heard = context.now;  // a frozen node distrusts its own timers
    }
    last_tick = context.now;
    if (!healthy || disk_late(context.now)) {
        if (is_owner(context.self) && !licensed(context.self, context.now)) {
            std::erase_if(queued, [&](auto const& item) {
                if (context.now - item.since <= queued_limit) return false;
                context.done.push_back(
                    {item.origin, item.token, 503, error_body("the owner's disk does not answer"), ""});
                return true;
            });
        }
        std::erase_if(waiters, [&](auto const& waiter) {
            if (context.now - waiter.since <= waiter_limit) return false;
            context.done.push_back({waiter.origin, waiter.token, 504, error_body("outcome not known"), ""});
            return true;
        });
        return;
    }
    proposal_tick(context);
    tick_claims(context);
    if (is_owner(context.self)) own_tick(context);
    else if (votes.decided.understudy == context.self && votes.decided.epoch > 0) pair_tick(context);
}

auto Part::proposal_tick(Context& context) -> void {
    if (!proposal) return;
    if (context.now - proposal->started > times.proposal_limit) {
        proposal.reset();
        return;
    }
    if (context.now - proposal->sent > times.resend_interval) send_proposal(context);
}

auto Part::partner_for(Context& context, std::string const& except) const -> std::string {
    std::vector<std::string> same_area;
    std::vector<std::string> other_area;
    std::string own_area;
    auto const cores = context.cores();
    for (auto const& member : cores)
        if (member.identity == context.self) own_area = member.area;
    for (auto const& member : cores) {
        if (member.identity == context.self || member.identity == except) continue;
        (member.area == own_area ? same_area : other_area).push_back(member.identity);
    }
    auto const& list = other_area.empty() ? same_area : other_area;
    return list.empty() ? std::string{} : list[context.random.below(list.size())];
}

// A core node whose disk came back empty has a new identity; it votes only
// once a majority has decided a record that names it (design 5.5).
auto Part::renewed_voters(Context& context) const -> std::vector<std::string> {
    auto voters = votes.decided.voters;
    std::vector<std::string> fresh;
    for (auto const& member : context.cores())
        if (std::find(voters.begin(), voters.end(), member.identity) == voters.end()) fresh.push_back(member.identity);
    for (auto& voter : voters) {
        if (fresh.empty()) break;
        if (context.alive(voter)) continue;
        voter = fresh.back();
        fresh.pop_back();
    }
    auto const most = core_count != 0 ? core_count : votes.decided.voters.size();
    while (voters.size() < most && !fresh.empty()) {
        voters.push_back(fresh.back());
        fresh.pop_back();
    }
    return voters;
}

auto Part::own_tick(Context& context) -> void {
    auto const& record = votes.decided;
    if (context.now - last_ask >= times.renew_interval || last_ask == 0) {
        last_ask = context.now;
        for (auto const& voter : record.voters)
            context.sends.push_back({voter, LicenceAsk{index, record, context.now}});
        context.sends.push_back({record.understudy, Beat{index, record, copy.sequence}});
        if (committed && context.now - last_spare > times.spare_interval) {  // the sweep for old spare copies
            last_spare = context.now;
            for (auto const& member : context.cores())
                if (member.identity != context.self && member.identity != record.understudy)
                    context.sends.push_back({member.identity, Beat{index, record, committed->sequence}});
        }
    }
    auto const has_licence = licensed(context.self, context.now);
    if (has_licence) owner_since = context.now;
    auto const sealed_now = votes.sealed >= record.epoch;
    if (!sealed_now && has_licence && !in_flight) {
        if (copy.sequence.epoch < record.epoch) {
            copy.sequence = Sequence{record.epoch, copy.sequence.number + 1};
            save(context, true, {});
            fly(context);
        } else if (!committed) {
            fly(context);
        }
    }
    if (in_flight && !sealed_now && context.now - flown_at > times.resend_interval) {
        flown_at = context.now;
        sent_flight = false;
        settle(context);
    }
    take_queued(context);
    std::erase_if(waiters, [&](auto const& waiter) {
        if (context.now - waiter.since <= waiter_limit) return false;
        context.done.push_back(
            {waiter.origin, waiter.token, 504,
             error_body("outcome not known; ask again under the same change identity"), ""});
        return true;
    });
    if (proposal ||
        context.now - last_try < times.try_interval + static_cast<Microseconds>(context.random.below(60'000)))
        return;
    auto wanted = record;
    wanted.voters = renewed_voters(context);
    auto const understudy_silent = context.now - understudy_heard;
    auto const understudy_lost = understudy_silent > times.understudy_limit ||
        (understudy_silent > 2 * times.renew_interval && !context.alive(record.understudy));
    auto const unlicensed = context.now - owner_since > times.grantor_term;
    auto const voters_changed = wanted.voters != record.voters && has_licence;
    if (!understudy_lost && !sealed_now && !unlicensed && !voters_changed) return;
    last_try = context.now;
    if (understudy_lost) {
        auto const partner = partner_for(context, record.understudy);
        if (!partner.empty()) wanted.understudy = partner;
    }
    propose(context, wanted);
}

auto Part::pair_tick(Context& context) -> void {
    if (proposal) return;
    auto const silent = context.now - primary_heard;
    if (silent <= times.silence_limit && (silent <= 2 * times.renew_interval || context.alive(votes.decided.primary)))
        return;
    if (context.now - last_try < times.try_interval + static_cast<Microseconds>(context.random.below(60'000))) return;
    last_try = context.now;
    auto wanted = votes.decided;
    wanted.primary = context.self;
    wanted.understudy = partner_for(context, votes.decided.primary);
    if (wanted.understudy.empty()) wanted.understudy = votes.decided.primary;
    wanted.voters = renewed_voters(context);
    propose(context, wanted);
}

// A polite stop: the understudy becomes owner by an ordinary decision. It holds
// all that was acknowledged; its new partner gets the sealed copy (design 5.6).
auto Part::hand_over(Context& context) -> bool {
    if (!is_owner(context.self) || !healthy) return false;
    if (proposal || context.now - last_try < times.try_interval) return true;
    last_try = context.now;
    auto wanted = votes.decided;
    wanted.primary = votes.decided.understudy;
    wanted.understudy = partner_for(context, votes.decided.understudy);
    if (wanted.understudy.empty() || !context.alive(wanted.primary)) return false;
    propose(context, wanted);
    return true;
}

auto Part::on(Context& context, std::string const& from, Beat const& message) -> void {
    learn(context, message.record);
    if (votes.decided != message.record || from != votes.decided.primary || !healthy || disk_late(context.now)) return;
    primary_heard = context.now;
    // A sealed understudy can acknowledge nothing more: silent, so that the
    // owner decides on a new pair.
    if (votes.decided.understudy == context.self && votes.sealed >= votes.decided.epoch) return;
    context.sends.push_back({from, Appended{index, votes.decided.epoch, synced}});
}

auto Part::on(Context& context, std::string const& from, Append const& message) -> void {
    learn(context, message.record);
    if (votes.decided != message.record || from != votes.decided.primary || !healthy) return;
    if (votes.decided.understudy != context.self || votes.sealed >= votes.decided.epoch) return;
    primary_heard = context.now;
    auto const reply = IdentifiedMessage{from, Appended{index, votes.decided.epoch, message.copy.sequence}};
    if (message.copy.sequence > copy.sequence) {
        copy = message.copy;
        save(context, true, {reply});
    } else if (message.copy.sequence <= synced) {
        context.sends.push_back(reply);
    }
}

auto Part::on(Context& context, std::string const& from, Appended const& message) -> void {
    if (!is_owner(context.self) || message.epoch != votes.decided.epoch) return;
    if (from != votes.decided.understudy) {
        if (committed && message.sequence != committed->sequence)
            context.sends.push_back({from, SpareOffer{index, votes.decided, *committed}});
        return;
    }
    understudy_heard = context.now;
    understudy_has = std::max(understudy_has, message.sequence);
    settle(context);
}

auto Part::on(Context& context, std::string const& from, SpareOffer const& message) -> void {
    learn(context, message.record);
    if (votes.decided != message.record || from != votes.decided.primary || !healthy) return;
    if (votes.decided.understudy == context.self || message.copy.sequence == copy.sequence) return;
    copy = message.copy;
    save(context, true, {});
}

}  // namespace dockrock

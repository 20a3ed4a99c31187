// The group: owner and understudies, changes and their outcomes. docs/design.md 5.4 to 5.6.
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
        primary_heard = context.now;  // a frozen node distrusts its own timers
        for (auto& [identity, follower] : followers) follower.heard = context.now;
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
    else if (votes.decided.has_understudy(context.self) && votes.decided.epoch > 0) understudy_tick(context);
}

auto Part::proposal_tick(Context& context) -> void {
    if (!proposal) return;
    if (context.now - proposal->started > times.proposal_limit) {
        proposal.reset();
        return;
    }
    if (proposal->stage == Proposal::Stage::copying && context.now - proposal->copying_since > times.copy_patience)
        pass_over(context);
    if (context.now - proposal->sent > times.resend_interval) send_proposal(context);
}

auto Part::own_tick(Context& context) -> void {
    auto const& record = votes.decided;
    if (context.now - last_ask >= times.renew_interval || last_ask == 0) {
        last_ask = context.now;
        for (auto const& voter : record.voters)
            context.sends.push_back({voter, LicenceAsk{index, record, context.now}});
        for (auto const& understudy : record.understudies)
            context.sends.push_back({understudy, Beat{index, record, copy.sequence}});
        if (committed && context.now - last_spare > times.spare_interval) {  // the sweep for old spare copies
            last_spare = context.now;
            for (auto const& member : context.cores())
                if (!record.has_member(member.identity))
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
    auto const lost = lost_understudies(context);
    auto const too_few = has_licence && record.understudies.size() + 1 < copies();
    if (!lost.empty() || too_few) wanted.understudies = understudies_for(context, record, lost);
    auto const grows = wanted.understudies.size() > record.understudies.size();
    auto const unlicensed = context.now - owner_since > times.grantor_term;
    auto const voters_changed = wanted.voters != record.voters && has_licence;
    if (lost.empty() && !grows && !sealed_now && !unlicensed && !voters_changed) return;
    last_try = context.now;
    propose(context, wanted);
}

// Any understudy may take over. Those named earlier go first, so that ballots
// do not race; one that does not get there holds the others up for a time only.
auto Part::understudy_tick(Context& context) -> void {
    if (proposal) return;
    auto const& understudies = votes.decided.understudies;
    auto const place = std::find(understudies.begin(), understudies.end(), context.self);
    auto const before =
        std::count_if(understudies.begin(), place, [&](auto const& other) { return context.alive(other); });
    auto const silent = context.now - primary_heard - before * times.try_interval;
    if (silent <= times.silence_limit && (silent <= 2 * times.renew_interval || context.alive(votes.decided.primary)))
        return;
    if (rival_tried != 0 && context.now - rival_tried < 2 * times.try_interval &&
        silent < times.silence_limit + times.rival_patience)
        return;
    if (context.now - last_try < times.try_interval + static_cast<Microseconds>(context.random.below(60'000))) return;
    last_try = context.now;
    auto wanted = votes.decided;
    wanted.primary = context.self;
    wanted.understudies.erase(wanted.understudies.begin() + (place - understudies.begin()));
    wanted.understudies.push_back(votes.decided.primary);
    auto lost = std::set<std::string>{votes.decided.primary};
    for (auto const& other : understudies)
        if (!context.alive(other)) lost.insert(other);
    wanted.understudies = understudies_for(context, wanted, lost);
    wanted.voters = renewed_voters(context);
    propose(context, wanted);
}

// A polite stop: an understudy becomes owner by an ordinary decision. It holds
// all that was acknowledged; all of the new group get the sealed copy (design 5.6).
auto Part::hand_over(Context& context) -> bool {
    if (!is_owner(context.self) || !healthy) return false;
    if (proposal || context.now - last_try < times.try_interval) return true;
    last_try = context.now;
    auto wanted = votes.decided;
    auto lost = std::set<std::string>{context.self};
    for (auto const& understudy : votes.decided.understudies)
        if (!context.alive(understudy)) lost.insert(understudy);
    auto& others = wanted.understudies;
    auto const next =
        std::find_if(others.begin(), others.end(), [&](auto const& item) { return !lost.contains(item); });
    if (next == others.end()) return false;
    wanted.primary = *next;
    others.erase(next);
    others = understudies_for(context, wanted, lost);
    auto const living = [&](auto const& item) { return context.alive(item); };
    if (others.size() + 1 < copies() || !std::all_of(others.begin(), others.end(), living)) return false;
    propose(context, wanted);
    return true;
}

auto Part::on(Context& context, std::string const& from, Beat const& message) -> void {
    learn(context, message.record);
    if (votes.decided != message.record || from != votes.decided.primary || !healthy || disk_late(context.now)) return;
    primary_heard = context.now;
    // A sealed understudy can acknowledge nothing more: silent, so that the
    // owner decides on a new group.
    if (votes.decided.has_understudy(context.self) && votes.sealed >= votes.decided.epoch) return;
    context.sends.push_back({from, Appended{index, votes.decided.epoch, synced}});
}

auto Part::on(Context& context, std::string const& from, Append const& message) -> void {
    learn(context, message.record);
    if (votes.decided != message.record || from != votes.decided.primary || !healthy) return;
    if (!votes.decided.has_understudy(context.self) || votes.sealed >= votes.decided.epoch) return;
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
    if (!votes.decided.has_understudy(from)) {
        if (committed && message.sequence != committed->sequence)
            context.sends.push_back({from, SpareOffer{index, votes.decided, *committed}});
        return;
    }
    auto& follower = followers[from];
    follower.heard = context.now;
    follower.has = std::max(follower.has, message.sequence);
    settle(context);
}

auto Part::on(Context& context, std::string const& from, SpareOffer const& message) -> void {
    learn(context, message.record);
    if (votes.decided != message.record || from != votes.decided.primary || !healthy) return;
    if (votes.decided.has_understudy(context.self) || message.copy.sequence == copy.sequence) return;
    if (votes.sealed >= votes.decided.epoch) return;  // the copy it took for the next epoch stays (design 5.8)
    copy = message.copy;
    save(context, true, {});
}

}  // namespace dockrock

#include "consensus/claims.hpp"

#include <charconv>

namespace dockrock {

auto write_claim(std::string const& key, Claim const& claim, Microseconds now) -> std::string {
    return key + " " + claim.ticket + " " + std::to_string(std::max<Microseconds>(0, now - claim.at)) + "\n";
}

auto read_claims(std::string_view text) -> std::vector<ClaimLine> {
    std::vector<ClaimLine> lines;
    while (!text.empty()) {
        auto const line = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(text.size(), line.size() + 1));
        auto const first = line.find(' ');
        auto const second = first == std::string_view::npos ? first : line.find(' ', first + 1);
        if (second == std::string_view::npos) continue;
        auto result =
            ClaimLine{std::string(line.substr(0, first)), std::string(line.substr(first + 1, second - first - 1)), 0};
        auto const age = line.substr(second + 1);
        std::from_chars(age.data(), age.data() + age.size(), result.age);
        if (!result.key.empty() && !result.ticket.empty()) lines.push_back(std::move(result));
    }
    return lines;
}

auto ClaimTable::put(std::string const& key, std::string ticket, Microseconds at, bool synced) -> void {
    held[key] = {std::move(ticket), at, synced};
    order.emplace_back(at, key);
}

// Ages do not include the time that the node was down, so a claim may be kept for longer than the retention but not
// for less.
auto ClaimTable::take(std::vector<ClaimLine> const& lines, Microseconds now, bool synced) -> void {
    for (auto const& line : lines) {
        if (line.age < 0 || line.age > claim_retention) continue;
        put(line.key, line.ticket, now - line.age, synced);
        ++logged;
    }
}

auto ClaimTable::load(std::string_view text, Microseconds now) -> void { take(read_claims(text), now, true); }

auto ClaimTable::expire(Microseconds now) -> void {
    while (!order.empty() && now - order.front().first > claim_retention) {
        auto const [at, key] = order.front();
        order.pop_front();
        if (auto const found = held.find(key); found != held.end() && found->second.at == at) held.erase(found);
    }
}

auto ClaimTable::write_all(Microseconds now, bool only_synced) const -> std::string {
    std::string text;
    for (auto const& [key, claim] : held)
        if (claim.synced || !only_synced) text += write_claim(key, claim, now);
    return text;
}

auto ClaimTable::is_replicated(std::string const& key) const -> bool {
    return !whole_needed && !unsaved.contains(key) && !saving.contains(key) && !to_replicate.contains(key) &&
        !replicating_claims.contains(key);
}

auto ClaimTable::drop_unsaved() -> void {
    for (auto const& key : unsaved) held.erase(key);
    std::erase_if(waiters, [&](auto const& waiter) { return unsaved.contains(waiter.key); });
    unsaved.clear();
}

auto ClaimTable::reset_leader_state() -> void {
    drop_unsaved();
    waiters.clear();
    to_replicate.clear();
    replicating_claims.clear();
    replication_active = false;
    whole_needed = true;
}

}  // namespace dockrock

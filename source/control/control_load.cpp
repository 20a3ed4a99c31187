// Load reports through relays: from nodes to their relay, and between relays.
// docs/design.md section 9.8.
#include "control/control.hpp"

namespace dockrock {

auto Control::nodes_placing() const -> std::int64_t {
    auto count = std::int64_t{membership.self.core ? 0 : 1};
    for (auto const& [identity, entry] : membership.known)
        if (!entry.member.core && entry.member.state == static_cast<int>(MemberState::alive)) ++count;
    return std::max<std::int64_t>(1, count);
}

// With hysteresis, so that single nodes joining and leaving do not toggle it: off below four fifths.
auto Control::update_load_relaying() -> bool {
    auto const from = settings.load_relays_from;
    if (from == 0) return load_choice.relayed = false;
    auto const alive = membership.alive_count();
    load_choice.relayed = load_choice.relayed ? 5 * alive >= 4 * from : alive >= from;
    return load_choice.relayed;
}

auto Control::report_load(
    Microseconds now, std::uint64_t number, std::string body, std::string const& held_of, std::uint64_t held)
    -> ControlOutput {
    ControlOutput output;
    load_reported_at = now;
    auto const cores = membership.alive_members(true);
    auto const* relay = load_choice.choose(membership.self, cores, now);
    if (relay == nullptr) return output;
    auto report = LoadReport{number, held_of == relay->identity ? held : 0, std::move(body)};
    if (relay->identity != membership.self.identity) {
        output.sends.push_back({relay->control_address, std::move(report)});
    } else if (auto sum = load_relay.take(relay->identity, report, now)) {
        load_choice.record_answer(relay->identity, now);
        output.load_sums.emplace_back(relay->identity, std::move(*sum));
    }
    return output;
}

auto Control::share_load(Microseconds now, ControlOutput& output) -> void {
    if (!settings.core) return;
    auto const share = load_relay.tick(now);
    if (!share) return;
    for (auto const& member : membership.alive_members(true))
        if (member.identity != membership.self.identity) output.sends.push_back({member.control_address, *share});
}

}  // namespace dockrock

// Exchange between nodes of the time at which versions of weights became targets. docs/design.md section 11.4.
#include "control/control.hpp"

namespace dockrock {

auto Control::learn_version_times(int partition, Microseconds now) -> void {
    if (partition == configuration_partition || partition == resting_partition) return;
    version_history.learn(views[static_cast<std::size_t>(partition)].copy.document, now);
}

// Requests the ages from another core node and from any node: edge nodes still know them after all core nodes
// restarted.
auto Control::request_version_ages(Microseconds now, ControlOutput& output) -> void {
    if (!settings.core || !version_history.ask_due(now)) return;
    for (auto const core_only : {true, false}) {
        auto others = membership.alive_members(core_only);
        std::erase_if(others, [&](auto const& member) { return member.identity == membership.self.identity; });
        if (others.empty()) continue;
        auto const& other = others[random.below(others.size())];
        output.sends.push_back({other.control_address, VersionAges{true, version_history.ages(now)}});
    }
}

auto Control::take_version_ages(
    Microseconds now, std::string const& address, VersionAges const& ages, ControlOutput& output) -> void {
    if (version_history.take(ages.named, now)) output.snapshot_changed = true;
    if (ages.asks) output.sends.push_back({address, VersionAges{false, version_history.ages(now)}});
}

}  // namespace dockrock

// The live texts of the partitions: the list of replicas, and the leaders' words of them.
// docs/design.md sections 8.4 and 11.
#include "control/control.hpp"

namespace dockrock {

auto Control::wants_list(Microseconds now) const -> bool {
    if (leads(configuration_partition, now)) return now - last_list_read >= times.list_interval;
    if (resting) return false;
    return now - views[configuration_partition].live_at > times.list_fallback && now - last_list_read >= one_second / 2;
}

// A list that was read whole, or the word of a partition's leader. What can't be read
// never reaches this machine, so silence undoes no mark (design 8).
auto Control::live_read(int partition, Microseconds now, Microseconds asked_at, std::string const& text)
    -> ControlOutput {
    ControlOutput output;
    if (partition == configuration_partition) last_list_read = now;
    auto& item = views[static_cast<std::size_t>(partition)];
    if (asked_at <= item.live_at) return output;  // overtaken by a later reading
    item.live_at = asked_at;
    auto const digest = digest_of(text);
    if (digest == item.live_digest) return output;
    item.live = text;
    item.live_digest = digest;
    output.snapshot_changed = true;
    answer_waiting(now, partition, output);
    return output;
}

}  // namespace dockrock

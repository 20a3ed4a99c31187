// The live texts of the partitions: the replica list, and the weights states that the leaders publish.
// They are distributed with the documents. docs/design.md sections 8.4 and 11.
#include "control/control.hpp"

namespace dockrock {

auto Control::list_read_due(Microseconds now) const -> bool {
    if (leads(configuration_partition, now)) return now - last_list_read >= times.list_interval;
    if (resting) return false;
    return now - views[configuration_partition].live_at > times.list_fallback && now - last_list_read >= one_second / 2;
}

// Takes a list that was read completely, or the text of a partition's leader. A failed read
// never gets here, so a missing answer does not reset any state of a replica (design 8).
auto Control::live_read(int partition, Microseconds now, Microseconds asked_at, std::string const& text)
    -> ControlOutput {
    ControlOutput output;
    if (partition == configuration_partition) last_list_read = now;
    auto& item = views[static_cast<std::size_t>(partition)];
    if (asked_at <= item.live_at) return output;  // superseded by a later read
    item.live_at = asked_at;
    auto const digest = digest_of(text);
    if (digest == item.live_digest) return output;
    item.live = text;
    item.live_digest = digest;
    output.snapshot_changed = true;
    answer_held(now, partition, output);
    return output;
}

}  // namespace dockrock

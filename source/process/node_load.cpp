// This node's word of its load, to all others or to its relay. docs/design.md 9.4, 9.8.
#include "process/clock.hpp"
#include "process/log.hpp"
#include "process/node.hpp"

namespace dockrock {

auto Node::tell_load(Microseconds now) -> void {
    auto& burden = table.granting.burden;
    auto const number = static_cast<std::uint64_t>(now);
    if (!burden.relayed) {
        in_control([this, body = burden.make_digest(now), number] {
            act_on(control.digest(body, number, snapshot.load()->resting));
        });
        return;
    }
    in_control([this, now, number, body = burden.make_told(number, now), of = burden.summed.relay,
                held = burden.summed.number] { act_on(control.tell_load(now, number, body, of, held)); });
}

// Where the way changes, an empty last word goes the old one: nothing counts twice.
auto Node::judge_load(Microseconds now) -> void {
    if (control.settings.load_relays_from == 0) return;
    auto const relayed = control.judge_load_relays();
    auto const nodes = control.nodes_placing();
    {
        auto const guard = std::lock_guard(table.lock);
        table.granting.burden.relayed = relayed;
        table.granting.burden.fleet_nodes = nodes;
    }
    if (relayed == load_relayed) return;
    load_relayed = relayed;
    write_log(Level::information, "load-relays", fields("used", relayed, "nodes", nodes));
    auto const number = static_cast<std::uint64_t>(now);
    if (relayed) act_on(control.digest("{}", number, snapshot.load()->resting));
    else act_on(control.tell_load(now, number, write_loads({}), "", 0));
}

}  // namespace dockrock

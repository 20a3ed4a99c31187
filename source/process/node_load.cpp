// Reports this node's load to all other nodes or to its relay. docs/design.md 9.4, 9.8.
#include "process/clock.hpp"
#include "process/log.hpp"
#include "process/node.hpp"

namespace dockrock {

// The caller passes the held table lock; it is released before control work is queued.
auto Node::tell_load(Microseconds now, std::unique_lock<std::mutex> guard) -> void {
    auto& burden = table.granting.burden;
    auto const number = static_cast<std::uint64_t>(now);
    auto const relayed = burden.relayed;
    auto body = relayed ? burden.make_told(number, now) : burden.make_digest(now);
    auto relay = burden.summed.relay;
    auto const held = burden.summed.number;
    guard.unlock();
    in_control([this, now, number, relayed, body = std::move(body), relay = std::move(relay), held] {
        if (relayed) act_on(control.tell_load(now, number, body, relay, held));
        else act_on(control.digest(body, number, snapshot.load()->resting));
    });
}

// When reporting switches between digests and relays, a last empty report goes the old way, so that no load counts
// twice.
auto Node::judge_load(Microseconds now) -> void {
    if (control.settings.load_relays_from == 0) return;
    auto const relayed = control.load_choice.relayed;
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

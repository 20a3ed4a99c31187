// Reports this node's load to all other nodes or to its relay. docs/design.md 9.4, 9.8.
#include "process/clock.hpp"
#include "process/log.hpp"
#include "process/node.hpp"

namespace dockrock {

// The caller passes the held table lock; it is released before control work is queued.
auto Node::report_load(Microseconds now, std::unique_lock<std::mutex> guard) -> void {
    auto& load_table = table.scheduler.load_table;
    auto const number = static_cast<std::uint64_t>(now);
    auto const relayed = load_table.relayed;
    auto body = relayed ? load_table.make_load_report(number, now) : load_table.make_digest(now);
    auto relay = load_table.summed.relay;
    auto const held = load_table.summed.number;
    guard.unlock();
    in_control([this, now, number, relayed, body = std::move(body), relay = std::move(relay), held] {
        if (relayed) apply_output(control.report_load(now, number, body, relay, held));
        else apply_output(control.digest(body, number, snapshot.load()->resting));
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
        table.scheduler.load_table.relayed = relayed;
        table.scheduler.load_table.fleet_nodes = nodes;
    }
    if (relayed == load_relayed) return;
    load_relayed = relayed;
    write_log(Level::information, "load-relays", fields("used", relayed, "nodes", nodes));
    auto const number = static_cast<std::uint64_t>(now);
    if (relayed) apply_output(control.digest("{}", number, snapshot.load()->resting));
    else apply_output(control.report_load(now, number, write_loads({}), "", 0));
}

}  // namespace dockrock

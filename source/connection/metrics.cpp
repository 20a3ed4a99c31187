// A node's metrics in the Prometheus text format. docs/operators.md.
#include "connection/message_reader.hpp"
#include "process/machine_limits.hpp"
#include "process/node.hpp"

namespace dockrock {

namespace {

// Writes the process's limits and usage; limits that are not set are omitted.
auto write_machine(std::string& text, MachineLimits const& limits, ProcessUse const& use) -> void {
    auto const line = [&](char const* name, std::uint64_t value) {
        if (value != no_limit) text += std::string("dockrock_") + name + " " + std::to_string(value) + "\n";
    };
    line("memory_limit_bytes{kind=\"resident\"}", limits.resident);
    line("memory_limit_bytes{kind=\"address_space\"}", limits.address_space);
    line("memory_limit_bytes{kind=\"data\"}", limits.data);
    line("descriptor_limit", limits.descriptors);
    line("memory_bytes{kind=\"resident\"}", use.resident);
    line("memory_bytes{kind=\"resident_peak\"}", use.resident_peak);
    line("memory_bytes{kind=\"address_space\"}", use.address_space);
    line("memory_bytes{kind=\"data\"}", use.data);
    line("threads", use.threads);
    line("descriptors", use.descriptors);
}

}  // namespace

auto Node::metrics_text(Microseconds now) -> std::string {
    std::string text;
    auto const line = [&](std::string const& name, auto value) {
        text += "dockrock_" + name + " " + std::to_string(value) + "\n";
    };
    line("tickets_total", counters.tickets.load());
    line("answered_total", counters.answered.load());
    line("shed_total", counters.shed.load());
    line("unknown_total", counters.unknown.load());
    line("refused_total", counters.refused.load());
    line("broken_total", counters.broken.load());
    line("callers_gone_total", counters.callers_gone.load());
    line("tries_total", counters.tries.load());
    line("did_not_run_total", counters.did_not_run.load());
    line("connect_failures_total", counters.connect_failures.load());
    line("prefix_tokens_total", counters.prefix_tokens.load());
    line("kept_tokens_total", counters.cached_tokens.load());
    line("fetched_tokens_total", counters.fetched_tokens.load());
    line("fetches_total", counters.fetches.load());
    line("claims_granted_total", counters.claims_granted.load());
    line("claims_seen_total", counters.claims_seen.load());
    line("claims_unknown_total", counters.claims_unknown.load());
    line("control_calls_total", counters.calls.load());
    poll_metrics(text);
    line("wakeups_total", counters.wakeups.load());
    line("disk_saves_total", counters.saves.load());
    line("disk_syncs_total", counters.save_batches.load());
    line("messages_sent_total", transport.sent.load());
    line("messages_dropped_total", transport.dropped.load());
    line("messages_received_total", transport.received.load());
    line("messages_malformed_total", transport.malformed.load());
    line("message_reader_faults_total", message_reader_faults().load());
    line("answers_malformed_total", malformed_answers().load());
    line("connections_failed_total", counters.connections_failed.load());
    line("peer_dials_total", transport.dials.load());
    line("peer_redials_total", transport.redials.load());
    line("peer_connections_lost_total", transport.connections_lost->load());
    update_metrics.write(text);
    line("client_connections", client_connections.load());
    if (most_client_connections != no_limit) line("client_connections_limit", most_client_connections);
    line("open_tickets", open_inferences.load());
    line("resting", resting_now ? 1 : 0);
    line("ready", ready(now) ? 1 : 0);
    auto const disk = disk_state(now);
    line("disk_failed", disk == DiskState::failed ? 1 : 0);
    line("disk_out_of_duty", disk == DiskState::none || disk == DiskState::well ? 0 : 1);
    line("disk_failures_total", counters.disk_failures.load());
    line("disk_repairs_total", counters.disk_repairs.load());
    line("proof_age_microseconds", proof_age(now));
    line("losses_borne", loss_tolerance.count.load());
    line("losses_borne_for_microseconds", now - loss_tolerance.since.load());
    latency_metrics.write(text);
    write_machine(text, limits, process_use());
    if (message_memory.limit() != MemoryBudget::unlimited) line("message_memory_limit_bytes", message_memory.limit());
    line("message_memory_bytes", message_memory.used());
    line("message_memory_refusals_total", message_memory.refusals());
    auto const guard = std::lock_guard(table.lock);
    line("waiting_tickets", table.scheduler.waiting_count());
    line("extra_tries_total", table.scheduler.extra_tries);
    for (auto index = std::size_t{0}; index < filter_names.size(); ++index)
        line("filter_total{filter=\"" + std::string(filter_names[index]) + "\"}", table.scheduler.filtered[index]);
    for (auto index = std::size_t{0}; index < shed_names.size(); ++index)
        line(
            "shed_reason_total{reason=\"" + std::string(shed_names[index]) + "\"}", table.scheduler.shed_counts[index]);
    return text;
}

}  // namespace dockrock

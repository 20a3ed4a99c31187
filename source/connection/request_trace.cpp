#include "connection/request_trace.hpp"

#include <algorithm>

#include "process/log.hpp"

namespace dockrock {

auto RequestTrace::output_came(Microseconds now) -> void {
    if (first_at == 0) first_at = now;
    else longest_pause = std::max(longest_pause, now - last_at);
    last_at = now;
}

auto log_request(RequestLifecycle const& lifecycle, Route const& route, RequestTrace const& trace, Microseconds now)
    -> void {
    if (!log_writes(Level::debug)) return;
    auto const& inference = lifecycle.inference;
    auto const& placement = lifecycle.placement;
    auto const since_arrival = [&](Microseconds at) { return at == 0 ? -1 : at - inference.arrived_at; };
    auto line = fields(
        "route", route.name, "service", inference.body.model, "target_microseconds", route.target,
        "pause_limit_microseconds", route.pause_limit, "prompt_tokens",
        inference.prompt_tokens + inference.prefix_tokens, "shared_tokens", shared_prefix_tokens(inference),
        "output_tokens", inference.body.max_tokens);
    line["waited_microseconds"] = trace.waited;
    line["sent_microseconds"] = since_arrival(trace.sent_at);
    line["first_output_microseconds"] = since_arrival(trace.first_at);
    line["longest_pause_microseconds"] = trace.longest_pause;
    line["ended_microseconds"] = since_arrival(now);
    line["tries"] = trace.tries;
    line["failure"] = trace.failure;
    line["outcome"] = trace.outcome;
    line["replica"] = placement.replica;
    line["weights"] = placement.weights;
    line["kept_tokens"] = placement.cached_tokens;
    line["best_kept_tokens"] = placement.best_cached;
    line["moved_tokens"] = placement.fetch.tokens;
    line["tokens_to_read"] = placement.tokens_to_read;
    line["outstanding_tokens"] = placement.outstanding;
    line["running"] = placement.running;
    line["held_by"] = placement.blocking_filter
        ? std::string(filter_names[static_cast<std::size_t>(*placement.blocking_filter)])
        : std::string();
    write_log(Level::debug, "request", std::move(line));
}

}  // namespace dockrock

// One line for each try, at level debug. docs/design.md section 13.
#include "connection/relay_session.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"

namespace dockrock {

namespace {
auto text(boost::beast::string_view from) -> std::string { return {from.data(), from.size()}; }
}  // namespace

// What became of one try, for whoever follows single requests.
auto RelaySession::log_try(
    HttpRequest const& request, RelayVerdict const& judged, Course const& course, RelayAnswer const& answer,
    TryResult const& result, Microseconds sent_at) const -> void {
    if (!logs(Level::debug)) return;
    auto const& ticket = course.ticket;
    auto const& placement = course.placement;
    auto const since = [&](Microseconds at) { return at == 0 ? -1 : (at - ticket.arrived_at) / one_millisecond; };
    write_log(
        Level::debug, "try-ended",
        fields(
            "request", text(request[node.form->headers.request_identity]), "route", judged.route->name, "replica",
            placement.replica, "end", try_end_names[static_cast<std::size_t>(result.end)], "reason", result.reason,
            "try", course.try_number, "sent_after", since(sent_at), "first_after", since(answer.first_at),
            "ended_after", since(clock_now()), "prompt", ticket.prompt_tokens + ticket.prefix_tokens, "kept",
            placement.kept_tokens, "fetch", placement.fetch.tokens, "running", placement.running, "load", answer.load));
}

}  // namespace dockrock

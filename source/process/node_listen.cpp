// Opens the node's listeners. docs/design.md section 13.
#include <thread>

#include "process/clock.hpp"
#include "process/log.hpp"
#include "process/node.hpp"

namespace dockrock {

namespace {

constexpr auto next_try = std::chrono::milliseconds(100);
constexpr auto backlog = 1'024;  // connections waiting to be accepted

}  // namespace

// Retries an address that a former process still holds, for as long as such a process may take to stop.
auto Node::take_addresses() -> leaf::result<void> {
    auto const limit = clock_now() + settings.bounds.stop;
    for (auto logged = false;; logged = true) {
        auto const failure = listen_everywhere();
        if (!failure) return {};
        if (!failure->in_use || clock_now() >= limit) return leaf::new_error(StartFailure{failure->what});
        if (!logged)
            write_log(
                Level::warning, "address-waited-for",
                fields("what", failure->what, "limit_milliseconds", settings.bounds.stop / one_millisecond));
        std::this_thread::sleep_for(next_try);
        context.poll();  // signals
        if (stop_asked) return leaf::new_error(StartCancelled{});
    }
}

// Keeps the listeners that are open already; returns the first failure.
auto Node::listen_everywhere() -> std::optional<ListenFailure> {
    auto const& for_nodes = settings.control_listen.empty() ? settings.control_address : settings.control_listen;
    if (!control_listens)
        if (auto failure = transport.listen(for_nodes)) return failure;
    control_listens = true;
    if (auto failure = listen_at(settings.http_address, acceptor)) return failure;
    auto const& addresses =
        std::to_array({&settings.front_address, &settings.ready_address, &settings.operator_address});
    for (auto door = std::size_t{0}; door < relay_acceptors.size(); ++door)
        if (auto failure = listen_at(*addresses[door], relay_acceptors[door])) return failure;
    return std::nullopt;
}

auto Node::listen_at(std::string const& address, std::unique_ptr<tcp::acceptor>& into) -> std::optional<ListenFailure> {
    if (address.empty() || into) return std::nullopt;
    auto const endpoint = endpoint_of(address);
    boost::system::error_code failure;
    auto fresh = std::make_unique<tcp::acceptor>(context);
    fresh->open(endpoint->protocol(), failure);
    fresh->set_option(tcp::acceptor::reuse_address(true), failure);
    fresh->bind(*endpoint, failure);
    if (!failure) fresh->listen(backlog, failure);
    if (failure)
        return ListenFailure{
            "cannot listen on " + address + ": " + failure.message(),
            failure == asio::error::address_in_use || failure == boost::system::errc::address_not_available};
    into = std::move(fresh);
    return std::nullopt;
}

}  // namespace dockrock

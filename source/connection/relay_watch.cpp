// Detects that a client disconnects during its request. docs/requests.md.
#include <poll.h>

#include "connection/relay_session.hpp"

namespace dockrock {

namespace {

// Whether the peer has closed or reset the connection; detected even behind unread bytes of a pipelined request.
auto has_left(tcp::socket& socket) -> bool {
    auto query = pollfd{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&query, 1, 0) > 0 && (query.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}
constexpr auto recheck_interval = std::chrono::milliseconds(200);

}  // namespace

// Starts watching the client; if it disconnects, `on_gone` ends the run.
auto RelaySession::begin_watch() -> void {
    watch = std::make_shared<ClientWatch>();
    watch->next_check.emplace(client.get_executor());
    wait_for_client_event(watch);
}

auto RelaySession::wait_for_client_event(std::shared_ptr<ClientWatch> state) -> void {
    client.socket().async_wait(tcp::socket::wait_read, [this, state](boost::system::error_code failure) {
        if (!state->active || failure) return;
        if (has_left(client.socket())) {
            state->gone = true;
            if (state->on_gone) state->on_gone();
            return;
        }
        state->next_check->expires_after(recheck_interval);  // unread bytes: a pipelined request
        state->next_check->async_wait([this, state](boost::system::error_code ended) {
            if (state->active && !ended) wait_for_client_event(state);
        });
    });
}

// Checks the socket directly: a busy node may not have processed the disconnect event yet.
auto RelaySession::check_client_left() -> bool {
    watch->gone = watch->gone || has_left(client.socket());
    return watch->gone;
}

auto RelaySession::end_watch() -> void {
    watch->active = false;
    watch->on_gone = nullptr;
    watch->next_check->cancel();
    boost::system::error_code ignored;
    client.socket().cancel(ignored);
}

}  // namespace dockrock

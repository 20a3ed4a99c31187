// Detects that a client disconnects during its request. docs/requests.md.
#include <poll.h>

#include "connection/relay_session.hpp"

namespace dockrock {

namespace {

// Whether the peer has closed or reset the connection; detected even behind unread bytes of a pipelined request.
auto has_left(tcp::socket& socket) -> bool {
    auto asked = pollfd{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&asked, 1, 0) > 0 && (asked.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}
constexpr auto look_again = std::chrono::milliseconds(200);

}  // namespace

// Starts watching the client; if it disconnects, `on_gone` ends the run.
auto RelaySession::begin_watch() -> void {
    watch = std::make_shared<ClientWatch>();
    watch->later.emplace(client.get_executor());
    watch_on(watch);
}

auto RelaySession::watch_on(std::shared_ptr<ClientWatch> state) -> void {
    client.socket().async_wait(tcp::socket::wait_read, [this, state](boost::system::error_code failure) {
        if (!state->active || failure) return;
        if (has_left(client.socket())) {
            state->gone = true;
            if (state->on_gone) state->on_gone();
            return;
        }
        state->later->expires_after(look_again);  // unread bytes: a pipelined request
        state->later->async_wait([this, state](boost::system::error_code ended) {
            if (state->active && !ended) watch_on(state);
        });
    });
}

// Checks the socket directly: a busy node may not have processed the disconnect event yet.
auto RelaySession::look_for_client() -> bool {
    watch->gone = watch->gone || has_left(client.socket());
    return watch->gone;
}

auto RelaySession::end_watch() -> void {
    watch->active = false;
    watch->on_gone = nullptr;
    watch->later->cancel();
    boost::system::error_code ignored;
    client.socket().cancel(ignored);
}

}  // namespace dockrock

// Whether the client of a request under way is still there. docs/requests.md.
#include <poll.h>

#include "connection/relay_session.hpp"

namespace dockrock {

namespace {

// A client that has sent its next request early may still leave behind it.
auto has_left(tcp::socket& socket) -> bool {
    auto asked = pollfd{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&asked, 1, 0) > 0 && (asked.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}
constexpr auto look_again = std::chrono::milliseconds(200);

}  // namespace

// While a request is under way its client may go: the run is then ended.
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
        state->later->expires_after(look_again);  // bytes wait: the next request, early
        state->later->async_wait([this, state](boost::system::error_code ended) {
            if (state->active && !ended) watch_on(state);
        });
    });
}

// A busy node may not have come to the client's end yet.
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

#pragma once
// Lingering close of a connection whose peer may still be sending. An immediate close would reset the connection, and
// the peer might lose the response that was written before.
#include "connection/http_client.hpp"

namespace dockrock {

// Shuts down the sending side, then reads and discards input until the peer closes or a time limit has passed.
auto close_lingering(beast::tcp_stream& stream) -> awaitable<void>;

}  // namespace dockrock

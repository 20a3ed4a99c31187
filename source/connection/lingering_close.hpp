#pragma once
// A connection that ends while its peer may still be sending. Closed at once, it would be reset, and the peer might
// never see the answer that was written before.
#include "connection/http_client.hpp"

namespace dockrock {

// Says that nothing more follows, then reads and drops what comes, until the peer closes or a limit has passed.
auto close_lingering(beast::tcp_stream& stream) -> awaitable<void>;

}  // namespace dockrock

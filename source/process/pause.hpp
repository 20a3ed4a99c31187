#pragma once
// A wait inside a coroutine, on the steady clock.
#include "connection/http_client.hpp"

namespace dockrock {

auto pause(Microseconds length) -> awaitable<void>;

}  // namespace dockrock

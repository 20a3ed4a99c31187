#pragma once
// Header names of a fictitious wire protocol, for tests of heads.
#include "process/wire_protocol.hpp"

namespace dockrock::testing {

inline auto relay_form() -> WireProtocol {
    WireProtocol protocol;
    protocol.headers.request_identity = "Request-Name";
    protocol.headers.key = "Secret";
    protocol.headers.tenant = "Group";
    protocol.headers.deadline = "Left";
    protocol.headers.salt = "Salt";
    protocol.headers.last_event = "After";
    protocol.headers.urgency = "Haste";
    protocol.headers.replica_wanted = "Life";
    protocol.headers.weights_wanted = "Weights";
    protocol.headers.fetch_from = "Fetch";
    protocol.headers.store_at = "Store";
    return protocol;
}

}  // namespace dockrock::testing

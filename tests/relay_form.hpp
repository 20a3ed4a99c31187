#pragma once
// Header names of a fictitious wire protocol, for tests of heads.
#include "process/wire_protocol.hpp"

namespace dockrock::testing {

inline auto relay_form() -> WireProtocol {
    WireProtocol form;
    form.headers.request_identity = "Request-Name";
    form.headers.key = "Secret";
    form.headers.tenant = "Group";
    form.headers.deadline = "Left";
    form.headers.salt = "Salt";
    form.headers.last_event = "After";
    form.headers.urgency = "Haste";
    form.headers.replica_wanted = "Life";
    form.headers.weights_wanted = "Weights";
    form.headers.fetch_from = "Fetch";
    form.headers.store_at = "Store";
    return form;
}

}  // namespace dockrock::testing

#include "connection/peers_status.hpp"

namespace dockrock {

auto write_peers(Transport& transport, Microseconds now) -> json::array {
    json::array peers;
    for (auto const& peer : transport.peers_seen(now))
        peers.push_back(fields(
            "address", peer.address, "connections", peer.connections, "heard_since_dialled", peer.heard,
            "dialled_before_microseconds", peer.dialled_before));
    return peers;
}

}  // namespace dockrock

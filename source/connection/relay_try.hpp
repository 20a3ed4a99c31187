#pragma once
// One try of a relayed request: sent once, its response streamed to the client. docs/platform.md section 5.
#include "connection/relay_session.hpp"
#include "connection/replica_exchange.hpp"

namespace dockrock {

// A try in progress. Its steps record what they observed in `facts`; the outcome and the retry decision are derived
// from those facts alone.
struct RelayTry {
    RelaySession& session;
    HttpRequest const& request;
    Route const& route;
    RequestLifecycle& lifecycle;
    RelayAnswer& answer;
    Node& node;
    ReplicaConnectionPointer connection = {};
    std::optional<ReplicaExchange> exchange = {};
    TryFacts facts = {};
    std::string reason = {};
    Microseconds deadline = 0;                 // of the request itself
    Microseconds begin_by = WorkLimits::none;  // latest time for the replica's first output (WorkLimits)
    bool output_seen = false;

    auto connect() -> awaitable<bool>;
    auto read_head() -> awaitable<bool>;
    auto relay_success() -> awaitable<void>;
    auto relay_pieces(std::string pending) -> awaitable<void>;
    auto read_pieces() -> awaitable<boost::system::error_code>;
    auto read_failure() -> awaitable<void>;
    auto record_output() -> void;
    auto close_when_client_leaves() -> void;
    auto give_back() -> void;
    auto client_left() const -> bool { return session.watch->gone; }
    auto answer_timeout() const -> std::chrono::microseconds;
    auto may_be_recalled() const -> bool { return begin_by < deadline; }
    auto reset_on_close(bool wanted) -> void;
    auto record_recall() -> void;
    auto result() -> TryResult;
};

}  // namespace dockrock

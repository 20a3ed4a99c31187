#pragma once
// One try of a relayed request: sent once, its answer passed on as it comes.
// docs/platform.md section 5.
#include "connection/relay_session.hpp"
#include "connection/replica_exchange.hpp"

namespace dockrock {

// One try under way. Steps report what they saw into `facts`; the end and what
// follows it are derived from them alone.
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
    Microseconds until = 0;                    // the request's own deadline
    Microseconds begin_by = WorkLimits::none;  // the replica's first output is waited for no longer
    bool output_seen = false;

    auto connect() -> awaitable<bool>;
    auto read_head() -> awaitable<bool>;
    auto pass_success() -> awaitable<void>;
    auto pass_pieces(std::string pending) -> awaitable<void>;
    auto read_pieces() -> awaitable<boost::system::error_code>;
    auto take_failure() -> awaitable<void>;
    auto note_output() -> void;
    auto close_when_client_leaves() -> void;
    auto give_back() -> void;
    auto client_left() const -> bool { return session.watch->gone; }
    auto answer_patience() const -> std::chrono::microseconds;
    auto may_be_recalled() const -> bool { return begin_by < until; }
    auto reset_on_close(bool wanted) -> void;
    auto note_recall() -> void;
    auto result() -> TryResult;
};

}  // namespace dockrock

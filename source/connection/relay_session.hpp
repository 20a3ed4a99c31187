#pragma once
// A client connection whose requests are relayed unchanged. docs/platform.md sections 4 and 5. Everything runs on the
// single thread of a relaying node.
#include "base/memory_budget.hpp"
#include "connection/http_message.hpp"
#include "connection/message_parser.hpp"
#include "connection/request_trace.hpp"
#include "connection/session.hpp"
#include "process/wire_protocol.hpp"
#include "request/event_reader.hpp"
#include "request/relayed.hpp"

namespace dockrock {

// Retry-After value of refusals, in seconds.
inline constexpr auto short_retry_after = "0.3";

// Detects that the client disconnects while its request is in progress.
struct ClientWatch {
    bool active = true;
    bool gone = false;
    std::function<void()> on_gone;
    std::optional<asio::steady_timer> next_check;  // polls while pipelined bytes are unread
};

// What the client has received of its answer so far, possibly from several tries.
struct RelayAnswer {
    bool head_sent = false;
    bool chunked = false;
    bool keep = false;  // the client's connection stays open afterwards
    EventReader events;
    std::optional<MemoryReservation> event_room;  // memory of an incomplete event
    std::set<std::string> tried;                  // replicas that this request was sent to
    // A replica's error response, relayed if no further try is possible.
    std::string failure_head;
    std::optional<MemoryReservation> failure_room;
    RequestTrace trace;
};

// A verdict and the state it was derived from. It is valid only for the rules with this sequence, and may refuse a
// request only if the lease proof, read before the rules, was fresh.
struct RelayInterpretation {
    RelayVerdict verdict;
    Sequence rules;
    Microseconds proven = 0;
};

struct RelaySession {
    Node& node;
    beast::tcp_stream client;
    beast::flat_buffer buffer;
    std::shared_ptr<ClientWatch> watch;

    auto serve() -> awaitable<void>;
    auto await_request(RequestLimits const& limits) -> awaitable<bool>;
    auto read_request(RequestLimits const& limits, RequestParser& parser) -> awaitable<boost::system::error_code>;
    auto make_body_buffer(RequestParser& parser) -> void;
    auto answer_read_error(boost::system::error_code failure) -> awaitable<void>;
    auto handle(HttpRequest const& request) -> awaitable<bool>;
    auto interpret_request(HttpRequest const& request, Microseconds arrived_at) const -> RelayInterpretation;
    auto run(HttpRequest const& request, RelayInterpretation interpretation) -> awaitable<bool>;
    auto send_try(
        HttpRequest const& request, RelayVerdict const& judged, RequestLifecycle& lifecycle, RelayAnswer& answer)
        -> awaitable<TryResult>;
    auto follow(
        HttpRequest const& request, RelayInterpretation interpretation, RequestLifecycle& lifecycle,
        RelayAnswer& answer) -> awaitable<bool>;
    auto wait_for_placement(RequestLifecycle& lifecycle) -> awaitable<LifecycleStep>;
    // Answers with an error; with 503 instead if this node's state is too old for this status. Whether the connection
    // can be used further.
    auto refuse(HttpRequest const& request, int status, std::string reason, std::string retry_after = std::string())
        -> awaitable<bool>;
    auto begin_watch() -> void;
    auto wait_for_client_event(std::shared_ptr<ClientWatch> state) -> void;
    auto end_watch() -> void;
    auto check_client_left() -> bool;  // whether it has disconnected; checked right before a request is sent
    auto arrival_of(HttpRequest const& request, Microseconds now) const -> RelayedRequest;
    auto write_all(std::string const& bytes) -> awaitable<bool>;
};

// The request head sent to the replica. Hop-by-hop fields and the fields that the router sets are never taken from the
// client. `last_event`: number of the last event that the client received, -1: none; `time_left`: time until the
// replica must stop working on the request.
auto head_for_replica(
    WireProtocol const& protocol, HttpRequest const& request, RelayVerdict const& judged,
    RequestLifecycle const& lifecycle, std::int64_t last_event, Microseconds time_left) -> std::string;
// The response head sent to the client: without hop-by-hop fields, with the framing and persistence given here.
auto head_for_client(ReceivedAnswer const& from, bool chunked, std::optional<std::uint64_t> length, bool keep)
    -> std::string;
// A header's value; empty if it is absent, or if the wire protocol has no name for it.
auto field_of(HttpRequest const& request, std::string const& name) -> std::string_view;
// The reason why a replica did not run a request, derived from its status.
auto refusal_reason(int status) -> std::string;
// Whether a response with this status to this request has no body.
auto without_body(HttpRequest const& request, int status) -> bool;
auto keeps_connection(HttpRequest const& request) -> bool;

// Readiness endpoint and operator API, each on its own address.
auto serve_ready(Node& node, tcp::socket socket) -> awaitable<void>;
auto serve_operator(Node& node, tcp::socket socket) -> awaitable<void>;

}  // namespace dockrock

#pragma once
// A client's connection whose requests are relayed as they are. docs/platform.md
// sections 4 and 5. All of it runs on the one thread of a relaying node.
#include "base/memory_budget.hpp"
#include "connection/http_message.hpp"
#include "connection/message_parser.hpp"
#include "connection/request_trace.hpp"
#include "connection/session.hpp"
#include "process/wire_protocol.hpp"
#include "request/event_reader.hpp"
#include "request/relayed.hpp"

namespace dockrock {

// How long a client waits before it comes again: seconds, as text.
inline constexpr auto short_retry_after = "0.3";

// Told when the client goes away while its request is under way.
struct ClientWatch {
    bool active = true;
    bool gone = false;
    std::function<void()> on_gone;
    std::optional<asio::steady_timer> later;  // the next look, while bytes of a next request wait
};

// What of an answer has gone out; one request may need several runs for it.
struct RelayAnswer {
    bool head_sent = false;
    bool chunked = false;
    bool keep = false;  // the client's connection can be used further
    EventReader events;
    std::optional<MemoryReservation> event_room;  // of an event that is not whole yet
    std::set<std::string> tried;                  // replicas that this request was sent to
    // A replica's own failure that may be passed on where no other try is left.
    std::string failure_head;
    std::optional<MemoryReservation> failure_room;
    RequestTrace trace;
};

// What a request was judged by: a verdict holds for the rules of that sequence alone, and refuses only under a proof
// that was young before those rules were looked at.
struct RelayJudgement {
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
    auto answer_unread(boost::system::error_code failure) -> awaitable<void>;
    auto handle(HttpRequest const& request) -> awaitable<bool>;
    auto judge(HttpRequest const& request, Microseconds arrived_at) const -> RelayJudgement;
    auto run(HttpRequest const& request, RelayJudgement judgement) -> awaitable<bool>;
    auto send_try(
        HttpRequest const& request, RelayVerdict const& judged, RequestLifecycle& lifecycle, RelayAnswer& answer)
        -> awaitable<TryResult>;
    auto follow(HttpRequest const& request, RelayJudgement judgement, RequestLifecycle& lifecycle, RelayAnswer& answer)
        -> awaitable<bool>;
    auto wait_for_place(RequestLifecycle& lifecycle) -> awaitable<LifecycleStep>;
    auto refuse(HttpRequest const& request, int status, std::string reason, std::string retry_after = std::string())
        -> awaitable<bool>;
    auto begin_watch() -> void;
    auto watch_on(std::shared_ptr<ClientWatch> state) -> void;
    auto end_watch() -> void;
    auto look_for_client() -> bool;  // whether it has left; asked right before a request is sent
    auto arrival_of(HttpRequest const& request, Microseconds now) const -> RelayedRequest;
    auto write_all(std::string const& bytes) -> awaitable<bool>;
};

// The head of a try for its replica: what belongs to one connection, and what
// the fleet sets itself, is never the client's. `time_left`: until the replica is to cease work.
auto head_for_replica(
    WireProtocol const& form, HttpRequest const& request, RelayVerdict const& judged, RequestLifecycle const& lifecycle,
    std::int64_t last_event, Microseconds time_left) -> std::string;
auto head_for_client(ReceivedAnswer const& from, bool chunked, std::optional<std::uint64_t> length, bool keep)
    -> std::string;
// A header's value; empty where it is not there, or has no name on this wire.
auto field_of(HttpRequest const& request, std::string const& name) -> std::string_view;
// Why a replica did not run a request, as it says by its status.
auto refusal_reason(int status) -> std::string;
// Whether an answer of this status to this request has no body.
auto without_body(HttpRequest const& request, int status) -> bool;
auto keeps_connection(HttpRequest const& request) -> bool;

// Readiness and the operator's calls, on addresses of their own.
auto serve_ready(Node& node, tcp::socket socket) -> awaitable<void>;
auto serve_operator(Node& node, tcp::socket socket) -> awaitable<void>;

}  // namespace dockrock

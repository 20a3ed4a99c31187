#pragma once
// One request on one connection to a replica: sends its bytes until a response can be read, and separates its own
// response from responses to other requests. It reports facts; the decisions are made in ticket/retry_decision.hpp.
// docs/requests.md.
#include "connection/message_reader.hpp"
#include "connection/replica_pool.hpp"
#include "ticket/retry_decision.hpp"

namespace dockrock {

// The bytes that one request sends, and how its response is recognized.
struct ExchangeRequest {
    std::string head;
    std::string_view body;
    std::string_view identity_field;  // the header that matches a response to its request
    std::string_view identity;
    bool head_only = false;  // HEAD request: the response has no body, whatever its Content-Length
};

struct ReplicaExchange {
    // Result of reading the head: `malformed` is invalid HTTP, `broke` a closed or reset connection.
    enum class HeadEnd : int { own_answer, timed_out, malformed, broke };
    static constexpr auto header_bytes = std::uint32_t{64U << 10U};
    // Limit for bodies that are read completely: of failures, stored for the client, and of responses to other
    // requests.
    static constexpr auto stored_body_bytes = std::size_t{1U << 20U};

    ReplicaConnection& connection;
    ExchangeRequest request;
    std::size_t written = 0;
    bool write_failed = false;
    std::uint64_t unmatched_answers = 0;  // responses to other requests, read and discarded
    std::optional<AnswerParser> parser;

    ReplicaExchange(ReplicaConnection& given, ExchangeRequest asked) : connection(given), request(std::move(asked)) {}
    // Sends until all bytes are written, input is available, or `until` has passed.
    auto send_more(Microseconds until) -> awaitable<void>;
    // Reads up to the head of the response to this request; `parser` then holds it.
    auto read_own_head(Microseconds until) -> awaitable<HeadEnd>;
    auto request_size() const -> std::size_t { return request.head.size() + request.body.size(); }
    auto bytes_written() const -> BytesWritten;
    // Whether the connection can be reused: the request was sent completely, and its response is complete and has
    // explicit framing.
    auto reusable() const -> bool;

   private:
    auto write_some() -> boost::system::error_code;
    auto read_one_head(Microseconds until) -> awaitable<boost::system::error_code>;
    auto is_own() const -> bool;
    auto skip_unmatched_answer() -> awaitable<bool>;
};

}  // namespace dockrock

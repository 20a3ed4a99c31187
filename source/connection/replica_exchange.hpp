#pragma once
// One request on one connection to a replica: its bytes go out while no answer
// waits, and its own answer is told from answers to other requests. It reports
// facts and decides nothing (ticket/retry_decision.hpp). docs/requests.md.
#include "connection/message_reader.hpp"
#include "connection/replica_pool.hpp"
#include "ticket/retry_decision.hpp"

namespace dockrock {

// What one request puts on the wire.
struct ExchangeRequest {
    std::string head;
    std::string_view body;
    std::string_view identity_field;  // the header by which answers are told apart
    std::string_view identity;
    bool head_only = false;  // its answer has no body, whatever its length says
};

struct ReplicaExchange {
    // What came last: `no_answer` is what breaks off the grammar, `broke` an end or a reset of the connection.
    enum class HeadEnd : int { own_answer, timed_out, no_answer, broke };
    static constexpr auto header_bytes = std::uint32_t{64U << 10U};
    // Bodies that are read whole: of failures, which are kept for the client, and of answers to other requests.
    static constexpr auto stored_body_bytes = std::size_t{1U << 20U};

    ReplicaConnection& connection;
    ExchangeRequest request;
    std::size_t written = 0;
    bool write_failed = false;
    std::uint64_t unmatched_answers = 0;  // answers to other requests, read and dropped
    std::optional<AnswerParser> parser;

    ReplicaExchange(ReplicaConnection& given, ExchangeRequest asked) : connection(given), request(std::move(asked)) {}
    // Sends until all is out, something can be read, or `until` has passed.
    auto send_on(Microseconds until) -> awaitable<void>;
    // The head of this request's own answer; the parser holds it.
    auto read_own_head(Microseconds until) -> awaitable<HeadEnd>;
    auto whole_size() const -> std::size_t { return request.head.size() + request.body.size(); }
    auto bytes_written() const -> BytesWritten;
    // The answer is whole and framed, and the request went out whole: what comes
    // next on this connection belongs to the next request.
    auto reusable() const -> bool;

   private:
    auto write_some() -> boost::system::error_code;
    auto read_one_head(Microseconds until) -> awaitable<boost::system::error_code>;
    auto is_own() const -> bool;
    auto skip_stranger() -> awaitable<bool>;
};

}  // namespace dockrock

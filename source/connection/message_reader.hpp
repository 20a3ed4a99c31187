#pragma once
// The only reader of HTTP messages: requests from clients, operators and the platform, responses from replicas and
// other back ends. Any input yields a message or an error code: an exception or failed assertion inside Beast is turned
// into an error, logged, and counted in `message_reader_faults`.
#include <atomic>

#include "connection/http_client.hpp"
#include "connection/message_parser.hpp"

namespace dockrock {

// Maximum size of a chunk header or of the trailers, in bytes: they are buffered until complete.
inline constexpr auto chunk_framing_limit = std::size_t{16U << 10U};

inline constexpr auto max_interim_answers = 100;  // before a final response

// Clamps a configured head limit to the range that Beast accepts.
auto head_limit(std::int64_t bytes) -> std::uint32_t;

// Number of exceptions and failed assertions inside Beast caused by input, since the process started.
auto message_reader_faults() -> std::atomic<std::uint64_t>&;

// Number of responses that were malformed or exceeded a limit, since the process started.
auto malformed_answers() -> std::atomic<std::uint64_t>&;

// Reads until the head is complete; bytes after it stay in `buffer`. Errors: those of the stream and of Beast
// (http::error), end_of_stream if nothing arrived, not_enough_memory if the memory for the message is not available,
// protocol_error if Beast threw anything else.
template <typename Stream, bool is_request>
auto read_head(Stream& stream, beast::flat_buffer& buffer, MessageParser<is_request>& parser)
    -> awaitable<boost::system::error_code>;

// Reads the head of the final response, discarding interim ones; http::error::header_limit beyond
// `max_interim_answers`. `parser` is recreated for each head, with `body_limit` for the response body.
auto read_final_head(
    beast::tcp_stream& stream, beast::flat_buffer& buffer, std::optional<AnswerParser>& parser,
    boost::optional<std::uint64_t> body_limit) -> awaitable<boost::system::error_code>;

// Reads until more of the body has arrived, or its end. The caller takes and clears the stored bytes.
template <typename Stream, bool is_request>
auto read_some(Stream& stream, beast::flat_buffer& buffer, MessageParser<is_request>& parser)
    -> awaitable<boost::system::error_code>;

// Reads until the message is complete, within the limits set on `parser`.
template <typename Stream, bool is_request>
auto read_whole(Stream& stream, beast::flat_buffer& buffer, MessageParser<is_request>& parser)
    -> awaitable<boost::system::error_code>;

// Shrinks the buffer, after a request was read, to the bytes that follow the request.
auto release_buffer(beast::flat_buffer& buffer, RequestParser& parser) -> void;

// Whether an error means an invalid message rather than a broken connection, so that its sender can still be answered.
auto is_malformed(boost::system::error_code const& failure) -> bool;

}  // namespace dockrock

#pragma once
// The one reader of HTTP messages: requests of clients, operators and the platform, answers of replicas and other
// back ends. Whatever a peer sends, it gets a message or an error code: an exception or a failed assertion of the
// library ends with an error too, is logged, and is counted in `message_reader_faults`.
#include <atomic>

#include "connection/http_client.hpp"
#include "connection/message_parser.hpp"

namespace dockrock {

// Bytes of a chunk's header, or of trailers, that are held until they are whole.
inline constexpr auto chunk_framing_limit = std::size_t{16U << 10U};

inline constexpr auto most_interim_answers = 100;  // before one answer

// A configured limit for heads, as the library takes it.
auto head_limit(std::int64_t bytes) -> std::uint32_t;

// Exceptions and assertions of the library that were met in the input since the start.
auto message_reader_faults() -> std::atomic<std::uint64_t>&;

// Answers since the start that were none: malformed, or beyond a limit.
auto malformed_answers() -> std::atomic<std::uint64_t>&;

// Reads until the head is whole; what came behind it stays in `buffer`. Errors: those of the stream, of the library
// (http::error), end_of_stream where nothing came; not_enough_memory or protocol_error for what the library threw.
template <typename Stream, bool is_request>
auto read_head(Stream& stream, beast::flat_buffer& buffer, MessageParser<is_request>& parser)
    -> awaitable<boost::system::error_code>;

// Reads the heads of interim answers and drops them, then the head behind them; http::error::header_limit beyond
// `most_interim_answers`. `parser` is made anew for each, with this limit for the body of the answer.
auto read_final_head(
    beast::tcp_stream& stream, beast::flat_buffer& buffer, std::optional<AnswerParser>& parser,
    boost::optional<std::uint64_t> body_limit) -> awaitable<boost::system::error_code>;

// Reads until more of the body has come, or its end. The body is the caller's to take and clear.
template <typename Stream, bool is_request>
auto read_some(Stream& stream, beast::flat_buffer& buffer, MessageParser<is_request>& parser)
    -> awaitable<boost::system::error_code>;

// Reads until the message is whole, within the limits that `parser` was given.
template <typename Stream, bool is_request>
auto read_whole(Stream& stream, beast::flat_buffer& buffer, MessageParser<is_request>& parser)
    -> awaitable<boost::system::error_code>;

// After a request was read: the buffer keeps what came behind it, in no more room than that takes.
auto release_buffer(beast::flat_buffer& buffer, RequestParser& parser) -> void;

// Whether an error is one of the message, not of its connection: its sender may be told so.
auto is_malformed(boost::system::error_code const& failure) -> bool;

}  // namespace dockrock

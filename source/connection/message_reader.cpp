#include "connection/message_reader.hpp"

#include <limits>

#include "base/input_scope.hpp"
#include "process/log.hpp"

namespace dockrock {

namespace {

using boost::system::error_code;

enum class Goal : int { head, some, whole };

constexpr auto max_read_size = std::size_t{64U << 10U};
// `0 CR LF CR LF`. When it parses the first chunk header, Beast asserts that this many bytes are buffered, although
// fewer may have arrived.
constexpr auto min_chunked_body = std::size_t{5};

auto report_library_fault(char const* what) -> void {
    ++message_reader_faults();
    write_log(Level::failure, "message-reader-fault", {{"what", what}});
}

template <bool is_request>
auto report_malformed(error_code const& failure) -> void {
    if (is_request || !is_malformed(failure)) return;
    ++malformed_answers();
    write_log(Level::debug, "answer-malformed", {{"what", failure.message()}});
}

auto not_enough_memory_error() -> error_code { return make_error_code(boost::system::errc::not_enough_memory); }

// Runs a Beast operation on input. An exception (out of memory, or a failed assertion) becomes the error code of this
// message.
template <typename Operation>
auto on_input(error_code& failure, Operation operation) -> void {
    try {
        auto const scope = InputScope();
        operation();
    } catch (std::bad_alloc const& thrown) {
        report_library_fault(thrown.what());
        failure = not_enough_memory_error();
    } catch (std::exception const& thrown) {
        report_library_fault(thrown.what());
        failure = make_error_code(boost::system::errc::protocol_error);
    }
}

// Parses the buffered bytes; returns how many were consumed.
template <bool is_request>
auto parse(beast::flat_buffer& buffer, MessageParser<is_request>& parser, error_code& failure) -> std::size_t {
    auto used = std::size_t{0};
    on_input(failure, [&] { used = parser.put(buffer.data(), failure); });
    buffer.consume(used);
    return used;
}

template <bool is_request>
auto parse_end(MessageParser<is_request>& parser) -> error_code {
    if (!parser.got_some()) return http::error::end_of_stream;
    auto failure = error_code();
    on_input(failure, [&] { parser.put_eof(failure); });
    return failure;
}

template <bool is_request>
auto can_parse(beast::flat_buffer const& buffer, MessageParser<is_request> const& parser) -> bool {
    auto const least = parser.awaits_first_chunk() ? min_chunked_body : std::size_t{1};
    return buffer.size() >= least;
}

template <bool is_request>
auto reached(Goal goal, MessageParser<is_request> const& parser, std::size_t used) -> bool {
    if (parser.is_done()) return true;
    if (goal == Goal::head) return parser.is_header_done();
    return goal == Goal::some && used > 0;
}

// The buffer's capacity after preparing `more` bytes: flat_buffer grows to twice its size, or to what is needed.
auto capacity_with(beast::flat_buffer const& buffer, std::size_t more) -> std::size_t {
    auto const least = buffer.size() + more;
    return least <= buffer.capacity() ? buffer.capacity() : std::max(2 * buffer.size(), least);
}

template <typename Stream, bool is_request>
auto read_until(Goal goal, Stream& stream, beast::flat_buffer& buffer, MessageParser<is_request>& parser)
    -> awaitable<error_code> {
    parser.eager(goal != Goal::head);
    if (!parser.hold_buffer(buffer.capacity())) co_return not_enough_memory_error();
    if (goal != Goal::some && reached(goal, parser, 0)) co_return error_code();
    while (true) {
        if (can_parse(buffer, parser)) {
            auto failure = error_code();
            auto const used = parse(buffer, parser, failure);
            if (failure && failure != http::error::need_more) {
                report_malformed<is_request>(failure);
                co_return failure;
            }
            if (reached(goal, parser, used)) co_return error_code();
            if (used > 0 && !failure) continue;
        }
        if (parser.is_header_done() && buffer.size() > chunk_framing_limit) co_return http::error::bad_chunk;
        auto const wanted = beast::read_size(buffer, max_read_size);
        if (!parser.hold_buffer(capacity_with(buffer, wanted))) co_return not_enough_memory_error();
        auto const room = buffer.prepare(wanted);
        auto const [failure, size] = co_await stream.async_read_some(room, use_tuple);
        if (failure == asio::error::eof) co_return parse_end(parser);
        if (failure) co_return failure;
        buffer.commit(size);
    }
}

}  // namespace

auto head_limit(std::int64_t bytes) -> std::uint32_t {
    constexpr auto most = std::int64_t{std::numeric_limits<std::uint32_t>::max()};
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(bytes, 1, most));
}

auto message_reader_faults() -> std::atomic<std::uint64_t>& {
    static auto count = std::atomic<std::uint64_t>(0);
    return count;
}

auto malformed_answers() -> std::atomic<std::uint64_t>& {
    static auto count = std::atomic<std::uint64_t>(0);
    return count;
}

template <typename Stream, bool is_request>
auto read_head(Stream& stream, beast::flat_buffer& buffer, MessageParser<is_request>& parser) -> awaitable<error_code> {
    co_return co_await read_until(Goal::head, stream, buffer, parser);
}

auto read_final_head(
    beast::tcp_stream& stream, beast::flat_buffer& buffer, std::optional<AnswerParser>& parser,
    boost::optional<std::uint64_t> body_limit) -> awaitable<error_code> {
    for (auto count = 0; count <= max_interim_answers; ++count) {
        parser.emplace();
        parser->body_limit(body_limit);
        if (auto const failure = co_await read_head(stream, buffer, *parser); failure) co_return failure;
        if (!is_interim(parser->get().status)) co_return error_code();
    }
    co_return http::error::header_limit;
}

template <typename Stream, bool is_request>
auto read_some(Stream& stream, beast::flat_buffer& buffer, MessageParser<is_request>& parser) -> awaitable<error_code> {
    co_return co_await read_until(Goal::some, stream, buffer, parser);
}

template <typename Stream, bool is_request>
auto read_whole(Stream& stream, beast::flat_buffer& buffer, MessageParser<is_request>& parser)
    -> awaitable<error_code> {
    co_return co_await read_until(Goal::whole, stream, buffer, parser);
}

auto release_buffer(beast::flat_buffer& buffer, RequestParser& parser) -> void {
    buffer.shrink_to_fit();
    parser.shrink_buffer(buffer.capacity());
}

auto is_malformed(error_code const& failure) -> bool {
    if (failure == boost::system::errc::protocol_error) return true;
    return failure.category() == http::make_error_code(http::error::bad_method).category() &&
        failure != http::error::end_of_stream && failure != http::error::partial_message;
}

template auto read_head(beast::tcp_stream&, beast::flat_buffer&, RequestParser&) -> awaitable<error_code>;
template auto read_head(beast::tcp_stream&, beast::flat_buffer&, AnswerParser&) -> awaitable<error_code>;
template auto read_some(beast::tcp_stream&, beast::flat_buffer&, AnswerParser&) -> awaitable<error_code>;
template auto read_whole(beast::tcp_stream&, beast::flat_buffer&, RequestParser&) -> awaitable<error_code>;
template auto read_whole(beast::tcp_stream&, beast::flat_buffer&, AnswerParser&) -> awaitable<error_code>;
template auto read_whole(tcp::socket&, beast::flat_buffer&, RequestParser&) -> awaitable<error_code>;

}  // namespace dockrock

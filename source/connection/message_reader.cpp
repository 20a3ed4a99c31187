#include "connection/message_reader.hpp"

#include "process/log.hpp"

namespace dockrock {

namespace {

using boost::system::error_code;

enum class Goal : int { head, some, whole };

constexpr auto most_read_at_once = std::size_t{64U << 10U};

auto note_fault(char const* what) -> void {
    ++message_reader_faults();
    write_log(Level::failure, "message-reader-fault", {{"what", what}});
}

// Calls the library on input. What it throws, as for want of room, is an error of this message.
template <typename Operation>
auto on_input(error_code& failure, Operation operation) -> void {
    try {
        operation();
    } catch (std::bad_alloc const& thrown) {
        note_fault(thrown.what());
        failure = make_error_code(boost::system::errc::not_enough_memory);
    } catch (std::exception const& thrown) {
        note_fault(thrown.what());
        failure = make_error_code(boost::system::errc::protocol_error);
    }
}

// Parses what is buffered; how many bytes were used.
auto parse(beast::flat_buffer& buffer, AnswerParser& parser, error_code& failure) -> std::size_t {
    auto used = std::size_t{0};
    on_input(failure, [&] { used = parser.put(buffer.data(), failure); });
    buffer.consume(used);
    return used;
}

auto parse_end(AnswerParser& parser) -> error_code {
    if (!parser.got_some()) return http::error::end_of_stream;
    auto failure = error_code();
    on_input(failure, [&] { parser.put_eof(failure); });
    return failure;
}

auto reached(Goal goal, AnswerParser const& parser, std::size_t used) -> bool {
    if (parser.is_done()) return true;
    if (goal == Goal::head) return parser.is_header_done();
    return goal == Goal::some && used > 0;
}

auto read_until(Goal goal, beast::tcp_stream& stream, beast::flat_buffer& buffer, AnswerParser& parser)
    -> awaitable<error_code> {
    parser.eager(goal != Goal::head);
    while (!reached(goal, parser, 0)) {
        if (buffer.size() > 0) {
            auto failure = error_code();
            auto const used = parse(buffer, parser, failure);
            if (failure && failure != http::error::need_more) co_return failure;
            if (reached(goal, parser, used)) break;
            if (used > 0 && !failure) continue;
        }
        if (parser.is_header_done() && buffer.size() > chunk_framing_limit) co_return http::error::bad_chunk;
        auto const room = buffer.prepare(beast::read_size(buffer, most_read_at_once));
        auto const [failure, size] = co_await stream.async_read_some(room, use_tuple);
        if (failure == asio::error::eof) co_return parse_end(parser);
        if (failure) co_return failure;
        buffer.commit(size);
    }
    co_return error_code();
}

}  // namespace

auto message_reader_faults() -> std::atomic<std::uint64_t>& {
    static auto count = std::atomic<std::uint64_t>(0);
    return count;
}

auto read_head(beast::tcp_stream& stream, beast::flat_buffer& buffer, AnswerParser& parser) -> awaitable<error_code> {
    co_return co_await read_until(Goal::head, stream, buffer, parser);
}

auto read_some(beast::tcp_stream& stream, beast::flat_buffer& buffer, AnswerParser& parser) -> awaitable<error_code> {
    co_return co_await read_until(Goal::some, stream, buffer, parser);
}

auto read_whole(beast::tcp_stream& stream, beast::flat_buffer& buffer, AnswerParser& parser) -> awaitable<error_code> {
    co_return co_await read_until(Goal::whole, stream, buffer, parser);
}

}  // namespace dockrock

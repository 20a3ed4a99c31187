#pragma once
// Beast's HTTP/1.1 parser, storing into the messages of connection/http_message.hpp. It allocates no memory for a body
// before its bytes arrive, and drops trailers: merged into the head they would be taken for fields that were checked
// (RFC 9110, 6.5.1). Input that Beast accepts and HTTP/1.1 forbids is an error (connection/message_grammar.hpp), so
// that no reader sees it as a message.
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <algorithm>
#include <limits>
#include <type_traits>
#include <utility>

#include "base/memory_budget.hpp"
#include "connection/http_message.hpp"
#include "connection/message_grammar.hpp"

namespace dockrock {

// Beast's parser can be extended only by inheritance, hence the exception from the rule in scripts/check_files.py.
template <bool is_request>
class MessageParser final : public http::basic_parser<is_request> {
   public:
    using Message = std::conditional_t<is_request, HttpRequest, ReceivedAnswer>;

    auto get() -> Message& { return message; }
    auto get() const -> Message const& { return message; }
    auto release() -> Message { return std::move(message); }
    // Maximum size of the start line and all fields together, in bytes; http::error::header_limit beyond. Beast's own
    // limit applies only to what it parses in one call.
    auto limit_head(std::uint32_t bytes) -> void {
        this->header_limit(bytes);
        max_head_bytes = bytes;
    }
    // Maximum number of body bytes stored at a time; http::error::body_limit beyond.
    auto limit_stored_body(std::size_t bytes) -> void { max_stored_bytes = bytes; }
    // Charges this message's memory to `share`: its head, its body and the buffer it is read into. Parsing fails with
    // errc::not_enough_memory when the share cannot grow.
    auto count_in(MemoryReservation& share) -> void { room = &share; }
    // Reserves memory for a read buffer of `bytes`; false if the share cannot grow.
    auto hold_buffer(std::size_t bytes) -> bool {
        if (bytes <= buffer_bytes) return true;
        if (!has_room(bytes, head_bytes, body().capacity())) return false;
        buffer_bytes = bytes;
        return true;
    }
    // Releases the memory of the read buffer beyond `bytes`.
    auto shrink_buffer(std::size_t bytes) -> void {
        buffer_bytes = bytes;
        if (room != nullptr) room->shrink_to(buffer_bytes + head_bytes + body().capacity());
    }
    // Whether the head of a chunked message has been read, and nothing of its body.
    auto awaits_first_chunk() const -> bool {
        return this->is_header_done() && this->chunked() && !chunk_seen && !this->is_done();
    }

   private:
    using View = boost::beast::string_view;
    using ErrorCode = boost::system::error_code;

    static constexpr auto field_framing = std::size_t{4};  // colon, space, CR, LF
    static constexpr auto default_head_limit = std::size_t{16U << 10U};

    Message message;
    std::size_t received_head_bytes = 0;
    std::size_t max_head_bytes = default_head_limit;
    std::size_t max_stored_bytes = std::numeric_limits<std::size_t>::max();
    MemoryReservation* room = nullptr;
    std::size_t buffer_bytes = 0;
    std::size_t head_bytes = 0;  // as stored
    bool chunk_seen = false;

    static auto view(View from) -> std::string_view { return {from.data(), from.size()}; }

    auto body() -> std::string& {
        if constexpr (is_request) return message.body();
        else return message.body;
    }

    auto version() const -> unsigned {
        if constexpr (is_request) return message.version();
        else return message.version;
    }

    auto has_room(std::size_t buffer, std::size_t head, std::size_t body_room) -> bool {
        return room == nullptr || room->grow_to(buffer + head + body_room);
    }

    auto count_head(std::size_t bytes, ErrorCode& failure) -> void {
        received_head_bytes += bytes;
        failure = received_head_bytes > max_head_bytes ? ErrorCode(http::error::header_limit) : ErrorCode();
    }

    // A field costs its text and two HeadField objects: reallocating the lines holds the old and the new at once.
    auto count_field(std::size_t bytes, ErrorCode& failure) -> void {
        auto const stored = head_bytes + bytes + 2 * sizeof(HeadField);
        if (has_room(buffer_bytes, stored, body().capacity())) head_bytes = stored;
        else failure = make_error_code(boost::system::errc::not_enough_memory);
    }

    // Grows by doubling as bytes arrive, up to the Content-Length; a large Content-Length alone allocates nothing.
    auto capacity_for(std::size_t size) -> std::size_t {
        auto const doubled = std::max(size, 2 * body().capacity());
        auto const left = this->is_header_done() ? this->content_length_remaining() : boost::none;
        if (!left || *left > doubled - body().size()) return doubled;
        return std::max<std::size_t>(size, body().size() + static_cast<std::size_t>(*left));
    }

    auto make_room(std::size_t size) -> bool {
        if (size <= body().capacity()) return true;
        auto const capacity = capacity_for(size);
        if (!has_room(buffer_bytes, head_bytes, capacity)) return false;
        auto larger = std::string();
        larger.reserve(capacity);  // in a new string: growing an existing one may allocate twice as much
        larger.append(body());
        body().swap(larger);
        return true;
    }

    auto store(View piece, ErrorCode& failure) -> std::size_t {
        failure = {};
        if (piece.size() > max_stored_bytes - body().size()) failure = http::error::body_limit;
        else if (!make_room(body().size() + piece.size()))
            failure = make_error_code(boost::system::errc::not_enough_memory);
        if (failure) return 0;
        body().append(piece.data(), piece.size());
        return piece.size();
    }

    auto on_request_impl(http::verb method, View text, View target, int version, ErrorCode& failure) -> void override {
        count_head(text.size() + target.size(), failure);
        if constexpr (is_request) {
            message.set_method(method, view(text));
            message.set_target(view(target), static_cast<unsigned>(version));
        }
    }

    auto on_response_impl(int status, View reason, int version, ErrorCode& failure) -> void override {
        count_head(reason.size(), failure);
        if (!is_answer_status(status)) failure = http::error::bad_status;
        if constexpr (!is_request) {
            message.version = static_cast<unsigned>(version);
            message.status = status;
            message.reason = view(reason);
        }
    }

    auto on_field_impl(http::field, View name, View value, ErrorCode& failure) -> void override {
        failure = {};
        if (this->is_header_done()) return;
        count_head(name.size() + value.size() + field_framing, failure);
        if (!failure) count_field(name.size() + value.size(), failure);
        if (!failure) message.fields.add(view(name), view(value));
    }

    auto on_header_impl(ErrorCode& failure) -> void override {
        failure = {};
        if (!has_known_coding(message.fields, version())) failure = http::error::bad_transfer_encoding;
        if constexpr (is_request) message.keep_alive(this->keep_alive());
        else message.keep_alive = this->keep_alive();
    }

    auto on_body_init_impl(boost::optional<std::uint64_t> const&, ErrorCode& failure) -> void override { failure = {}; }

    auto on_body_impl(View piece, ErrorCode& failure) -> std::size_t override { return store(piece, failure); }

    auto on_chunk_header_impl(std::uint64_t, View, ErrorCode& failure) -> void override {
        failure = {};
        chunk_seen = true;
    }

    auto on_chunk_body_impl(std::uint64_t, View piece, ErrorCode& failure) -> std::size_t override {
        return store(piece, failure);
    }

    auto on_finish_impl(ErrorCode& failure) -> void override { failure = {}; }
};

using RequestParser = MessageParser<true>;
using AnswerParser = MessageParser<false>;

}  // namespace dockrock

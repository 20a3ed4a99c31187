#pragma once
// The library's parser of HTTP/1.1 answers, storing into a message of our own (connection/http_message.hpp). It makes
// no room for a body before its bytes have come, and trailers are dropped: merged into the head they would pass for
// fields that were judged (RFC 9110, 6.5.1).
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>
#include <utility>

#include "connection/http_message.hpp"

namespace dockrock {

// The library is extended by deriving from its parser; there is no other way (scripts/check_files.py).
class AnswerParser final : public http::basic_parser<false> {
   public:
    auto get() -> ReceivedAnswer& { return message; }
    auto get() const -> ReceivedAnswer const& { return message; }
    // The most bytes of a body that are stored at once; http::error::body_limit beyond.
    auto limit_stored_body(std::size_t bytes) -> void { most_stored = bytes; }

   private:
    using View = boost::beast::string_view;
    using ErrorCode = boost::system::error_code;

    ReceivedAnswer message;
    std::size_t most_stored = std::numeric_limits<std::size_t>::max();

    static auto view(View from) -> std::string_view { return {from.data(), from.size()}; }

    auto store(View piece, ErrorCode& failure) -> std::size_t {
        failure = {};
        if (piece.size() > most_stored - message.body.size()) {
            failure = http::error::body_limit;
            return 0;
        }
        message.body.append(piece.data(), piece.size());
        return piece.size();
    }

    auto on_request_impl(http::verb, View, View, int, ErrorCode& failure) -> void override { failure = {}; }

    auto on_response_impl(int status, View reason, int, ErrorCode& failure) -> void override {
        failure = {};
        message.status = status;
        message.reason = view(reason);
    }

    auto on_field_impl(http::field, View name, View value, ErrorCode& failure) -> void override {
        failure = {};
        if (!is_header_done()) message.fields.add(view(name), view(value));
    }

    auto on_header_impl(ErrorCode& failure) -> void override {
        failure = {};
        message.keep_alive = keep_alive();
    }

    auto on_body_init_impl(boost::optional<std::uint64_t> const&, ErrorCode& failure) -> void override { failure = {}; }

    auto on_body_impl(View piece, ErrorCode& failure) -> std::size_t override { return store(piece, failure); }

    auto on_chunk_header_impl(std::uint64_t, View, ErrorCode& failure) -> void override { failure = {}; }

    auto on_chunk_body_impl(std::uint64_t, View piece, ErrorCode& failure) -> std::size_t override {
        return store(piece, failure);
    }

    auto on_finish_impl(ErrorCode& failure) -> void override { failure = {}; }
};

}  // namespace dockrock

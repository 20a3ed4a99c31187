#pragma once
// HTTP/1.1 rules that Beast's parser does not check. docs/requests.md section 3.
#include <boost/beast/core/string.hpp>

#include "connection/http_message.hpp"

namespace dockrock {

// RFC 9110, 15: a status outside of the five classes is invalid.
inline constexpr auto min_status = 100;
inline constexpr auto max_status = 599;
constexpr auto is_answer_status(int status) -> bool { return status >= min_status && status <= max_status; }

// RFC 9110, 15.2: an interim response; the final one follows.
constexpr auto is_interim(int status) -> bool { return status / 100 == 1; }

// RFC 9110, 8.6: responses that never have a body must not have a Content-Length.
constexpr auto has_length(int status) -> bool { return !is_interim(status) && status != 204; }

// Accepts no transfer coding, or `chunked` alone. RFC 9112, 6.1 and 6.3: with any other coding the end of the body is
// unknown; if `chunked` is applied last, the body itself is unreadable to the recipient of a relayed message, because
// transfer codings apply to one connection and are not forwarded. HTTP/1.0 has no transfer codings.
inline auto has_known_coding(HeadFields const& fields, unsigned version) -> bool {
    auto const name = name_of(http::field::transfer_encoding);
    auto const codings = fields.count(name);
    if (codings == 0) return true;
    return codings == 1 && version > 10 && boost::beast::iequals(fields.value_of(name), "chunked");
}

}  // namespace dockrock

#pragma once
// What HTTP/1.1 asks of a message beyond what the library's parser checks. docs/requests.md section 3.
#include <boost/beast/core/string.hpp>

#include "connection/http_message.hpp"

namespace dockrock {

// RFC 9110, 15: a status outside of these five classes is invalid.
inline constexpr auto least_status = 100;
inline constexpr auto greatest_status = 599;
constexpr auto is_answer_status(int status) -> bool { return status >= least_status && status <= greatest_status; }

// RFC 9110, 15.2: the answer itself is still to come.
constexpr auto is_interim(int status) -> bool { return status / 100 == 1; }

// RFC 9110, 8.6: a head that ends its answer whatever it says tells no length.
constexpr auto has_length(int status) -> bool { return !is_interim(status) && status != 204; }

// RFC 9112, 6.1 and 6.3: by another transfer coding than chunked nobody can tell where the body ends, nor, where it is
// chunked last, what the body is: the coding is this connection's own and is not passed on. HTTP/1.0 has none.
inline auto has_known_coding(HeadFields const& fields, unsigned version) -> bool {
    auto const name = name_of(http::field::transfer_encoding);
    auto const codings = fields.count(name);
    if (codings == 0) return true;
    return codings == 1 && version > 10 && boost::beast::iequals(fields.value_of(name), "chunked");
}

}  // namespace dockrock

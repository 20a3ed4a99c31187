#pragma once
// Chunked transfer coding for bodies of unknown length (RFC 9112, section 7.1).
#include <array>
#include <charconv>
#include <string>

namespace dockrock {

// Encodes `bytes` as one chunk; empty input writes none, since an empty chunk would end the body. `last` appends the
// terminating chunk.
inline auto chunk_of(std::string const& bytes, bool last) -> std::string {
    std::string text;
    if (!bytes.empty()) {
        auto size = std::array<char, 16>{};
        auto const end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
        text.reserve(bytes.size() + 32);
        text.append(size.data(), end).append("\r\n").append(bytes).append("\r\n");
    }
    if (last) text.append("0\r\n\r\n");
    return text;
}

}  // namespace dockrock

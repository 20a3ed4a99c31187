#pragma once
// Differences between two texts, as edits in the order of their places.
// Shared by news, copies of a group and the disk. docs/design.md 5.4 and 8.2.1.
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/json_structs.hpp"

namespace dockrock {

// From where the edit before it ended: bytes kept, bytes dropped, and the text put in their place.
struct TextEdit {
    std::uint64_t kept = 0;
    std::uint64_t dropped = 0;
    std::string put;
};
using TextEdits = std::vector<TextEdit>;  // what follows the last one is kept

// The edits that make `fresh` out of `base`; near each other or few, they are found one by one.
auto edits_between(std::string_view base, std::string_view fresh) -> TextEdits;
// Nothing where the edits reach past the end of `base`.
auto apply_edits(std::string_view base, TextEdits const& edits) -> std::optional<std::string>;
// About how many bytes the edits take when they are sent or written.
auto size_of(TextEdits const& edits) -> std::size_t;
// Tells two texts apart; eight bytes at a time, below 2^63.
auto text_digest(std::string_view text) -> std::uint64_t;

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(dockrock::TextEdit, kept, dropped, put);

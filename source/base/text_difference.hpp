#pragma once
// The difference between two texts as a list of edits, in text order. Used for
// document updates, replication and the disk. docs/design.md 5.4 and 8.2.1.
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/json_structs.hpp"

namespace dockrock {

// Relative to the end of the edit before it: bytes to keep, bytes to drop, and the text to insert in their place.
struct TextEdit {
    std::uint64_t kept = 0;
    std::uint64_t dropped = 0;
    std::string put;
};
using TextEdits = std::vector<TextEdit>;  // the text after the last edit is kept

// The edits that turn `base` into `fresh`; not minimal. Differences that are too many or too far apart become one edit.
auto edits_between(std::string_view base, std::string_view fresh) -> TextEdits;
// Empty where an edit reaches past the end of `base`.
auto apply_edits(std::string_view base, TextEdits const& edits) -> std::optional<std::string>;
// Approximate size of the edits as sent or stored, in bytes.
auto size_of(TextEdits const& edits) -> std::size_t;
// A hash below 2^63 that tells texts apart; reads eight bytes at a time.
auto text_digest(std::string_view text) -> std::uint64_t;

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(dockrock::TextEdit, kept, dropped, put);

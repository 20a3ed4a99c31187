#pragma once
// Reads a response that comes as numbered pieces. Without I/O: the connection and the simulator run the same
// code. docs/design.md section 10.
#include <optional>
#include <string>
#include <string_view>

#include "base/basics.hpp"

namespace dockrock {

// Checks that no piece is lost or repeated. Each piece is a line of JSON with its number ("piece"); the last line
// has their count ("pieces").
struct PieceReader {
    std::string rest;
    std::uint64_t next = 0;
    bool done = false;
    bool wrong = false;

    static constexpr auto line_limit = std::size_t{1U << 20U};  // bytes

    auto take(std::string_view bytes) -> std::string;  // returns the valid whole lines, to be relayed
};

}  // namespace dockrock

#pragma once
// The order of an answer's pieces. Pure: the connection and the simulator both
// run this. docs/design.md section 10.
#include <optional>
#include <string>
#include <string_view>

#include "base/basics.hpp"

namespace dockrock {

// Checks the numbering of the pieces as they pass: nothing lost, nothing twice.
struct PieceReader {
    std::string rest;
    std::uint64_t next = 0;
    bool done = false;
    bool wrong = false;

    static constexpr auto line_limit = std::size_t{1U << 20U};  // bytes

    auto take(std::string_view bytes) -> std::string;  // whole lines to relay
};

}  // namespace dockrock

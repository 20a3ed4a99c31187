#pragma once
// The format of the files in the data folder: JSON blocks with length and checksum, and the
// conversion of records of former formats. docs/design.md section 6.
#include <optional>
#include <string>
#include <string_view>

#include "base/json_structs.hpp"

namespace dockrock {

constexpr auto sealed_least = std::size_t{24};  // bytes of a block with an empty body

struct Sealed {
    std::uint64_t generation = 0;
    std::string body;
};

// Wraps a body in a block with its generation, length and checksum.
auto seal(std::uint64_t generation, std::string const& body) -> std::string;

// Removes one sealed block from the front; nullopt if it is torn or its checksum is wrong.
auto unseal(std::string_view& bytes) -> std::optional<Sealed>;

// Converts a state or log entry of a former format to the present one, in place.
auto renew(json::value& state) -> void;

template <typename Type>
auto read_as(std::string const& text) -> std::optional<Type> {
    auto parsed = parse_json(text);
    if (!parsed) return std::nullopt;
    renew(*parsed);
    Type result;
    Problems problems;
    read_json(*parsed, result, "", problems);
    if (!problems.empty()) return std::nullopt;
    return result;
}

}  // namespace dockrock

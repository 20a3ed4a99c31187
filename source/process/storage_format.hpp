#pragma once
// What the files of the data folder hold: sealed blocks of JSON, and the former format's
// records read as this one's. docs/design.md section 6.
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

// A block with its length and checksum.
auto seal(std::uint64_t generation, std::string const& body) -> std::string;

// Takes one sealed block off the front; nothing where it is torn or bad.
auto unseal(std::string_view& bytes) -> std::optional<Sealed>;

// Brings what the former format wrote into the shape of this one.
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

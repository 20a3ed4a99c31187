#pragma once
// A frame round each message: format number, fleet, sender, incarnation,
// length and checksum. docs/design.md section 3.
#include <optional>
#include <string>
#include <string_view>

#include "base/basics.hpp"

namespace dockrock {

inline constexpr std::size_t frame_limit = 16U << 20U;

struct Frame {
    std::string fleet;
    std::string sender;
    std::string sender_address;
    std::uint64_t incarnation = 0;
    std::string body;
};

auto checksum_of(std::string_view bytes) -> std::uint32_t;
auto pack_frame(Frame const& frame) -> std::string;
auto unpack_frame(std::string_view bytes) -> std::optional<Frame>;

// Small length-prefixed writing shared with the disk's slots and log.
auto put_number(std::string& into, std::uint64_t number) -> void;
auto take_number(std::string_view& from) -> std::optional<std::uint64_t>;
auto put_text(std::string& into, std::string_view text) -> void;
auto take_text(std::string_view& from) -> std::optional<std::string>;

}  // namespace dockrock

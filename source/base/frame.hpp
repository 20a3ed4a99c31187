#pragma once
// The frame around each message: format number, fleet, sender, incarnation,
// length and checksum. docs/design.md section 3.
#include <optional>
#include <string>
#include <string_view>

#include "base/basics.hpp"

namespace dockrock {

inline constexpr std::size_t frame_limit = 16U << 20U;  // bytes

struct Frame {
    std::string fleet;
    std::string sender;
    std::string sender_address;
    std::uint64_t incarnation = 0;
    std::string body;
};

auto checksum_of(std::string_view bytes) -> std::uint32_t;  // CRC-32
auto pack_frame(Frame const& frame) -> std::string;
// Empty where the bytes are truncated, over the limit, of another format or have a wrong checksum.
auto unpack_frame(std::string_view bytes) -> std::optional<Frame>;

// Serialization of numbers (8 bytes, little-endian) and length-prefixed texts, shared with the disk's slots and log.
// The take_ functions remove what they read from the front of `from`; empty where too few bytes are left.
auto put_number(std::string& into, std::uint64_t number) -> void;
auto take_number(std::string_view& from) -> std::optional<std::uint64_t>;
auto put_text(std::string& into, std::string_view text) -> void;
auto take_text(std::string_view& from) -> std::optional<std::string>;

}  // namespace dockrock

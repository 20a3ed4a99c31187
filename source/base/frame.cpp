#include "base/frame.hpp"

#include <array>

namespace dockrock {

namespace {

inline constexpr std::uint64_t format_number = 0x444f434b00000007ULL;

constexpr auto make_checksum_table() -> std::array<std::uint32_t, 256> {
    auto table = std::array<std::uint32_t, 256>{};
    for (auto index = std::uint32_t{0}; index < 256; ++index) {
        auto value = index;
        for (auto bit = 0; bit < 8; ++bit) value = (value & 1U) != 0 ? (value >> 1U) ^ 0xedb88320U : value >> 1U;
        table[index] = value;
    }
    return table;
}
inline constexpr auto checksum_table = make_checksum_table();

}  // namespace

auto checksum_of(std::string_view bytes) -> std::uint32_t {
    auto value = 0xffffffffU;
    for (auto byte : bytes) value = checksum_table[(value ^ static_cast<unsigned char>(byte)) & 0xffU] ^ (value >> 8U);
    return ~value;
}

auto put_number(std::string& into, std::uint64_t number) -> void {
    for (auto shift = 0; shift < 64; shift += 8) into.push_back(static_cast<char>((number >> shift) & 0xffU));
}

auto take_number(std::string_view& from) -> std::optional<std::uint64_t> {
    if (from.size() < 8) return std::nullopt;
    auto number = std::uint64_t{0};
    for (auto index = 0U; index < 8; ++index)
        number |= static_cast<std::uint64_t>(static_cast<unsigned char>(from[index])) << (8 * index);
    from.remove_prefix(8);
    return number;
}

auto put_text(std::string& into, std::string_view text) -> void {
    put_number(into, text.size());
    into.append(text);
}

auto take_text(std::string_view& from) -> std::optional<std::string> {
    auto const length = take_number(from);
    if (!length || *length > from.size()) return std::nullopt;
    auto text = std::string(from.substr(0, *length));
    from.remove_prefix(*length);
    return text;
}

auto pack_frame(Frame const& frame) -> std::string {
    std::string bytes;
    bytes.reserve(frame.body.size() + 160);
    put_number(bytes, format_number);
    put_text(bytes, frame.fleet);
    put_text(bytes, frame.sender);
    put_text(bytes, frame.sender_address);
    put_number(bytes, frame.incarnation);
    put_text(bytes, frame.body);
    put_number(bytes, checksum_of(bytes));
    return bytes;
}

auto unpack_frame(std::string_view bytes) -> std::optional<Frame> {
    if (bytes.size() < 16 || bytes.size() > frame_limit) return std::nullopt;
    auto tail = bytes.substr(bytes.size() - 8);
    if (take_number(tail) != checksum_of(bytes.substr(0, bytes.size() - 8))) return std::nullopt;
    auto rest = bytes.substr(0, bytes.size() - 8);
    if (take_number(rest) != format_number) return std::nullopt;
    auto fleet = take_text(rest);
    auto sender = take_text(rest);
    auto address = take_text(rest);
    auto incarnation = take_number(rest);
    auto body = take_text(rest);
    if (!fleet || !sender || !address || !incarnation || !body || !rest.empty()) return std::nullopt;
    return Frame{*fleet, *sender, *address, *incarnation, *body};
}

}  // namespace dockrock

#pragma once
// Checks a response head as a strict client does: RFC 9112, sections 4 to 6, and RFC 9110, section 15. It shares no
// code with the product or with Beast, so that it finds errors that both accept.
#include <algorithm>
#include <cctype>
#include <optional>
#include <string>
#include <string_view>

namespace dockrock::testing {

namespace grammar {

inline auto is_digit(char letter) -> bool { return letter >= '0' && letter <= '9'; }

inline auto is_token(std::string_view text) -> bool {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char letter) {
        return std::isalnum(static_cast<unsigned char>(letter)) != 0 ||
            std::string_view("!#$%&'*+-.^_`|~").find(letter) != std::string_view::npos;
    });
}

inline auto is_field_text(std::string_view text) -> bool {
    return std::all_of(text.begin(), text.end(), [](char letter) {
        auto const byte = static_cast<unsigned char>(letter);
        return byte == '\t' || (byte >= ' ' && byte != 0x7f);
    });
}

inline auto lower(std::string_view text) -> std::string {
    auto result = std::string(text);
    for (auto& letter : result) letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    return result;
}

inline auto trimmed(std::string_view text) -> std::string_view {
    auto const from = text.find_first_not_of(" \t");
    if (from == std::string_view::npos) return {};
    return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}

inline auto status_line_is_sound(std::string_view line) -> bool {
    auto const version = line.substr(0, 9);
    if (version != "HTTP/1.1 " && version != "HTTP/1.0 ") return false;
    auto const rest = line.substr(9);
    if (rest.size() < 4 || rest[3] != ' ' || !is_field_text(rest.substr(4))) return false;
    return rest[0] >= '1' && rest[0] <= '5' && is_digit(rest[1]) && is_digit(rest[2]);
}

// What the field lines say about the length of the body.
struct Framing {
    int lengths = 0, codings = 0;
    std::string fault;

    auto take(std::string const& name, std::string_view value) -> void {
        if (name == "content-length") {
            ++lengths;
            if (value.empty() || !std::all_of(value.begin(), value.end(), is_digit)) fault = "an odd length";
        } else if (name == "transfer-encoding") {
            ++codings;
            if (lower(value) != "chunked") fault = "an unknown transfer coding";
        }
    }
    auto judge(std::string_view status) const -> std::string {
        if (!fault.empty()) return fault;
        if (lengths + codings > 1) return "framed in more than one way";
        if (lengths + codings > 0 && (status[0] == '1' || status == "204")) return "a length where there is no body";
        return {};
    }
};

}  // namespace grammar

// What is wrong with a head, given without its final empty line; empty if it is valid.
inline auto fault_of_head(std::string_view head) -> std::string {
    using namespace grammar;
    auto const line_end = std::min(head.find("\r\n"), head.size());
    auto const status_line = head.substr(0, line_end);
    if (!status_line_is_sound(status_line)) return "a status line of no answer";
    auto framing = Framing();
    auto rest = head.substr(std::min(line_end + 2, head.size()));
    while (!rest.empty()) {
        auto const end = std::min(rest.find("\r\n"), rest.size());
        auto const line = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 2, rest.size()));
        auto const colon = line.find(':');
        if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) return "a field without a sound name";
        auto const value = trimmed(line.substr(colon + 1));
        if (!is_field_text(value)) return "a field without a sound value";
        framing.take(lower(line.substr(0, colon)), value);
    }
    return framing.judge(status_line.substr(9, 3));
}

// The status of the first response in the bytes a client received; nothing if its head is incomplete or invalid.
inline auto strict_status(std::string_view bytes) -> std::optional<int> {
    auto const end = bytes.find("\r\n\r\n");
    if (end == std::string_view::npos || !fault_of_head(bytes.substr(0, end)).empty()) return std::nullopt;
    return std::stoi(std::string(bytes.substr(9, 3)));
}

}  // namespace dockrock::testing

#pragma once
// Answers of a replica in trouble that are none by the grammar of HTTP, or whose body is not what it seems. All name
// their request and bear a seal, so that whoever passes them on is found out.
#include <array>
#include <string>
#include <string_view>

namespace dockrock::platform_stand_in {

struct SpoiledAnswer {
    std::string_view status = "200", fields;
    bool chunked = false;  // or told by its length
    bool coded = false;    // the bytes sent are a coding of the body, not the body
    bool broken = false;   // the last chunk's header is none
};

constexpr auto spoiled_answers = std::array{
    SpoiledAnswer{"000", ""},
    SpoiledAnswer{"000", "Not-Run: 1\r\n"},
    SpoiledAnswer{"600", ""},
    SpoiledAnswer{"200", "X Y: 1\r\n"},
    SpoiledAnswer{"200", "X\x01: 1\r\n"},
    SpoiledAnswer{"200", "Transfer-Encoding: gzip\r\n", false, true},
    SpoiledAnswer{"200", "Transfer-Encoding: gzip, chunked\r\n", true, true},
    SpoiledAnswer{"200", "Content-Encoding: gzip\r\n", false, true},
    SpoiledAnswer{"503", "Not-Run: 1\r\nTransfer-Encoding: chunked\r\n", true, false, true}};

// The text of one: `lines` are those of every answer, each with its end.
auto spoiled_text(SpoiledAnswer const& spoiled, std::string const& lines, std::string const& body) -> std::string;

}  // namespace dockrock::platform_stand_in

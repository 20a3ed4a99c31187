#pragma once
// HTTP/1.1 messages as they were received. Names and values may have any length: what bounds them is the reader's
// limit for a whole head. The library's own message holds at most 65,533 bytes a field. docs/requests.md.
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace dockrock {

namespace http = boost::beast::http;

// One field line of a head.
struct HeadField {
    std::string name;
    std::string value;
};

inline auto name_of(http::field field) -> std::string_view {
    auto const name = http::to_string(field);
    return {name.data(), name.size()};
}

// The field lines of a head in the order in which they came; names are compared without regard to case.
struct HeadFields {
    std::vector<HeadField> lines;

    // Appends a line, also where there is one of this name.
    auto add(std::string_view name, std::string_view value) -> void;
    // In place of all lines of this name.
    auto set(std::string_view name, std::string_view value) -> void;
    // The first line of this name; nullptr: there is none.
    auto find(std::string_view name) const -> HeadField const*;
    auto count(std::string_view name) const -> std::size_t;
    // Of the first line of this name; empty where there is none.
    auto value_of(std::string_view name) const -> std::string_view;
};

// An answer as a replica or another back end sent it.
struct ReceivedAnswer {
    int status = 0;
    std::string reason;  // the text behind the status
    HeadFields fields;
    bool keep_alive = true;  // the connection may be used for another request after it
    std::string body;        // what has come and was not taken yet

    auto operator[](http::field field) const -> std::string_view { return fields.value_of(name_of(field)); }
    auto operator[](std::string_view name) const -> std::string_view { return fields.value_of(name); }
};

}  // namespace dockrock

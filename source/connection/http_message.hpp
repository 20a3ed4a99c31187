#pragma once
// Received HTTP/1.1 messages. Field names and values have no limit of their own, only the reader's limit for the whole
// head; Beast's message type cannot be used because it holds at most 65,533 bytes per field. docs/requests.md.
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace dockrock {

namespace http = boost::beast::http;

// One header field line.
struct HeadField {
    std::string name;
    std::string value;
};

inline auto name_of(http::field field) -> std::string_view {
    auto const name = http::to_string(field);
    return {name.data(), name.size()};
}

// The header field lines in the order received; names are compared case-insensitively.
struct HeadFields {
    std::vector<HeadField> lines;

    // Appends a line, even if one with this name exists.
    auto add(std::string_view name, std::string_view value) -> void;
    // Replaces all lines with this name.
    auto set(std::string_view name, std::string_view value) -> void;
    // The first line with this name, or nullptr.
    auto find(std::string_view name) const -> HeadField const*;
    auto count(std::string_view name) const -> std::size_t;
    // The value of the first line with this name, or empty.
    auto value_of(std::string_view name) const -> std::string_view;
};

// A request received from a client, an operator or the platform.
struct HttpRequest {
    HeadFields fields;

    HttpRequest() = default;
    HttpRequest(http::verb method, std::string_view target, unsigned version)
        : verb(method),
          method_text(std::string_view(http::to_string(method).data(), http::to_string(method).size())),
          target_text(target),
          version_number(version) {}

    auto method() const -> http::verb { return verb; }
    auto method_string() const -> std::string_view { return method_text; }
    auto target() const -> std::string_view { return target_text; }
    auto version() const -> unsigned { return version_number; }  // 10 or 11
    auto body() const -> std::string const& { return content; }
    auto body() -> std::string& { return content; }
    // Whether the connection may carry another request after this one.
    auto keep_alive() const -> bool { return persistent; }
    auto keep_alive(bool wanted) -> void { persistent = wanted; }
    auto has_content_length() const -> bool { return fields.find(name_of(http::field::content_length)) != nullptr; }
    auto chunked() const -> bool;

    auto operator[](std::string_view name) const -> std::string_view { return fields.value_of(name); }
    auto operator[](http::field field) const -> std::string_view { return fields.value_of(name_of(field)); }
    auto count(http::field field) const -> std::size_t { return fields.count(name_of(field)); }
    auto set(std::string_view name, std::string_view value) -> void { fields.set(name, value); }
    auto set(http::field field, std::string_view value) -> void { fields.set(name_of(field), value); }

    auto set_method(http::verb method, std::string_view text) -> void {
        verb = method;
        method_text = text;
    }
    auto set_target(std::string_view text, unsigned version) -> void {
        target_text = text;
        version_number = version;
    }

   private:
    http::verb verb = http::verb::unknown;
    std::string method_text;
    std::string target_text;
    unsigned version_number = 11;
    bool persistent = true;
    std::string content;
};

// A response received from a replica or another back end.
struct ReceivedAnswer {
    unsigned version = 11;  // 10 or 11
    int status = 0;
    std::string reason;  // the reason phrase of the status line
    HeadFields fields;
    bool keep_alive = true;  // the connection may carry another request after this response
    std::string body;        // bytes received and not yet taken by the caller

    auto operator[](http::field field) const -> std::string_view { return fields.value_of(name_of(field)); }
    auto operator[](std::string_view name) const -> std::string_view { return fields.value_of(name); }
};

}  // namespace dockrock

#include "connection/http_message.hpp"

#include <algorithm>

namespace dockrock {

namespace {

auto same_name(std::string_view left, std::string_view right) -> bool {
    return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

}  // namespace

auto HeadFields::add(std::string_view name, std::string_view value) -> void {
    lines.push_back({std::string(name), std::string(value)});
}

auto HeadFields::set(std::string_view name, std::string_view value) -> void {
    std::erase_if(lines, [&](HeadField const& line) { return same_name(line.name, name); });
    add(name, value);
}

auto HeadFields::find(std::string_view name) const -> HeadField const* {
    auto const found =
        std::find_if(lines.begin(), lines.end(), [&](HeadField const& line) { return same_name(line.name, name); });
    return found == lines.end() ? nullptr : &*found;
}

auto HeadFields::count(std::string_view name) const -> std::size_t {
    auto const matches = [&](HeadField const& line) { return same_name(line.name, name); };
    return static_cast<std::size_t>(std::count_if(lines.begin(), lines.end(), matches));
}

auto HeadFields::value_of(std::string_view name) const -> std::string_view {
    auto const* const found = find(name);
    return found == nullptr ? std::string_view() : std::string_view(found->value);
}

auto HttpRequest::chunked() const -> bool {
    return same_name(fields.value_of(name_of(http::field::transfer_encoding)), "chunked");
}

}  // namespace dockrock

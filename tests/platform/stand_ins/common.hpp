#pragma once
// What the stand-ins of the users' platform share. They use nothing of the
// product, so that a fault there cannot hide itself here. Not product.
#include <boost/asio.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace dockrock::platform_stand_in {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using asio::ip::tcp;
template <typename Value>
using awaitable = asio::awaitable<Value>;
using Milliseconds = std::int64_t;
using Request = http::request<http::string_body>;

constexpr auto as_values = asio::experimental::as_tuple(asio::use_awaitable);

inline auto now() -> Milliseconds {
    auto const since = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

inline auto pause(Milliseconds length) -> awaitable<void> {
    auto timer = asio::steady_timer(co_await asio::this_coro::executor, std::chrono::milliseconds(length));
    co_await timer.async_wait(as_values);
}

inline auto endpoint_of(std::string const& address) -> std::optional<tcp::endpoint> {
    auto const colon = address.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    boost::system::error_code failure;
    auto const ip = asio::ip::make_address(address.substr(0, colon), failure);
    auto const port = std::strtoul(address.c_str() + colon + 1, nullptr, 10);
    if (failure || port > 65'535) return std::nullopt;
    return tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

inline auto text_of(json::object const& object, std::string_view name, std::string fallback = "") -> std::string {
    auto const* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : fallback;
}
inline auto number_of(json::object const& object, std::string_view name, std::int64_t fallback = 0) -> std::int64_t {
    auto const* value = object.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<std::int64_t>() : fallback;
}
inline auto share_of(json::object const& object, std::string_view name, double fallback = 0.0) -> double {
    auto const* value = object.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<double>() : fallback;
}
inline auto flag_of(json::object const& object, std::string_view name, bool fallback = false) -> bool {
    auto const* value = object.if_contains(name);
    return value != nullptr && value->is_bool() ? value->as_bool() : fallback;
}
inline auto list_of(json::object const& object, std::string_view name) -> json::array {
    auto const* value = object.if_contains(name);
    return value != nullptr && value->is_array() ? value->as_array() : json::array();
}
inline auto object_of(json::object const& object, std::string_view name) -> json::object {
    auto const* value = object.if_contains(name);
    return value != nullptr && value->is_object() ? value->as_object() : json::object();
}
inline auto read_object(std::string_view text) -> std::optional<json::object> {
    boost::system::error_code failure;
    auto const value = json::parse(json::string_view(text.data(), text.size()), failure);
    if (failure || !value.is_object()) return std::nullopt;
    return value.as_object();
}

// A table of (name, member) pairs reads an object into a structure; a name that is absent changes nothing.
inline auto read_into(json::object const& object, std::string_view name, bool& value) -> void {
    value = flag_of(object, name, value);
}
inline auto read_into(json::object const& object, std::string_view name, double& value) -> void {
    value = share_of(object, name, value);
}
inline auto read_into(json::object const& object, std::string_view name, std::int64_t& value) -> void {
    value = number_of(object, name, value);
}
inline auto read_into(json::object const& object, std::string_view name, std::string& value) -> void {
    value = text_of(object, name, value);
}
template <typename Structure, typename Table>
auto read_fields(json::object const& object, Structure& structure, Table const& table) -> void {
    auto const read = [&](auto const& entry) { read_into(object, entry.first, structure.*(entry.second)); };
    std::apply([&](auto const&... entries) { (read(entries), ...); }, table);
}
template <typename Structure, typename Member>
constexpr auto field(std::string_view name, Member Structure::*member) {
    return std::pair<std::string_view, Member Structure::*>(name, member);
}

inline auto header_of(Request const& request, std::string_view name) -> std::string {
    return std::string(request[beast::string_view(name.data(), name.size())]);
}

inline auto split(std::string_view text, char mark) -> std::vector<std::string> {
    auto parts = std::vector<std::string>();
    while (!text.empty()) {
        auto const end = text.find(mark);
        parts.emplace_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return parts;
}

inline auto query_value(std::string_view target, std::string const& name) -> std::string {
    auto const mark = target.find('?');
    if (mark == std::string_view::npos) return "";
    for (auto const& item : split(target.substr(mark + 1), '&'))
        if (item.starts_with(name + "=")) return item.substr(name.size() + 1);
    return "";
}

using Random = std::mt19937_64;
inline auto chance(Random& random, double share) -> bool {
    return share > 0.0 && std::uniform_real_distribution<double>(0.0, 1.0)(random) < share;
}

}  // namespace dockrock::platform_stand_in

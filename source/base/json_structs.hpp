#pragma once
// Reads and writes Hana-adapted structs as JSON. Reading continues after an error:
// every problem is collected with its path. docs/design.md section 7.
#include <boost/hana.hpp>
#include <boost/json.hpp>
#include <limits>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

#include "base/basics.hpp"

namespace dockrock {

namespace json = boost::json;
namespace hana = boost::hana;

struct Problem {
    std::string path;  // to the value, such as /routes/0/name
    std::string what;
};
using Problems = std::vector<Problem>;

template <typename Type>
struct is_vector : std::false_type {};
template <typename Type>
struct is_vector<std::vector<Type>> : std::true_type {};
template <typename Type>
struct is_optional : std::false_type {};
template <typename Type>
struct is_optional<std::optional<Type>> : std::true_type {};
template <typename Type>
struct is_map : std::false_type {};
template <typename Type>
struct is_map<std::map<std::string, Type>> : std::true_type {};

template <typename Type>
auto write_json(Type const& from) -> json::value {
    if constexpr (
        std::is_same_v<Type, json::value> || std::is_same_v<Type, bool> || std::is_same_v<Type, std::string>) {
        return json::value(from);
    } else if constexpr (std::is_arithmetic_v<Type>) {
        return json::value(from);
    } else if constexpr (is_optional<Type>::value) {
        return from ? write_json(*from) : json::value(nullptr);
    } else if constexpr (is_vector<Type>::value) {
        json::array list;
        for (auto const& item : from) list.push_back(write_json(item));
        return list;
    } else if constexpr (is_map<Type>::value) {
        json::object object;
        for (auto const& [name, item] : from) object[name] = write_json(item);
        return object;
    } else {
        json::object object;
        hana::for_each(hana::accessors<Type>(), [&](auto const& accessor) {
            auto const& member = hana::second(accessor)(from);
            if constexpr (is_optional<std::decay_t<decltype(member)>>::value) {
                if (!member) return;
            }
            object[hana::to<char const*>(hana::first(accessor))] = write_json(member);
        });
        return object;
    }
}

template <typename Type>
auto read_integer(json::value const& from, Type& into, std::string const& path, Problems& problems) -> void {
    using Limits = std::numeric_limits<Type>;
    if (from.is_int64()) {
        auto const value = from.as_int64();
        if constexpr (std::is_unsigned_v<Type>) {
            if (value < 0 || static_cast<std::uint64_t>(value) > Limits::max())
                return problems.push_back({path, "number out of range"}), void();
        } else if (value < Limits::min() || value > Limits::max()) {
            return problems.push_back({path, "number out of range"}), void();
        }
        into = static_cast<Type>(value);
    } else if (from.is_uint64() && from.as_uint64() <= static_cast<std::uint64_t>(Limits::max())) {
        into = static_cast<Type>(from.as_uint64());
    } else {
        problems.push_back({path, from.is_uint64() ? "number out of range" : "must be a whole number"});
    }
}

template <typename Type>
auto read_json(json::value const& from, Type& into, std::string const& path, Problems& problems) -> void;

// Reports a value of the wrong type; `kind` is the expected one with its article, such as "a list".
inline auto not_of_kind(std::string const& path, std::string_view kind, Problems& problems) -> void {
    problems.push_back({path, "must be " + std::string(kind)});
}

template <typename Item>
auto read_list(json::value const& from, std::vector<Item>& into, std::string const& path, Problems& problems) -> void {
    if (!from.is_array()) return not_of_kind(path, "a list", problems);
    into.clear();
    for (auto const& item : from.as_array()) {
        auto const place = path + "/" + std::to_string(into.size());
        read_json(item, into.emplace_back(), place, problems);
    }
}

template <typename Item>
auto read_map(json::value const& from, std::map<std::string, Item>& into, std::string const& path, Problems& problems)
    -> void {
    if (!from.is_object()) return not_of_kind(path, "an object", problems);
    into.clear();
    for (auto const& item : from.as_object())
        read_json(item.value(), into[std::string(item.key())], path + "/" + std::string(item.key()), problems);
}

template <typename Type>
auto names_member(std::string_view key) -> bool {
    auto found = false;
    hana::for_each(hana::accessors<Type>(), [&](auto const& accessor) {
        if (key == hana::to<char const*>(hana::first(accessor))) found = true;
    });
    return found;
}

template <typename Type>
auto read_members(json::value const& from, Type& into, std::string const& path, Problems& problems) -> void {
    if (!from.is_object()) return not_of_kind(path, "an object", problems);
    auto known = std::size_t{0};
    hana::for_each(hana::accessors<Type>(), [&](auto const& accessor) {
        auto const* name = hana::to<char const*>(hana::first(accessor));
        auto const* found = from.as_object().if_contains(name);
        if (!found) return;
        ++known;
        read_json(*found, hana::second(accessor)(into), path + "/" + name, problems);
    });
    if (known == from.as_object().size()) return;
    for (auto const& item : from.as_object())
        if (!names_member<Type>(item.key()))
            problems.push_back({path + "/" + std::string(item.key()), "unknown field"});
}

template <typename Type>
auto read_json(json::value const& from, Type& into, std::string const& path, Problems& problems) -> void {
    if constexpr (std::is_same_v<Type, json::value>) {
        into = from;
    } else if constexpr (std::is_same_v<Type, bool>) {
        if (from.is_bool()) into = from.as_bool();
        else not_of_kind(path, "true or false", problems);
    } else if constexpr (std::is_same_v<Type, std::string>) {
        if (from.is_string()) into = std::string(from.as_string());
        else not_of_kind(path, "a text", problems);
    } else if constexpr (std::is_integral_v<Type>) {
        read_integer(from, into, path, problems);
    } else if constexpr (std::is_floating_point_v<Type>) {
        if (from.is_number()) into = from.to_number<Type>();
        else not_of_kind(path, "a number", problems);
    } else if constexpr (is_optional<Type>::value) {
        if (from.is_null()) into.reset();
        else read_json(from, into.emplace(), path, problems);
    } else if constexpr (is_vector<Type>::value) {
        read_list(from, into, path, problems);
    } else if constexpr (is_map<Type>::value) {
        read_map(from, into, path, problems);
    } else {
        read_members(from, into, path, problems);
    }
}

// Empty where the text is not valid JSON or is nested more than 48 levels deep.
inline auto parse_json(std::string_view text) -> std::optional<json::value> {
    boost::system::error_code failure;
    json::parse_options options;
    options.max_depth = 48;
    auto parsed = json::parse(json::string_view(text.data(), text.size()), failure, {}, options);
    if (failure) return std::nullopt;
    return parsed;
}

// Builds an object from alternating names and values. Replaces braced initializer
// lists, which this compiler cannot handle inside coroutines.
inline auto fields(json::object so_far = {}) -> json::object { return so_far; }
template <typename Value, typename... Rest>
auto fields(char const* name, Value&& value, Rest&&... rest) -> json::object {
    auto object = fields(std::forward<Rest>(rest)...);
    object[name] = json::value_from(std::forward<Value>(value));
    return object;
}

inline auto write_problems(Problems const& problems) -> json::array {
    json::array list;
    for (auto const& problem : problems) list.push_back({{"path", problem.path}, {"what", problem.what}});
    return list;
}

}  // namespace dockrock

#pragma once
// One number for a value of the machines: all fields, found by Boost.PFR, so
// that no field of the product can be forgotten. docs/consensus.md.
#include <boost/container_hash/hash.hpp>
#include <boost/pfr.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace dockrock::model {

template <typename Type>
auto mix(std::size_t& seed, Type const& value) -> void;

template <typename... Parts>
auto mix_all(std::size_t& seed, Parts const&... parts) -> void {
    (mix(seed, parts), ...);
}

template <typename Type>
struct FieldHash {
    static auto add(std::size_t& seed, Type const& value) -> void {
        if constexpr (std::is_arithmetic_v<Type> || std::is_enum_v<Type>) boost::hash_combine(seed, value);
        else boost::pfr::for_each_field(value, [&](auto const& field) { mix(seed, field); });
    }
};
template <>
struct FieldHash<std::string> {
    static auto add(std::size_t& seed, std::string const& value) -> void { boost::hash_combine(seed, value); }
};
template <typename Result, typename... Arguments>
struct FieldHash<std::function<Result(Arguments...)>> {  // the same in every node
    static auto add(std::size_t&, std::function<Result(Arguments...)> const&) -> void {}
};
template <typename First, typename Second>
struct FieldHash<std::pair<First, Second>> {
    static auto add(std::size_t& seed, std::pair<First, Second> const& value) -> void {
        mix_all(seed, value.first, value.second);
    }
};
template <typename Type>
struct FieldHash<std::optional<Type>> {
    static auto add(std::size_t& seed, std::optional<Type> const& value) -> void {
        mix(seed, value.has_value());
        if (value) mix(seed, *value);
    }
};
template <typename... Types>
struct FieldHash<std::variant<Types...>> {
    static auto add(std::size_t& seed, std::variant<Types...> const& value) -> void {
        mix(seed, value.index());
        std::visit([&](auto const& held) { mix(seed, held); }, value);
    }
};
template <typename Range>
struct RangeHash {
    static auto add(std::size_t& seed, Range const& range) -> void {
        mix(seed, range.size());
        for (auto const& item : range) mix(seed, item);
    }
};
template <typename Type>
struct FieldHash<std::vector<Type>> {
    static auto add(std::size_t& seed, std::vector<Type> const& range) -> void {
        RangeHash<std::vector<Type>>::add(seed, range);
    }
};
template <typename Type>
struct FieldHash<std::deque<Type>> {
    static auto add(std::size_t& seed, std::deque<Type> const& range) -> void {
        RangeHash<std::deque<Type>>::add(seed, range);
    }
};
template <typename Type>
struct FieldHash<std::set<Type>> {
    static auto add(std::size_t& seed, std::set<Type> const& range) -> void {
        RangeHash<std::set<Type>>::add(seed, range);
    }
};
template <typename Key, typename Value>
struct FieldHash<std::map<Key, Value>> {
    static auto add(std::size_t& seed, std::map<Key, Value> const& range) -> void {
        RangeHash<std::map<Key, Value>>::add(seed, range);
    }
};

template <typename Type>
auto mix(std::size_t& seed, Type const& value) -> void {
    FieldHash<Type>::add(seed, value);
}

template <typename Type>
auto hash_of(Type const& value) -> std::size_t {
    auto seed = std::size_t{0};
    mix(seed, value);
    return seed;
}

}  // namespace dockrock::model

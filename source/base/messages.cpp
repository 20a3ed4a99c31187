#include "base/messages.hpp"

#include "base/messages_adapted.hpp"

namespace dockrock {

auto write_message(Message const& message) -> std::string {
    json::array pair;
    pair.push_back(
        json::value(json::string_view(message_names[message.index()].data(), message_names[message.index()].size())));
    std::visit([&](auto const& body) { pair.push_back(write_json(body)); }, message);
    return json::serialize(pair);
}

namespace {

template <std::size_t Index>
auto read_as(std::string_view name, json::value const& body) -> std::optional<Message> {
    if constexpr (Index == std::variant_size_v<Message>) {
        return std::nullopt;
    } else {
        if (name != message_names[Index]) return read_as<Index + 1>(name, body);
        std::variant_alternative_t<Index, Message> result;
        Problems problems;
        read_json(body, result, "", problems);
        if (!problems.empty()) return std::nullopt;
        return Message(std::move(result));
    }
}

}  // namespace

auto read_message(std::string_view text) -> std::optional<Message> {
    auto const parsed = parse_json(text);
    if (!parsed || !parsed->is_array() || parsed->as_array().size() != 2) return std::nullopt;
    auto const& pair = parsed->as_array();
    if (!pair[0].is_string()) return std::nullopt;
    auto const name = pair[0].as_string();
    return read_as<0>(std::string_view(name.data(), name.size()), pair[1]);
}

}  // namespace dockrock

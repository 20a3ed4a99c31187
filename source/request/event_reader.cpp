#include "request/event_reader.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace dockrock {

namespace {

// The number in the event's `id` line, -1 if it has none.
auto number_of(std::string_view event) -> std::int64_t {
    auto number = std::int64_t{-1};
    while (!event.empty()) {
        auto const end = event.find('\n');
        auto line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
        if (!line.starts_with("id:")) continue;
        line.remove_prefix(3);
        if (line.starts_with(' ')) line.remove_prefix(1);
        auto value = std::int64_t{-1};
        if (std::from_chars(line.data(), line.data() + line.size(), value).ec == std::errc{}) number = value;
    }
    return number;
}

constexpr auto longest_end = std::size_t{3};  // of the line ends that end an event, in bytes: "\n\r\n"

// One past the blank line that ends the first event; npos if the event is incomplete. Searches from `from` on.
auto end_of_event(std::string_view text, std::size_t from) -> std::size_t {
    for (auto at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        if (at + 1 < text.size() && text[at + 1] == '\n') return at + 2;
        if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n') return at + 3;
    }
    return std::string_view::npos;
}

}  // namespace

auto EventReader::take(std::string_view bytes) -> std::string {
    std::string whole;
    rest.append(bytes);
    auto left = std::string_view(rest);
    while (!too_long) {
        auto const end = end_of_event(left, std::exchange(searched, 0));
        if (end == std::string_view::npos) break;
        auto const event = left.substr(0, end);
        auto const number = number_of(event);
        left.remove_prefix(end);
        if (number >= 0 && number <= last) continue;
        if (number >= 0) last = number;
        ++passed;
        whole.append(event);
    }
    rest.erase(0, rest.size() - left.size());
    searched = rest.size() - std::min(rest.size(), longest_end - 1);
    too_long = rest.size() > event_limit;
    return whole;
}

}  // namespace dockrock

#include "seal.hpp"

#include <charconv>

namespace dockrock::platform_stand_in {

namespace {
constexpr auto digest_prime = std::uint64_t{0x100000001b3U};
constexpr auto event_padding = std::string_view(" and some words to give it length");

auto digest_of_events(std::vector<Event> const& events) -> std::uint64_t {
    auto digest = digest_of("");
    for (auto const& event : events) digest = digest_of(std::to_string(event.number) + ":" + event.data + ";", digest);
    return digest;
}
auto write_seal(Seal const& seal) -> std::string {
    return seal.run + "." + std::to_string(seal.status) + "." + std::to_string(seal.size) + "." + hex_of(seal.digest);
}
auto read_number(std::string_view text, int base, auto& number) -> bool {
    auto const [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    return failure == std::errc() && end == text.data() + text.size() && !text.empty();
}
}  // namespace

auto digest_of(std::string_view text, std::uint64_t start) -> std::uint64_t {
    for (auto const letter : text) start = (start ^ static_cast<unsigned char>(letter)) * digest_prime;
    return start;
}

auto hex_of(std::uint64_t number) -> std::string {
    auto text = std::array<char, 17>();
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
    return text.data();
}

auto event_data(std::string_view run, std::int64_t number, std::int64_t last) -> std::string {
    return std::string(run) + " " + std::to_string(number) + "/" + std::to_string(last) + std::string(event_padding);
}

auto read_event_data(std::string_view data) -> std::optional<EventData> {
    if (!data.ends_with(event_padding)) return std::nullopt;
    data.remove_suffix(event_padding.size());
    auto const space = data.find(' ');
    auto const slash = data.find('/');
    if (space == std::string_view::npos || slash == std::string_view::npos || slash < space) return std::nullopt;
    auto read = EventData{std::string(data.substr(0, space)), 0, 0};
    if (!read_number(data.substr(space + 1, slash - space - 1), 10, read.number)) return std::nullopt;
    if (!read_number(data.substr(slash + 1), 10, read.last)) return std::nullopt;
    return read;
}

auto event_text(Event const& event) -> std::string {
    auto const opening = event.version > 0 ? "weight-versions: " + std::to_string(event.version) + "\n" : "";
    return opening + "id: " + std::to_string(event.number) + "\ndata: " + event.data + "\n\n";
}

auto read_events(std::string_view body) -> std::vector<Event> {
    auto events = std::vector<Event>();
    for (auto end = body.find("\n\n"); end != std::string_view::npos; end = body.find("\n\n")) {
        auto event = Event{-1, "", 0};
        for (auto const& line : split(body.substr(0, end), '\n')) {
            if (line.starts_with("id: ")) event.number = std::strtoll(line.c_str() + 4, nullptr, 10);
            if (line.starts_with("data: ")) event.data = line.substr(6);
            if (line.starts_with("weight-versions: ")) event.version = std::strtoll(line.c_str() + 17, nullptr, 10);
        }
        events.push_back(event);
        body.remove_prefix(end + 2);
    }
    return events;
}

auto seal_of_stream(std::string_view run, std::int64_t first, std::int64_t last) -> std::string {
    auto events = std::vector<Event>();
    for (auto number = first; number <= last; ++number) events.push_back({number, event_data(run, number, last)});
    return write_seal({std::string(run), 200, static_cast<std::int64_t>(events.size()), digest_of_events(events)});
}

auto seal_of_body(std::string_view run, std::int64_t status, std::string_view body) -> std::string {
    return write_seal({std::string(run), status, static_cast<std::int64_t>(body.size()), digest_of(body)});
}

auto read_seal(std::string_view text) -> std::optional<Seal> {
    auto const parts = split(text, '.');
    if (parts.size() != 4) return std::nullopt;
    auto seal = Seal{parts[0], 0, 0, 0};
    if (!read_number(parts[1], 10, seal.status) || !read_number(parts[2], 10, seal.size)) return std::nullopt;
    if (!read_number(parts[3], 16, seal.digest)) return std::nullopt;
    return seal;
}

auto seal_fits_events(Seal const& seal, std::vector<Event> const& events) -> bool {
    return seal.size == static_cast<std::int64_t>(events.size()) && seal.digest == digest_of_events(events);
}

auto seal_fits_body(Seal const& seal, std::string_view body) -> bool {
    return seal.size == static_cast<std::int64_t>(body.size()) && seal.digest == digest_of(body);
}

}  // namespace dockrock::platform_stand_in

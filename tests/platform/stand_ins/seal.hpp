#pragma once
// The stamp on an answer, and the bodies it vouches for. A run gives a body
// that follows from its name alone, so that a client can tell whether what it
// got is the whole of one run.
#include "common.hpp"

namespace dockrock::platform_stand_in {

struct Event {
    std::int64_t number = 0;
    std::string data;
    std::int64_t version = 0;  // of the weights, where the event says that it changed
};
struct EventData {  // what stands in the data of an event
    std::string run;
    std::int64_t number = 0, last = 0;
};
struct Seal {
    std::string run;
    std::int64_t status = 0, size = 0;  // events of a stream, bytes of another body
    std::uint64_t digest = 0;
};

auto digest_of(std::string_view text, std::uint64_t start = 0xcbf29ce484222325U) -> std::uint64_t;
auto hex_of(std::uint64_t number) -> std::string;

auto event_data(std::string_view run, std::int64_t number, std::int64_t last) -> std::string;
auto read_event_data(std::string_view data) -> std::optional<EventData>;
auto event_text(Event const& event) -> std::string;
auto read_events(std::string_view body) -> std::vector<Event>;  // without a last one that is not whole

auto seal_of_stream(std::string_view run, std::int64_t first, std::int64_t last) -> std::string;
auto seal_of_body(std::string_view run, std::int64_t status, std::string_view body) -> std::string;
auto read_seal(std::string_view text) -> std::optional<Seal>;
auto seal_fits_events(Seal const& seal, std::vector<Event> const& events) -> bool;
auto seal_fits_body(Seal const& seal, std::string_view body) -> bool;

}  // namespace dockrock::platform_stand_in

#pragma once
// Parts of prompts that a replica or a store keeps, and the events that tell of them.
#include "common.hpp"

namespace dockrock::platform_stand_in {

struct Partition {  // of a prompt, as a request lists it
    std::string identity;
    std::int64_t tokens = 0;
};
auto read_parts(std::string_view text) -> std::vector<Partition>;

struct KeptPart {
    std::int64_t tokens = 0;
    std::string tenant;        // whose request made it
    std::int64_t version = 0;  // of the weights that made it
    std::int64_t used = 0;     // rises with each use
};
struct PartName {
    std::string salt, model, identity;
    auto operator<=>(PartName const&) const = default;
};
struct KeptEvent {
    std::int64_t number = 0;
    bool added = true;
    PartName name;
    std::int64_t tokens = 0;
    Milliseconds shown = 0;
    bool lost = false;
};
struct KeptOptions {
    std::int64_t tokens = 300'000, events = 4000;
    Milliseconds events_lag = 80;
    double events_lost = 0.0;
};

struct Kept {
    KeptOptions options;
    std::map<PartName, KeptPart> parts;
    std::deque<KeptEvent> events;
    std::int64_t boot = 1, next_event = 1, uses = 0, held = 0;

    // The leading parts that are kept, each together with every part before it.
    auto leading(std::string const& salt, std::string const& model, std::vector<Partition> const& prompt)
        -> std::vector<KeptPart>;
    auto keep(PartName const& name, KeptPart part, Random& random) -> void;
    auto drop(PartName const& name, Random& random) -> void;
    auto drop_model(std::string const& model, Random& random) -> void;
    auto tell(bool added, PartName const& name, std::int64_t tokens, Random& random) -> void;
    auto shown_since(std::int64_t started) const -> json::object;
    auto list() const -> json::object;
};

}  // namespace dockrock::platform_stand_in

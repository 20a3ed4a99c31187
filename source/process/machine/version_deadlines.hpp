#pragma once
// Since when a newer version than one that is held has been named, as far as
// this node knows. docs/design.md section 11.1.
#include "process/machine/snapshot.hpp"

namespace dockrock {

// The versions named of one model, each with the moment it was learnt.
struct NamedVersions {
    std::map<std::int64_t, Microseconds> since;

    auto learn(std::int64_t version, Microseconds now) -> void;
    // Nothing where no newer one is known.
    auto behind_since(std::int64_t held) const -> std::optional<Microseconds>;
};

// A part's new holder has the whole time again: it may not order at first, and
// what led to it was trouble or planned work of the core.
struct VersionDeadlines {
    std::map<std::string, NamedVersions> models;
    std::array<std::string, part_count> holders;
    std::array<Microseconds, part_count> held_since{};

    // True where a part has another holder than it had.
    auto take(Control const& control, Snapshot const& snapshot, Microseconds now) -> bool;
    auto behind_since(int part, std::string const& model, std::int64_t held) const -> std::optional<Microseconds>;
    // How long a replica that holds these is new enough, under this bound.
    auto until(int part, ReplicaWeights const& held, Microseconds bound) const -> Microseconds;
};

}  // namespace dockrock

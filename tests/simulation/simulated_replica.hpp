#pragma once
// A model replica in the simulator. docs/design.md section 15.
#include <deque>
#include <functional>

#include "ticket/replica_load_table.hpp"

namespace dockrock::simulation {

struct KeptMemory {
    std::string tenant;
    std::string wall;
    std::string weights;
};

struct SimulatedReplica {
    std::string name;
    std::string model;
    std::int64_t capacity = 3;
    std::int64_t memory = 30'000;
    std::int64_t running = 0, active = 0, used = 0;
    bool up = true;
    bool changing = false;
    std::string weights = "w0";
    std::uint64_t life = 1;
    std::uint64_t fence = 0;
    std::uint64_t fence_ever = 0;                  // over all lives: for the verdict alone
    std::map<std::uint64_t, std::string> holders;  // by fence, over all lives
    Microseconds drained_at = -1;
    std::map<std::uint64_t, KeptMemory> kept;
    std::vector<PrefixEvent> events;
    std::uint64_t next_event = 0;
    std::set<std::string> seen;  // run-once identities
    std::deque<std::function<void()>> waiting;
    bool repeats_a_piece = false;

    auto free() const -> std::int64_t { return memory - used; }
    auto report() const -> ReplicaReport;
    auto clear_kept() -> void;
};

}  // namespace dockrock::simulation

#pragma once
// Named scenarios of the control machines in fleets that are not told how many core nodes there are:
// machines cut off, changes that race, losses one after another, many changes. docs/design.md section 15.
#include "operators.hpp"

namespace dockrock::simulation {

enum class ScenarioKind { cutoff, race, losses, many };

struct ScenarioOptions {
    ScenarioKind kind = ScenarioKind::cutoff;
    std::uint64_t seed = 1;
    std::size_t cores = 4;
    std::size_t losses = 1;
    std::size_t areas = 4;
    bool edges_lose_power = false;  // at the end of `losses`, with the disks and the power of the others
    std::function<void(WorldOptions&)> plant;
};

struct ScenarioResult {
    std::vector<std::string> violations;
    std::vector<std::string> trace;
    std::size_t changes = 0;
    std::size_t acknowledged = 0;
    std::size_t sends = 0;
    std::size_t faults = 0;
    std::size_t faults_healed = 0;
    std::uint64_t reads = 0;
    Microseconds longest_without_leader = 0;   // while voters enough and a member of the group were in touch
    std::vector<Microseconds> without_leader;  // each such time
    std::vector<Microseconds> waits;           // until a change was acknowledged
    std::vector<Microseconds> bearing;         // from a loss's return until the next can be borne
};

// The course of one scenario: the world, its operators, and what is watched all the time.
struct Scenario {
    ScenarioOptions options;
    World world;
    Operators operators;
    Random random;
    ScenarioResult result;
    std::vector<std::size_t> cores;      // the nodes that are core machines of the fleet now
    Microseconds leaderless_since = -1;  // -1: there is a leader, or can be none
    Microseconds change_interval = 0;    // 0: no changes
    Microseconds next_change = 0;

    explicit Scenario(ScenarioOptions const& given);
    auto run() -> ScenarioResult;

    auto run_for(Microseconds length) -> void;
    auto run_until(std::function<bool()> const& condition, Microseconds limit) -> bool;
    auto form() -> void;
    auto finish(Microseconds limit) -> void;  // calm, and what is judged at the end
    auto watch() -> void;
    auto any_node() -> std::size_t;
    auto any_core() -> std::size_t { return cores[random.below(cores.size())]; }
    auto members() -> std::vector<std::size_t>;  // of the configuration's group, its leader first
    auto lose(std::size_t index, bool wipe, Microseconds away) -> void;
    auto taken_change() const -> std::string;  // the identity of the newest that was acknowledged
    auto slow_disks() -> void;
    auto lose_power(std::set<std::size_t> const& wiped, Microseconds away) -> void;
    // Of all machines without a disk: at the same moment as the others, for about as long.
    auto lose_power_of_edges(Microseconds away) -> void;
    auto recover_limit() const -> Microseconds;
    auto catch_up_limit() const -> Microseconds;
    auto await_bearable(Microseconds limit) -> bool;

    auto cutoff() -> void;
    auto race() -> void;
    auto losses() -> void;
    auto many() -> void;
};

auto run_scenario(ScenarioOptions const& options) -> ScenarioResult;

}  // namespace dockrock::simulation

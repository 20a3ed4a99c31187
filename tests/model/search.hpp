#pragma once
// Search over all runs of a modelled world that deviate from the default
// schedule at most a given number of times; and random runs for depth.
#include "schedule.hpp"

namespace dockrock::model {

// Where a run left the default: at which step, and which choice it took there.
struct Deviation {
    std::size_t step = 0;
    std::size_t choice = 0;
};

struct Found {
    std::vector<std::string> violations;  // empty: none
    std::vector<Deviation> path;
    std::size_t states = 0;
    std::size_t steps = 0;
    std::size_t longest = 0;  // steps of the longest run
    double seconds = 0;
    bool complete = true;  // false: ended by the bound on states
};

struct SearchOptions {
    Limits limits;
    int deviations = 1;
    std::size_t threads = 4;
    std::size_t most_states = 50'000'000;
    std::vector<Deviation> begin;  // a run up to its last deviation, from where the search goes on
};
// All runs with at most that many deviations, states seen before left out.
auto search(Setup const& setup, SearchOptions const& options) -> Found;

struct WalkOptions {
    Limits limits;
    std::uint64_t seed = 1;
    int percent = 12;  // of the steps that deviate
};
// One random run.
auto walk(Setup const& setup, WalkOptions const& options) -> Found;

// Runs a path again, with a line for each step.
auto replay(Setup const& setup, Limits const& limits, std::vector<Deviation> const& path) -> std::vector<std::string>;
auto write_path(std::vector<Deviation> const& path) -> std::string;
auto read_path(std::string_view text) -> std::vector<Deviation>;

}  // namespace dockrock::model

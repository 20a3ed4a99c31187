#pragma once
// What may happen next in a modelled world. The first choice is what happens
// where nothing goes wrong: disks answer, messages arrive in order, then all
// tick, then operators ask, then time goes on. All others deviate from that:
// the search bounds their number. A fault of a node is offered only where that
// node is about to act, as between two acts of it the moment changes nothing.
#include "world.hpp"

namespace dockrock::model {

enum class Step : int {
    deliver,
    sync,
    tick,
    submit,
    advance,
    hold,  // the message is delayed until it is released
    release,
    drop,
    duplicate,  // delivered, and once more later
    submit_later,
    advance_early,
    tick_early,  // before messages that are there
    crash_lose,  // what was not synced is gone
    crash_keep,  // it reached the disk all the same
    lose_disk,   // comes back blank, under another identity
    restart,
    freeze,
    thaw,
    cut,
    heal,
    stall_disk,
    unstall_disk,
    fail_disk,
    suspect,
    trust,
    stop,  // politely: hands over first
};
inline constexpr auto step_names = std::to_array<std::string_view>(
    {"deliver",      "sync",      "tick",         "submit",        "advance",    "hold",       "release",
     "drop",         "duplicate", "submit-later", "advance-early", "tick-early", "crash-lose", "crash-keep",
     "lose-disk",    "restart",   "freeze",       "thaw",          "cut",        "heal",       "stall-disk",
     "unstall-disk", "fail-disk", "suspect",      "trust",         "stop"});

struct Choice {
    Step step = Step::advance;
    std::size_t subject = 0;  // node, message or operator
    std::size_t target = 0;   // node of a submission
    int cost = 0;             // of the bound on deviations
};

struct Limits {
    int each = 1;     // faults of one kind, at most
    int at_once = 1;  // nodes crashed, frozen or cut off at one time
    Microseconds length = 12 * unit;
    std::set<Step> only;  // empty: all kinds of deviation
};

// The first is what happens by default; none where the world's time is over.
auto choices(World const& world, Limits const& limits) -> std::vector<Choice>;
auto apply(World& world, Choice const& choice) -> void;
auto describe(World const& world, Choice const& choice) -> std::string;

}  // namespace dockrock::model

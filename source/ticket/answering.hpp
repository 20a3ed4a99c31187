#pragma once
// What follows a try, and the order of an answer's pieces. Pure: the
// connection and the simulator both run this. docs/design.md section 10.
#include <optional>
#include <string>
#include <string_view>

#include "base/basics.hpp"

namespace dockrock {

enum class TryEnd : int {
    answered,
    did_not_run,
    not_sent,
    unknown_before,
    broken_after,
    caller_gone,
    broken_resumable,  // whole events went out, and another replica may go on after the last
    answered_failure,  // the replica's own failure: it ran
};
enum class NextStep : int { finished, enter_again, answer_unknown, answer_seen };

// Another try only where the last is known not to have run, or where the
// caller allowed repeats and no byte went out.
constexpr auto next_step(TryEnd end, bool run_once, std::string_view reason) -> NextStep {
    if (end == TryEnd::did_not_run && reason == "seen") return NextStep::answer_seen;
    if (end == TryEnd::did_not_run || end == TryEnd::not_sent) return NextStep::enter_again;
    if (end == TryEnd::broken_resumable) return NextStep::enter_again;
    if (end == TryEnd::unknown_before) return run_once ? NextStep::answer_unknown : NextStep::enter_again;
    return NextStep::finished;
}

// Checks the numbering of the pieces as they pass: nothing lost, nothing twice.
struct PieceReader {
    std::string rest;
    std::uint64_t next = 0;
    bool done = false;
    bool wrong = false;

    auto take(std::string_view bytes) -> std::string;  // whole lines to relay
};

}  // namespace dockrock

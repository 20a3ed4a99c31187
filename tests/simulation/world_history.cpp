// What the simulator's operators asked and were told, for the judge of histories.
#include "world.hpp"

namespace dockrock::simulation {

auto World::asked(history::CallRecord call) -> std::size_t {
    call.called = now;
    call.answer = history::Answer::unknown;
    history.push_back(std::move(call));
    return history.size() - 1;
}

auto World::answered(std::size_t place, CallDone const& done) -> void {
    auto& call = history[place];
    call.answered = now;
    call.answer = history::answer_of(done.status);
    if (call.answer != history::Answer::done) return;
    call.version = history::read_version(done.etag).value_or(Sequence());
    if (call.operation == history::Operation::read) call.value = done.body;
}

auto World::judge_history() -> void {
    auto const judged = history::judge(history);
    if (judged.verdict == history::Verdict::broken)
        violation("the operators' history is not linearizable: " + judged.why);
    if (judged.verdict == history::Verdict::undecided) note("the operators' history is too long to be judged");
}

}  // namespace dockrock::simulation

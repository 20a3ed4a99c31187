// Rules on what came back to a client.
#include "judge.hpp"

namespace dockrock::platform_stand_in {

namespace {
constexpr auto promises = std::array<std::int64_t, 4>{408, 421, 429, 503};

auto is_success(std::int64_t status) -> bool { return status >= 200 && status < 300; }

// The pieces of one answer: numbered on without a gap, from the run that the
// seal names, or going on at another run that was asked to start right there.
auto judge_stream(Court& court, Sent const& sent, Answer const& answer, Seal const& seal) -> void {
    auto const& name = sent.identity;
    auto const events = read_events(answer.body);
    auto next = sent.last_event + 1;
    auto last = std::int64_t{-1};
    auto run = seal.run;
    auto runs = 1;
    for (auto const& event : events) {
        auto const data = read_event_data(event.data);
        if (!data || data->number != event.number) {
            court.judge(Rule::mixed, false, name + ": an event that no replica wrote");
            return;
        }
        if (event.number != next) {
            court.judge(
                Rule::order, false,
                name + ": event " + std::to_string(event.number) + " where " + std::to_string(next) + " was due");
            return;
        }
        if (data->run != run) {
            auto const found = court.runs.find(data->run);
            auto const known = found != court.runs.end();
            if (!known || found->second->identity != name) {
                court.judge(Rule::mixed, false, name + ": an event of " + data->run);
                return;
            }
            auto const goes_on = sent.resume && found->second->last_event == next - 1;
            court.judge(Rule::order, goes_on, name + ": pieces of " + run + " and " + data->run);
            if (!goes_on) return;
            run = data->run;
            ++runs;
        }
        last = data->last;
        ++next;
    }
    court.judge(Rule::order, true, name);
    if (!answer.complete) return;
    auto const ended = events.empty() ? seal.size == 0 : next == last + 1;
    court.judge(Rule::order, ended, name + ": ends as complete before its last event");
    if (runs == 1) court.judge(Rule::mixed, seal_fits_events(seal, events), name + ": the body is not its run's");
}

auto judge_success(Court& court, Sent const& sent, Answer const& answer) -> void {
    auto const& name = sent.identity;
    auto const seal = read_seal(answer.seal);
    court.judge(Rule::mixed, seal.has_value(), name + ": a success without a seal");
    if (!seal) return;
    auto const run = court.runs.find(seal->run);
    auto const known = run != court.runs.end();
    auto const own = known && run->second->identity == name;
    court.judge(Rule::mixed, own, name + ": the seal is of another request's run, " + seal->run);
    if (!own) return;
    auto const success = is_success(run->second->status) && seal->status == answer.status;
    court.judge(Rule::mixed, success, name + ": a success where the replica had failed");
    if (sent.stream) return judge_stream(court, sent, answer, *seal);
    if (answer.complete)
        court.judge(Rule::mixed, seal_fits_body(*seal, answer.body), name + ": not the replica's whole body");
}
}  // namespace

auto judge_answers(Court& court) -> void {
    for (auto const& answer : court.record.answers) {
        auto const found = court.sent.find(answer.identity);
        if (found == court.sent.end()) continue;
        auto const& sent = *found->second;
        auto const& name = sent.identity;
        auto const runs = court.by_sent.find(name);
        auto const ran = runs != court.by_sent.end();
        auto const broke = ran && std::any_of(runs->second.begin(), runs->second.end(), [](auto const* run) {
                               return run->broke && !run->spoiled;
                           });
        if (answer.extra) court.judge(Rule::mixed, false, name + ": more after its answer");
        if (answer.malformed) court.judge(Rule::mixed, broke, name + ": bytes that are no answer");
        if (answer.status == 0) continue;
        auto const echoes = answer.echoed.empty() || answer.echoed == name;
        court.judge(Rule::mixed, echoes, name + ": the answer of " + answer.echoed);
        if (is_success(answer.status)) {
            court.judge(Rule::mixed, answer.encoding.empty(), name + ": a body in another encoding");
            judge_success(court, sent, answer);
        }
        auto const promised = std::find(promises.begin(), promises.end(), answer.status) != promises.end();
        if (promised && !sent.repeatable)
            court.judge(Rule::refused, !ran, name + ": " + std::to_string(answer.status) + " and a run");
    }
}

}  // namespace dockrock::platform_stand_in

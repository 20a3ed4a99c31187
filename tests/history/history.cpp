#include "history.hpp"

#include <boost/container_hash/hash.hpp>
#include <boost/dynamic_bitset.hpp>
#include <boost/unordered/unordered_flat_set.hpp>
#include <charconv>
#include <limits>
#include <set>

namespace dockrock::history {

namespace {

constexpr auto never = std::numeric_limits<Microseconds>::max();

struct Register {
    Sequence version;
    std::string value;
    std::map<std::string, Sequence> made;  // writes in force, by identity
};

struct Place {
    boost::dynamic_bitset<std::uint64_t> placed;
    Register held;
};

// As the register would answer it: the state after, or nothing where it could not.
auto write(Register held, CallRecord const& call) -> std::optional<Register> {
    auto const made = held.made.find(call.identity);
    if (call.answer == Answer::refused) return made == held.made.end() ? std::optional(std::move(held)) : std::nullopt;
    if (made != held.made.end()) {
        auto const same = call.answer != Answer::done || made->second == call.version;
        return same ? std::optional(std::move(held)) : std::nullopt;
    }
    if (call.base && *call.base < held.version) return std::nullopt;
    if (call.version <= held.version) return std::nullopt;
    held.version = call.version;
    held.value = call.value;
    held.made[call.identity] = call.version;
    return held;
}

auto read(Register held, CallRecord const& call) -> std::optional<Register> {
    if (call.value != held.value || call.version < held.version) return std::nullopt;
    held.version = call.version;
    return held;
}

auto step(Register const& held, CallRecord const& call) -> std::optional<Register> {
    return call.operation == Operation::write ? write(held, call) : read(held, call);
}

auto hash_of(Place const& place) -> std::size_t {
    auto seed = boost::hash_value(place.placed);
    boost::hash_combine(seed, place.held.version.term);
    boost::hash_combine(seed, place.held.version.number);
    boost::hash_combine(seed, place.held.value);
    return seed;
}

auto describe(CallRecord const& call) -> std::string {
    auto text = call.operation == Operation::write ? "write " + call.identity : std::string("read");
    if (call.base) text += " on " + etag_of(*call.base);
    if (call.answer == Answer::done) text += " gave " + etag_of(call.version);
    if (call.answer == Answer::refused) text += " was refused";
    if (call.answer == Answer::unknown) text += " was not answered";
    return text + " (" + std::to_string(call.called) + " to " +
        (call.answered == never ? "-" : std::to_string(call.answered)) + ")";
}

// A write of unknown outcome that nobody has seen may as well never have been
// made. One that was seen took the version that another answer under its
// identity names, or the least that a reader of its value was given.
auto settle_unknown(History& history) -> void {
    auto seen = std::map<std::string, Sequence>();
    auto named = std::map<std::string, Sequence>();
    for (auto const& call : history) {
        if (call.answer != Answer::done) continue;
        if (call.operation == Operation::write) named[call.identity] = call.version;
        else if (auto const [place, fresh] = seen.try_emplace(call.value, call.version); !fresh)
            place->second = std::min(place->second, call.version);
    }
    for (auto& call : history) {
        if (call.answer != Answer::unknown) continue;
        call.answered = never;
        if (auto const known = named.find(call.identity); known != named.end()) call.version = known->second;
        else if (auto const read = seen.find(call.value); read != seen.end()) call.version = read->second;
    }
    std::erase_if(history, [](auto const& call) {
        return call.answer == Answer::nothing || (call.answer == Answer::unknown && call.version == Sequence()) ||
            (call.operation == Operation::read && call.answer != Answer::done);
    });
}

// The calls that may come next: asked before any of the others was answered.
auto candidates(History const& history, Place const& place) -> std::vector<std::size_t> {
    auto first_answer = never;
    std::vector<std::size_t> list;
    for (auto index = std::size_t{0}; index < history.size() && history[index].called <= first_answer; ++index) {
        if (place.placed[index]) continue;
        list.push_back(index);
        first_answer = std::min(first_answer, history[index].answered);
    }
    std::erase_if(list, [&](auto index) { return history[index].called > first_answer; });
    return list;
}

auto all_answered_placed(History const& history, Place const& place) -> bool {
    for (auto index = std::size_t{0}; index < history.size(); ++index)
        if (!place.placed[index] && history[index].answer != Answer::unknown) return false;
    return true;
}

}  // namespace

auto judge(History history, std::size_t limit) -> Judgement {
    settle_unknown(history);
    std::stable_sort(
        history.begin(), history.end(), [](auto const& left, auto const& right) { return left.called < right.called; });
    Judgement judgement;
    auto most_placed = std::size_t{0};
    auto seen = boost::unordered_flat_set<std::size_t>();
    auto open = std::vector<Place>{{boost::dynamic_bitset<std::uint64_t>(history.size()), {}}};
    while (!open.empty()) {
        auto const place = std::move(open.back());
        open.pop_back();
        if (!seen.insert(hash_of(place)).second) continue;
        if (++judgement.states > limit) return {Verdict::undecided, "too many states", judgement.states};
        if (all_answered_placed(history, place)) return {Verdict::linearizable, "", judgement.states};
        auto const next = candidates(history, place);
        if (auto const count = place.placed.count(); judgement.why.empty() || count > most_placed) {
            most_placed = count;
            judgement.why = "at " + etag_of(place.held.version) + " none of these can come next:";
            for (auto index : next) judgement.why += "\n  " + describe(history[index]);
        }
        for (auto index = next.rbegin(); index != next.rend(); ++index) {
            auto after = step(place.held, history[*index]);
            if (!after) continue;
            auto placed = place.placed;
            placed.set(*index);
            open.push_back({std::move(placed), std::move(*after)});
        }
    }
    judgement.verdict = Verdict::broken;
    return judgement;
}

auto read_version(std::string_view etag) -> std::optional<Sequence> {
    Sequence version;
    auto const dot = etag.find('.');
    if (etag.size() < 5 || etag.front() != '"' || etag.back() != '"' || dot == std::string_view::npos)
        return std::nullopt;
    auto const term = std::from_chars(etag.data() + 1, etag.data() + dot, version.term);
    auto const number = std::from_chars(etag.data() + dot + 1, etag.data() + etag.size() - 1, version.number);
    if (term.ec != std::errc() || number.ec != std::errc()) return std::nullopt;
    return version;
}

auto answer_of(int status) -> Answer {
    if (status == 200) return Answer::done;
    if (status == 503) return Answer::nothing;
    if (status == 0 || status == 504) return Answer::unknown;
    return Answer::refused;
}

}  // namespace dockrock::history

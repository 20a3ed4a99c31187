// The judge of operators' histories: what it accepts, and each planted fault that it refuses.
#include "history/history.hpp"

#include <catch2/catch.hpp>

using namespace dockrock;
using namespace dockrock::history;

namespace {

auto write(Microseconds called, Microseconds answered, std::string identity, Sequence base, Sequence version)
    -> CallRecord {
    return {Operation::write, Answer::done, called, answered, identity, "value of " + identity, base, version};
}
auto with_answer(CallRecord call, Answer answer) -> CallRecord {
    call.answer = answer;
    call.version = {};
    return call;
}
auto read(Microseconds called, Microseconds answered, std::string const& identity, Sequence version) -> CallRecord {
    return {Operation::read, Answer::done, called, answered, "", "value of " + identity, std::nullopt, version};
}
auto verdict(History const& history) -> Verdict { return judge(history).verdict; }

constexpr auto zero = Sequence{};
constexpr auto one = Sequence{1, 1};
constexpr auto two = Sequence{1, 2};
constexpr auto three = Sequence{1, 3};

}  // namespace

TEST_CASE("history: writes one after another, reads between, a version moved by a new leader") {
    CHECK(verdict({}) == Verdict::linearizable);
    CHECK(
        verdict(
            {write(1, 2, "a", zero, one), read(3, 4, "a", one), read(5, 6, "a", {2, 2}),
             write(7, 8, "b", {2, 2}, {2, 3}), read(9, 10, "b", {2, 3})}) == Verdict::linearizable);
}

TEST_CASE("history: calls that overlap may come in either order") {
    CHECK(
        verdict(
            {write(1, 10, "a", zero, one), write(1, 10, "b", one, two), read(2, 9, "a", one), read(2, 9, "b", two)}) ==
        Verdict::linearizable);
}

TEST_CASE("history: a write of unknown outcome may have been made, late too, or never") {
    auto const unknown = with_answer(write(1, 2, "a", zero, one), Answer::unknown);
    CHECK(verdict({unknown, write(3, 4, "b", zero, two)}) == Verdict::linearizable);
    CHECK(verdict({unknown, read(5, 6, "a", one)}) == Verdict::linearizable);
    CHECK(verdict({unknown, write(3, 4, "a", zero, one), read(5, 6, "a", one)}) == Verdict::linearizable);
    CHECK(
        verdict({unknown, write(3, 4, "b", zero, one), read(5, 6, "a", two)}) == Verdict::broken);  // its base is gone
}

TEST_CASE("history: a repeat has the first one's answer, also after later writes") {
    CHECK(
        verdict(
            {write(1, 2, "a", zero, one), write(3, 4, "b", one, two), write(5, 6, "a", zero, one),
             read(7, 8, "b", two)}) == Verdict::linearizable);
    CHECK(verdict({write(1, 2, "a", zero, one), write(5, 6, "a", zero, two)}) == Verdict::broken);
}

TEST_CASE("history: planted, a stale read") {
    CHECK(verdict({write(1, 2, "a", zero, one), write(3, 4, "b", one, two), read(5, 6, "a", one)}) == Verdict::broken);
    CHECK(verdict({write(1, 2, "a", zero, one), read(3, 4, "a", three), read(5, 6, "a", two)}) == Verdict::broken);
}

TEST_CASE("history: planted, two winners under one base") {
    CHECK(verdict({write(1, 9, "a", zero, one), write(1, 9, "b", zero, two)}) == Verdict::broken);
    CHECK(
        verdict({write(1, 2, "a", zero, one), write(3, 9, "b", one, two), write(3, 9, "c", one, three)}) ==
        Verdict::broken);
}

TEST_CASE("history: planted, a repeat refused though its change stands") {
    auto const refused = with_answer(write(5, 6, "a", zero, one), Answer::refused);
    CHECK(verdict({write(1, 2, "a", zero, one), refused}) == Verdict::broken);
    auto const nothing = with_answer(write(5, 6, "a", zero, one), Answer::nothing);
    CHECK(verdict({write(1, 2, "a", zero, one), nothing}) == Verdict::linearizable);
}

TEST_CASE("history: planted, an acknowledged change lost") {
    CHECK(verdict({write(1, 2, "a", zero, one), write(3, 4, "b", one, two), read(5, 6, "a", two)}) == Verdict::broken);
    CHECK(
        verdict({write(1, 2, "a", zero, one), write(3, 4, "b", one, two), write(5, 6, "c", one, three)}) ==
        Verdict::broken);
}

TEST_CASE("history: planted, a refused change in force") {
    auto const refused = with_answer(write(3, 4, "b", zero, one), Answer::refused);
    CHECK(verdict({write(1, 2, "a", zero, one), refused, read(5, 6, "b", two)}) == Verdict::broken);
}

TEST_CASE("history: hundreds of calls are judged within few states; too many are said to be undecided") {
    History history;
    auto version = Sequence{1, 0};
    for (auto number = 0; number < 300; ++number) {
        auto const base = version;
        ++version.number;
        auto const name = std::to_string(number);
        history.push_back(write(number * 10, number * 10 + 15, name, base, version));
        history.push_back(with_answer(write(number * 10, 0, "lost " + name, base, {}), Answer::unknown));
        history.push_back(read(number * 10 + 16, number * 10 + 19, name, version));
    }
    auto const judged = judge(history);
    CHECK(judged.verdict == Verdict::linearizable);
    CHECK(judged.states < 5'000);
    CHECK(judge(history, 10).verdict == Verdict::undecided);
    CHECK(read_version("\"3.14\"") == Sequence{3, 14});
    CHECK_FALSE(read_version("3.14"));
}

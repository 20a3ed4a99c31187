#pragma once
// Operators' calls and answers, judged for linearizability: is there one order
// of all calls, each between its question and its answer, in which a register
// with conditional writes and idempotent repeats would have answered the same?
// Wing and Gong's search, with states seen before left out (Lowe).
#include <optional>

#include "base/records.hpp"

namespace dockrock::history {

enum class Operation : int { write, read };
enum class Answer : int {
    done,     // the write is in force, or the read gave value and version
    refused,  // nothing was changed by this call, and its change is not in force
    nothing,  // no leader was found: this call changed nothing, the change itself may stand already
    unknown,  // it may have taken effect, or will yet, or never
};

struct CallRecord {
    Operation operation = Operation::write;
    Answer answer = Answer::unknown;
    Microseconds called = 0;
    Microseconds answered = 0;
    std::string identity;          // of a write: sent again under it, it is made once
    std::string value;             // written or read
    std::optional<Sequence> base;  // the version on which a write depends
    Sequence version;              // what the answer named
};
using History = std::vector<CallRecord>;

enum class Verdict : int { linearizable, broken, undecided };
struct Judgement {
    Verdict verdict = Verdict::linearizable;
    std::string why;         // the calls that no order could go on with
    std::size_t states = 0;  // visited by the search
};

inline constexpr auto most_states = std::size_t{2'000'000};

// Versions rise with each write, and may rise between writes: a new leader moves them.
auto judge(History history, std::size_t limit = most_states) -> Judgement;

// `"term.number"`, as the product writes it; nothing where the text is none.
auto read_version(std::string_view etag) -> std::optional<Sequence>;
// What a status says of a change.
auto answer_of(int status) -> Answer;

}  // namespace dockrock::history

#include "base/invariants.hpp"

#include <atomic>

namespace dockrock::invariants {

namespace {

auto counts() -> std::array<std::atomic<std::uint64_t>, invariant_count>& {
    static std::array<std::atomic<std::uint64_t>, invariant_count> all{};
    return all;
}
std::atomic<Sink> current_sink{nullptr};
thread_local std::uint64_t thread_violations = 0;
thread_local std::string last_violation;

}  // namespace

auto set_sink(Sink sink) -> void { current_sink = sink; }

auto count(Invariant which) -> std::uint64_t { return counts()[static_cast<std::size_t>(which)].load(); }

auto total() -> std::uint64_t {
    auto sum = std::uint64_t{0};
    for (auto const& one : counts()) sum += one.load();
    return sum;
}

auto violations_on_this_thread() -> std::uint64_t { return thread_violations; }

auto last_violation_on_this_thread() -> std::string const& { return last_violation; }

auto describe(Invariant which, InvariantFacts facts) -> std::string {
    auto text = std::string(name_of(which));
    for (auto const& fact : facts) text.append(" ").append(fact.name).append(" ").append(std::to_string(fact.value));
    return text;
}

auto violated(Invariant which, InvariantFacts facts) -> void {
    ++counts()[static_cast<std::size_t>(which)];
    ++thread_violations;
    last_violation = describe(which, facts);
    if (auto const sink = current_sink.load(); sink != nullptr) sink(which, facts);
}

}  // namespace dockrock::invariants

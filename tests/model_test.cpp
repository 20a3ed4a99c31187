// The model checker: nothing is broken within its bounds, and each planted fault is found.
// docs/consensus.md.
#include <catch2/catch.hpp>

#include "model/search.hpp"

using namespace dockrock;
using namespace dockrock::model;

namespace {

constexpr auto walk_length = 60 * unit;
constexpr auto no_bound = 1'000;

auto walk_setup(std::size_t nodes, std::size_t losses, Planted planted) -> Setup {
    return {nodes, losses, 0, planted, 0, 20};
}

auto walks(Setup setup, std::uint64_t count) -> Found {
    auto const limits = Limits{no_bound, 2, walk_length, {}};
    auto total = Found();
    for (auto seed = std::uint64_t{1}; seed <= count && total.violations.empty(); ++seed) {
        setup.salt = seed;
        auto found = walk(setup, {limits, seed});
        total.steps += found.steps;
        total.violations = std::move(found.violations);
        total.path = std::move(found.path);
    }
    return total;
}

// Found by one deviation from the schedule, or else by random walks; and by nothing but its invariant first.
auto is_caught(Planted planted, std::string const& invariant) -> bool {
    auto const named = [&](Found const& found) {
        return std::any_of(found.violations.begin(), found.violations.end(), [&](auto const& text) {
            return text.starts_with(invariant);
        });
    };
    for (auto nodes : {std::size_t{3}, std::size_t{4}}) {
        auto const found = search(Setup{nodes, 1, 0, planted}, {{}, 1, 2, 300'000, {}});
        if (!found.violations.empty()) return named(found);
        auto const walked = walks(walk_setup(nodes, 1, planted), 6'000);
        if (!walked.violations.empty()) return named(walked);
    }
    return false;
}

struct Case {
    Planted planted;
    char const* invariant;
};
constexpr auto cases = std::to_array<Case>({
    {Planted::acknowledged_before_sync, "durability"},
    {Planted::follower_not_asked, "commit"},
    {Planted::copy_kept_in_memory, "commit"},
    {Planted::new_member_not_given, "commit"},
    {Planted::seal_forgotten, "commit"},
    {Planted::vote_while_granting, "lease"},
    {Planted::lease_longer_than_grant, "lease"},
    {Planted::lease_from_arrival, "lease"},
    {Planted::restarted_voter_does_not_wait, "lease"},
    {Planted::answers_without_lease, "lease"},
    {Planted::promises_not_saved, "lease"},
    {Planted::outcomes_dropped, "durability"},
    {Planted::condition_ignored, "base"},
    {Planted::old_copy_served, "read"},
    {Planted::group_too_small, "group size"},
});

}  // namespace

TEST_CASE("model: one deviation at any moment breaks no invariant; all states of it are searched") {
    auto const small = search(Setup{3, 1}, {{}, 1, 4, 50'000'000, {}});
    INFO(small.states << " states in " << small.seconds << " s");
    CHECK(small.violations.empty());
    CHECK(small.complete);
    CHECK(small.states > 100'000);
}

TEST_CASE("model: random walks through many faults break no invariant") {
    for (auto const& [nodes, losses] : {std::pair{3, 1}, std::pair{4, 1}, std::pair{5, 2}}) {
        auto const setup = walk_setup(static_cast<std::size_t>(nodes), static_cast<std::size_t>(losses), Planted::none);
        auto const found = walks(setup, 400);
        INFO((found.violations.empty() ? std::string() : found.violations.front() + " " + write_path(found.path)));
        CHECK(found.violations.empty());
        CHECK(found.steps > 100'000);
    }
}

TEST_CASE("model: each planted fault is caught by its invariant") {
    REQUIRE(cases.size() + 2 == planted_names.size());  // none, and the one of two proposers
    for (auto const& [planted, invariant] : cases) {
        INFO(planted_names[static_cast<std::size_t>(planted)]);
        CHECK(is_caught(planted, invariant));
    }
}

// The leader's last change reaches one follower of two, then it ends; both followers propose, each
// with a majority's promise before it hears of the other.
TEST_CASE("model: with two proposers the highest ballot's copy stays; one that gives way is caught") {
    auto options = SearchOptions{{9, 1, 12 * unit, {}}, 1, 2, 50'000'000, read_path("86:2,89:5,103:5,116:2")};
    CHECK(search(Setup{5, 2}, options).violations.empty());
    auto const found = search(Setup{5, 2, 0, Planted::lower_offer_taken}, options);
    REQUIRE_FALSE(found.violations.empty());
    CHECK(found.violations.front().starts_with("commit"));
}

TEST_CASE("model: a path that broke an invariant breaks it again, told step by step") {
    auto const setup = Setup{3, 1, 0, Planted::new_member_not_given};
    auto const found = search(setup, {{}, 1, 1, 50'000'000, {}});
    REQUIRE_FALSE(found.violations.empty());
    auto const lines = replay(setup, {}, read_path(write_path(found.path)));
    CHECK(std::count(lines.begin(), lines.end(), "broken: " + found.violations.front()) == 1);
}

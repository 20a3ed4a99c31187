// Setting scheduler options by name. docs/design.md section 9.6.
#include "helpers.hpp"
#include "scheduling/options.hpp"

using namespace dockrock;

TEST_CASE("scheduling options are set by name, times in milliseconds") {
    SchedulingOptions options;
    CHECK(set_scheduling_options({"depth=5", "digest_interval=50", "copy_cost=0.5", "idle_open=1"}, options).empty());
    CHECK(options.depth == 5);
    CHECK(options.digest_interval == 50 * one_millisecond);
    CHECK(options.copy_cost == 0.5);
    CHECK(options.idle_open);
}

TEST_CASE("an unknown scheduling option and a value out of range are refused by name, the others are set") {
    SchedulingOptions options;
    auto const items = std::vector<std::string>{"depht=5",    "depth=0",        "idle_open=2", "copy_cost=x",
                                                "multiplier", "multiplier=2.5", "depth=7",     "share_bound=nan"};
    auto const problems = set_scheduling_options(items, options);
    std::vector<std::string> paths;
    for (auto const& problem : problems) paths.push_back(problem.path);
    CHECK(
        paths ==
        std::vector<std::string>{
            "/scheduling/depht", "/scheduling/depth", "/scheduling/idle_open", "/scheduling/copy_cost",
            "/scheduling/multiplier", "/scheduling/multiplier", "/scheduling/share_bound"});
    CHECK(options.depth == 7);
    CHECK(options.multiplier == SchedulingOptions().multiplier);
}

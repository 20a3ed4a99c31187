// Sums of load and their compact encoding. docs/design.md 9.8.
#include <catch2/catch.hpp>

#include "control/load.hpp"

using namespace dockrock;

namespace {

auto some_loads(Random& random, std::size_t most) -> Loads {
    Loads loads;
    for (auto number = std::size_t{0}; number < most; ++number) {
        if (random.below(3) == 0) continue;
        Load load;
        load.count = static_cast<std::int64_t>(random.below(40));
        load.slots = static_cast<std::int64_t>(random.below(60));
        load.memory = static_cast<std::int64_t>(random.below(200'000));
        load.recent = static_cast<std::int64_t>(random.below(9));
        load.aged = static_cast<std::int64_t>(random.below(5'000));
        load.nodes = static_cast<std::int64_t>(random.below(90));
        load.old_nodes = static_cast<std::int64_t>(random.below(2));
        load.old_slots = load.old_nodes * static_cast<std::int64_t>(random.below(9));
        loads.push_back({"i-" + std::to_string(100'000 + number), load});
    }
    return loads;
}

}  // namespace

TEST_CASE("loads survive encoding and decoding, whole and as differences") {
    auto random = Random{11};
    for (auto round = 0; round < 300; ++round) {
        auto const base = some_loads(random, 40);
        auto fresh = random.below(3) == 0 ? some_loads(random, 40) : base;
        for (auto& item : fresh)
            if (random.below(4) == 0) item.load.slots += 1;
        CHECK(read_loads(write_loads(fresh)) == fresh);
        auto const difference = write_loads_difference(base, fresh);
        CHECK(apply_loads_difference(base, difference) == fresh);
    }
    auto const same = some_loads(random, 1'000);
    CHECK(write_loads_difference(same, same).size() == 3);  // unchanged entries cost no bytes
    CHECK(read_loads(write_loads({})) == Loads{});
}

TEST_CASE("a damaged text of loads is always detected") {
    auto random = Random{12};
    auto taken = 0;
    for (auto round = 0; round < 4'000; ++round) {
        auto const base = some_loads(random, 12);
        auto const whole = random.below(2) == 0;
        auto text = whole ? write_loads(base) : write_loads_difference(base, some_loads(random, 12));
        if (text.empty()) continue;
        if (random.below(2) == 0) text.resize(random.below(text.size()));
        else text[random.below(text.size())] = static_cast<char>(random.below(256));
        auto const read = whole ? read_loads(text) : apply_loads_difference(base, text);
        if (!read) continue;
        ++taken;  // other numbers, but valid: sorted, no duplicate names
        for (auto place = std::size_t{1}; place < read->size(); ++place)
            CHECK((*read)[place - 1].name < (*read)[place].name);
    }
    CHECK(taken < 4'000);
    CHECK_FALSE(read_loads(""));
    CHECK_FALSE(read_loads("\"\\"));
    CHECK_FALSE(read_loads(write_loads({{"b", {}}, {"a", {}}})));  // not in order
    CHECK_FALSE(read_loads("zzzzzzzzzzzz"));
}

TEST_CASE("loads are summed by name, and age like their reports") {
    auto const left = Loads{{"a", {2, 3, 10, 1, 100, 1}}, {"c", {1, 1, 5, 0, 0, 1}}};
    auto const right = Loads{{"b", {4, 4, 7, 2, 0, 1}}, {"c", {1, 2, 6, 3, 50, 1}}};
    auto const sum = add_loads(left, right);
    REQUIRE(sum.size() == 3);
    CHECK(*find_load(sum, "c") == Load{2, 3, 11, 3, 50, 2});
    CHECK(find_load(sum, "d") == nullptr);
    auto const later = age_loads(sum, 200, false);
    CHECK(find_load(later, "c")->aged == 650);
    auto const old = age_loads(sum, 2'000, true);
    CHECK(find_load(old, "c")->old_nodes == 2);
    CHECK(find_load(old, "c")->old_slots == 3);
    CHECK(find_load(old, "c")->recent == 0);
}

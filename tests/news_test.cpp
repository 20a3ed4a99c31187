// Document updates as differences. docs/design.md section 8.
#include "world_helpers.hpp"

using namespace dockrock;
using namespace dockrock::simulation;

namespace {
auto held(std::string document) -> PartitionView {
    PartitionView item;
    item.copy.sequence = {1, 1};
    item.copy.document = std::move(document);
    return item;
}
auto next_of(PartitionView item, std::string document) -> PartitionView {
    keep_as_base(item);
    ++item.copy.sequence.number;
    item.copy.document = std::move(document);
    return item;
}
}  // namespace

TEST_CASE("a difference yields the exact document, and is sent only if it is smaller") {
    auto const base = std::string(10'000, 'a') + "middle" + std::string(10'000, 'b');
    auto const asker = held(base);
    UpdateRequest ask;
    ask.have = {1, 1};
    for (auto const& fresh :
         {std::string(10'000, 'a') + "other" + std::string(10'000, 'b'), base + "tail", "head" + base, base.substr(5),
          std::string(20'000, 'a'), std::string(), base + base}) {
        auto const update = make_update(next_of(asker, fresh), ask);
        CHECK(apply_update(asker, update) == fresh);
        CHECK(update.text.size() + size_of(update.edits) <= fresh.size());
    }
    CHECK_FALSE(make_update(next_of(asker, base + "tail"), ask).whole);
    auto const appended = make_update(next_of(asker, base + "tail"), ask).edits;
    REQUIRE(appended.size() == 1);
    CHECK(appended.front().put == "tail");
    ask.whole = true;
    CHECK(make_update(next_of(asker, base + "tail"), ask).whole);
    ask.whole = false;
    ask.have = {1, 0};  // not among the earlier documents held
    CHECK(make_update(next_of(asker, base + "tail"), ask).whole);
}

TEST_CASE("a difference that does not match the document held is not applied") {
    auto const update = make_update(next_of(held(std::string(1'000, 'a')), std::string(1'000, 'a') + "b"), [] {
        UpdateRequest ask;
        ask.have = {1, 1};
        return ask;
    }());
    REQUIRE_FALSE(update.whole);
    CHECK_FALSE(apply_update(held(std::string(1'000, 'x')), update).has_value());
    CHECK_FALSE(apply_update(held(std::string(10, 'a')), update).has_value());
    auto bad = update;
    bad.edits.front().kept = ~std::uint64_t{0};
    CHECK_FALSE(apply_update(held(std::string(1'000, 'a')), bad).has_value());
}

TEST_CASE("a storm of changes to a tree near 1 MiB is in force everywhere within two seconds, as differences") {
    auto world = formed(3, 9);
    auto const tail = std::string(1'000'000, 't');
    REQUIRE(put_and_wait(*world, 4, "0" + tail) == 200);
    auto bytes = std::uint64_t{0};
    auto whole = std::uint64_t{0};
    for (auto count = 1; count <= 40; ++count) {
        world->put(static_cast<std::size_t>(4 + count % 9), std::to_string(count) + tail, "");
        world->run_until(world->now + 50 * one_millisecond);
    }
    auto const told = [&] {
        return std::all_of(
            world->changes.begin(), world->changes.end(), [](auto const& item) { return item.status != 0; });
    };
    CHECK(world->run_until_true(told, 4 * one_second));
    auto const newest = std::max_element(
        world->changes.begin(), world->changes.end(),
        [](auto const& left, auto const& right) { return left.sequence < right.sequence; });
    CHECK(world->run_until_true([&] { return all_hold(*world, newest->document); }, 2 * one_second));
    for (auto const& node : world->nodes) {
        bytes += node->control.update_bytes;
        whole += node->control.update_bytes_whole;
    }
    INFO("sent " << bytes << " of " << whole);
    CHECK(bytes * 5 < whole);
    CHECK(world->violations.empty());
}

TEST_CASE("a leader that lost its lease for a while distributes the list that it read meanwhile") {
    // Lists were identified by a number only, and two texts could have the same one.
    auto world = formed(5);
    auto const holder = *world->leader(configuration_partition);
    auto const read = [&](std::size_t index, std::string const& text) {
        auto& node = *world->nodes[index];
        world->act(index, node.control.list_read(world->local(node), world->local(node), text));
    };
    auto const list = [&](std::size_t index) {
        return world->nodes[index]->control.views[configuration_partition].live;
    };
    read(holder, "first");
    CHECK(world->run_until_true([&] { return list(5) == "first"; }, one_second));
    world->isolate(holder);
    world->run_until(world->now + 1'000 * one_millisecond);  // its lease has ended, no successor yet
    REQUIRE_FALSE(world->nodes[holder]->control.leads(configuration_partition, world->local(*world->nodes[holder])));
    read(holder, "second");
    world->heal();
    REQUIRE(world->run_until_true([&] { return world->leader(configuration_partition).has_value(); }, 5 * one_second));
    read(*world->leader(configuration_partition), "second");
    for (auto index = std::size_t{0}; index < world->nodes.size(); ++index)
        CHECK(world->run_until_true([&] { return list(index) == "second"; }, one_second));
}

// Changes as differences: sent to followers, logged to disk, and refused where
// their base does not match. docs/design.md 5.4 and 6.
#include "base/copy_change.hpp"
#include "process/storage.hpp"
#include "world_helpers.hpp"

using namespace dockrock;
using namespace dockrock::simulation;

namespace {

auto copy_of(std::uint64_t number, std::string document) -> Copy {
    return Copy{{1, number}, std::move(document), {{"change-" + std::to_string(number), {1, number}, number}}};
}

auto random_text(Random& random, std::size_t length) -> std::string {
    std::string text;
    while (text.size() < length) text.push_back(static_cast<char>('a' + random.below(4)));
    return text;
}

struct Follower {
    std::string self = "b";
    Random random{1};
    Record record{1, "a", {"b"}, {"a", "b", "c"}};
    Partition partition;
    Context context{one_second, self, random, [] { return std::vector<Member>(); }, [](auto const&) { return true; }};

    explicit Follower(Copy const& held) {
        partition.learn(context, record);
        partition.on(context, "a", Append{0, record, held});
        sync();
    }
    auto sync() -> void {
        auto const saves = std::exchange(context.saves, {});
        for (auto const& save : saves) partition.saved(context, save.token, true);
    }
    auto take(CopyChange const& change) -> void {
        context.sends.clear();
        partition.on(context, "a", AppendChange{0, record, change});
    }
    auto answer() const -> Appended const& { return std::get<Appended>(context.sends.back().message); }
};

}  // namespace

TEST_CASE("edits reproduce the text exactly, and stay small for changes far from each other") {
    auto random = Random{7};
    for (auto round = 0; round < 300; ++round) {
        auto const base = random_text(random, random.below(400));
        auto fresh = base;
        for (auto count = random.below(6); count > 0; --count) {
            auto const place = random.below(fresh.size() + 1);
            fresh.replace(place, random.below(9), random_text(random, random.below(30)));
        }
        CHECK(apply_edits(base, edits_between(base, fresh)) == fresh);
    }
    auto document = std::string();
    for (auto number = 0; number < 5'000; ++number) document += "{\"name\":\"route-" + std::to_string(number) + "\"},";
    auto fresh = "7" + document + "8";
    fresh.replace(fresh.find("route-3000"), 10, "path-3000000");
    auto const edits = edits_between("6" + document + "7", fresh);
    CHECK(size_of(edits) < 400);
    CHECK(apply_edits("6" + document + "7", edits) == fresh);
    CHECK_FALSE(apply_edits("6", edits).has_value());
}

TEST_CASE("a copy change reproduces the copy exactly, and applies only to its base") {
    auto base = copy_of(4, std::string(1'000, 'a'));
    auto made = base;
    made.sequence = {1, 5};
    made.document += "b";
    made.outcomes.erase(made.outcomes.begin());
    made.outcomes.push_back({"change-5", {1, 5}, 5});
    auto const change = change_between(base, made);
    REQUIRE(change);
    for (auto other : {copy_of(3, base.document), copy_of(4, std::string(1'000, 'x')), copy_of(4, "")}) {
        auto const before = other.document;
        CHECK_FALSE(apply_change(other, *change));
        CHECK(other.document == before);
    }
    REQUIRE(apply_change(base, *change));
    CHECK(base.sequence == made.sequence);
    CHECK(base.document == made.document);
    CHECK(base.outcomes == made.outcomes);
}

TEST_CASE("a follower acknowledges a change only once it is synced; without its base it asks for a snapshot") {
    auto const held = copy_of(4, std::string(1'000, 'a'));
    auto const made = copy_of(5, std::string(1'000, 'a') + "b");
    auto const change = change_between(held, made);
    REQUIRE(change);
    auto fits = Follower(held);
    fits.take(*change);
    CHECK(fits.context.sends.empty());
    REQUIRE(fits.context.saves.size() == 1);
    CHECK_FALSE(fits.context.saves.front().saved.copy.has_value());
    CHECK(fits.context.saves.front().saved.change.has_value());
    fits.take(*change);  // sent again while the sync is in progress
    CHECK(fits.context.sends.empty());
    fits.sync();
    CHECK(fits.answer().sequence == made.sequence);
    for (auto const& other : {copy_of(3, held.document), copy_of(4, "another")}) {
        auto differs = Follower(other);
        differs.take(*change);
        CHECK(differs.answer().lacks_base);
        CHECK(differs.answer().sequence == other.sequence);
        CHECK(differs.partition.copy.document == other.document);
        CHECK(differs.context.saves.empty());
    }
    auto sealed = Follower(held);
    sealed.partition.votes.sealed = 1;
    sealed.take(*change);
    CHECK(sealed.context.sends.empty());
}

TEST_CASE("a change to a large document is replicated as a difference; a member that was down gets a snapshot") {
    auto world = formed(4);
    auto const tail = std::string(300'000, 't');
    REQUIRE(put_and_wait(*world, 4, "0" + tail) == 200);
    world->run_until(world->now + 3 * one_second);
    auto const follower = world->nodes[*world->leader(configuration_partition)]
                              ->control.partitions[configuration_partition]
                              .votes.decided.followers.front();
    auto const before = world->copy_bytes;
    for (auto number = 1; number <= 20; ++number)
        REQUIRE(put_and_wait(*world, 4, std::to_string(number) + tail) == 200);
    CHECK(world->copy_bytes - before < tail.size());
    auto away = std::size_t{0};
    while (world->nodes[away]->disk.identity != follower) ++away;
    world->kill(away, false);
    for (auto number = 21; number <= 40; ++number) {
        auto const status = put_and_wait(*world, 4, std::to_string(number) + tail);
        CHECK((status == 200 || status == 504));
    }
    world->start(away);
    CHECK(put_and_wait(*world, 4, "newest" + tail) == 200);
    CHECK(world->run_until_true([&] { return all_hold(*world, "newest" + tail); }, 4 * one_second));
    for (auto index = std::size_t{0}; index < world->nodes.size(); ++index) world->kill(index, false);
    for (auto index = std::size_t{0}; index < world->nodes.size(); ++index) world->start(index);
    CHECK(
        world->run_until_true([&] { return world->settled() && all_hold(*world, "newest" + tail); }, 14 * one_second));
    INFO((world->violations.empty() ? std::string() : world->violations.front()));
    CHECK(world->violations.empty());
}

TEST_CASE("storage logs changes between full slots and reads them back; a change without its base is damage") {
    auto pattern = (std::filesystem::temp_directory_path() / "dockrock-test-XXXXXX").string();
    auto const folder = std::filesystem::path(::mkdtemp(pattern.data()));
    auto held = copy_of(1, std::string(50'000, 'a'));
    auto entry = SavedPartition();
    entry.copy = held;
    {
        auto storage = Storage();
        REQUIRE(storage.open(folder) == LoadResult::fresh);
        REQUIRE(storage.begin("me", 1));
        REQUIRE(storage.write({entry}));
        auto const whole = storage.log_size;
        entry.copy.reset();
        for (auto number = std::uint64_t{2}; number <= 40; ++number) {
            auto made = copy_of(number, held.document + std::to_string(number));
            entry.change = change_between(held, made);
            held = std::move(made);
            REQUIRE(storage.write({entry}));
        }
        CHECK(storage.log_size < 2 * whole);
        storage.close();
    }
    auto again = Storage();
    REQUIRE(again.open(folder) == LoadResult::loaded);
    REQUIRE(again.state.partitions.size() == 1);
    CHECK(again.state.partitions.front().copy->document == held.document);
    CHECK(again.state.partitions.front().copy->outcomes == held.outcomes);
    REQUIRE(again.begin("me", 2));
    CHECK_FALSE(again.write({entry}));  // based on an older copy
    CHECK(again.broken);
    again.close();
    std::filesystem::remove_all(folder);
}

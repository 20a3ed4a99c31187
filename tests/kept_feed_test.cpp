// Distribution of prompt cache changes to all nodes. docs/design.md section 9.9.
#include <catch2/catch.hpp>

#include "control/cache_feed.hpp"
#include "base/basics.hpp"

using namespace dockrock;

namespace {

auto batch(std::uint64_t from, std::uint64_t next, std::string life = "life-1", std::string source = "replica-1")
    -> CacheBatch {
    return {std::move(source), false, std::move(life), from, next, false, {"1"}, write_changes({{from, 0, true}})};
}
auto core(std::string identity, std::string area) -> Member {
    Member member;
    member.identity = std::move(identity);
    member.area = std::move(area);
    member.core = true;
    return member;
}
// One request and its answer; returns the batches taken.
auto pull(CacheFeed& reader, CacheFeed const& relay, std::string const& name, bool own = false)
    -> std::vector<CacheFeed::Taken> {
    return reader.take(name, relay.answer(reader.ask(name, own, one_second)));
}

}  // namespace

TEST_CASE("changes are encoded and decoded; an invalid text is rejected") {
    auto const changes =
        std::vector<CacheChange>{{0, 0, true}, {~std::uint64_t{0}, 25, false}, {0x0123456789abcdefULL, 3, true}};
    CHECK(read_changes(write_changes(changes)) == changes);
    CHECK(read_changes("")->empty());
    for (auto const* text : {"A", "A012345678901234", "!0123456789abcdef", "A0123456789abcdeg", "A-123456789abcdef"})
        CHECK_FALSE(read_changes(text).has_value());
}

TEST_CASE("each source is read by one core node, in its zone if possible, and by another one once that is gone") {
    auto cores = std::vector<Member>{core("a", "north"), core("b", "north"), core("c", "south")};
    std::map<std::string, int> shares;
    for (auto number = 0; number < 200; ++number) {
        auto const source = "replica-" + std::to_string(number);
        CHECK(reader_of(source, "south", cores)->identity == "c");
        auto const* reader = reader_of(source, "north", cores);
        CHECK(reader->area == "north");
        ++shares[reader->identity];
        auto reversed = std::vector<Member>(cores.rbegin(), cores.rend());
        CHECK(reader_of(source, "north", reversed)->identity == reader->identity);
    }
    CHECK(shares["a"] > 60);
    CHECK(shares["b"] > 60);
    cores.pop_back();
    CHECK(reader_of("replica-1", "south", cores) != nullptr);
    CHECK(reader_of("replica-1", "south", {}) == nullptr);
}

TEST_CASE("a batch is taken once, an overlapping one as a whole, and gaps and restarts are reported") {
    CacheFeed feed;
    CHECK(feed.advance_cursor(batch(0, 5)) == CacheFeed::BatchPosition::follows);
    CHECK(feed.advance_cursor(batch(0, 5)) == CacheFeed::BatchPosition::known);
    CHECK(feed.advance_cursor(batch(3, 8)) == CacheFeed::BatchPosition::follows);  // two readers that disagree
    CHECK(feed.advance_cursor(batch(5, 7)) == CacheFeed::BatchPosition::known);
    CHECK(feed.advance_cursor(batch(9, 10)) == CacheFeed::BatchPosition::gap);
    CHECK(feed.advance_cursor(batch(10, 12)) == CacheFeed::BatchPosition::follows);
    CHECK(feed.advance_cursor(batch(0, 2, "life-2")) == CacheFeed::BatchPosition::gap);  // the source restarted
    CHECK(feed.advance_cursor(batch(2, 3, "life-2")) == CacheFeed::BatchPosition::follows);
    CHECK(
        feed.advance_cursor(batch(7, 9, "life-1", "replica-2")) == CacheFeed::BatchPosition::gap);  // an unknown source
    CHECK(feed.advance_cursor(batch(0, 9, "life-1", "replica-3")) == CacheFeed::BatchPosition::follows);
}

TEST_CASE("lost, late or repeated requests and answers lose no batch and repeat none") {
    for (auto seed = std::uint64_t{1}; seed <= 40; ++seed) {
        auto random = Random{seed};
        CacheFeed relay;
        CacheFeed node;
        relay.id = 7;
        auto next = std::uint64_t{0};
        auto taken = std::uint64_t{0};
        std::vector<FeedAnswer> late;
        auto const take = [&](FeedAnswer answer) {
            for (auto const& item : node.take("relay", std::move(answer))) {
                CHECK_FALSE(item.gap);
                CHECK(item.batch.from == taken);
                taken = item.batch.next;
            }
        };
        for (auto round = 0; round < 300; ++round) {
            if (random.below(2) == 0) {
                auto made = batch(next, next + 1 + random.below(3));
                next = made.next;
                relay.add(std::move(made), true);
            }
            auto const ask = node.ask("relay", false, one_second);
            if (random.below(4) == 0) continue;  // the request is lost
            auto answer = relay.answer(ask);
            if (random.below(4) == 0) late.push_back(answer);
            if (random.below(4) != 0) take(std::move(answer));
            if (!late.empty() && random.below(3) == 0) {
                take(late.back());
                late.pop_back();
            }
        }
        take(relay.answer(node.ask("relay", false, one_second)));
        CHECK(taken == next);
    }
}

TEST_CASE("a node that changes its relay, and one whose relay restarts, goes on without a gap") {
    CacheFeed reader;  // the core node that reads the source
    CacheFeed other;   // another core node
    CacheFeed node;
    reader.id = 1;
    other.id = 2;
    auto const read = [&](std::uint64_t from, std::uint64_t next) {
        reader.advance_cursor(batch(from, next));
        reader.add(batch(from, next), true);
    };
    auto const pass_on = [&] {
        for (auto& item : pull(other, reader, "reader", true)) other.add(std::move(item.batch), false);
    };
    read(0, 4);
    pass_on();
    CHECK(pull(node, reader, "reader").size() == 1);
    read(4, 6);
    pass_on();
    auto const through_other = pull(node, other, "other");
    REQUIRE(through_other.size() == 1);
    CHECK_FALSE(through_other.front().gap);
    CHECK(through_other.front().batch.next == 6);
    CHECK(other.answer({0, 0, true}).batches.empty());  // core nodes forward only what they read themselves
    other = CacheFeed();                                // it restarts with an empty log
    other.id = 3;
    read(6, 9);
    pass_on();
    auto const after = pull(node, other, "other");
    REQUIRE(after.size() == 1);
    CHECK_FALSE(after.front().gap);
    // The reader is lost, and the other one continues from its cursor of the source.
    CHECK(other.cursors["replica-1"].next == 9);
    other.advance_cursor(batch(9, 11));
    other.add(batch(9, 11), true);
    auto const taken_over = pull(node, other, "other");
    REQUIRE(taken_over.size() == 1);
    CHECK_FALSE(taken_over.front().gap);
}

TEST_CASE("a log is limited in bytes; a node that was away longer gets a gap") {
    CacheFeed relay;
    CacheFeed node;
    relay.id = 1;
    relay.add(batch(0, 1), true);
    CHECK(pull(node, relay, "relay").size() == 1);
    for (auto number = std::uint64_t{1}; number < 4'000; ++number) relay.add(batch(number, number + 1), true);
    CHECK(relay.log_bytes < 300'000);
    auto const taken = pull(node, relay, "relay");
    REQUIRE_FALSE(taken.empty());
    CHECK(taken.front().gap);
    CHECK(std::none_of(taken.begin() + 1, taken.end(), [](auto const& item) { return item.gap; }));
}

#include <sys/resource.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>

#include "base/frame.hpp"
#include "process/storage.hpp"

using namespace dockrock;

namespace {
struct Folder {
    std::filesystem::path path;
    Folder() {
        auto pattern = (std::filesystem::temp_directory_path() / "dockrock-test-XXXXXX").string();
        path = ::mkdtemp(pattern.data());
    }
    ~Folder() { std::filesystem::remove_all(path); }
};
auto saved(int partition, std::uint64_t number, std::string document) -> SavedPartition {
    SavedPartition item;
    item.partition = partition;
    item.votes.sealed = number;
    item.copy = Copy{{1, number}, std::move(document), {}};
    return item;
}
auto flip(std::filesystem::path const& file, std::streamoff place) -> void {
    auto stream = std::fstream(file, std::ios::in | std::ios::out | std::ios::binary);
    stream.seekg(place);
    auto const byte = static_cast<char>(stream.get() ^ 0x55);
    stream.seekp(place);
    stream.put(byte);
}
}  // namespace

TEST_CASE("what was synced is read back, the torn tail is cut") {
    auto folder = Folder();
    {
        auto storage = Storage();
        REQUIRE(storage.open(folder.path) == LoadResult::fresh);
        REQUIRE(storage.begin("me", 1));
        REQUIRE(storage.write({saved(0, 1, "one"), saved(2, 1, "two")}));
        REQUIRE(storage.write({saved(0, 2, "three")}));
        storage.close();
    }
    auto const size = std::filesystem::file_size(folder.path / "log-b");
    std::filesystem::resize_file(folder.path / "log-b", size - 5);
    auto again = Storage();
    REQUIRE(again.open(folder.path) == LoadResult::loaded);
    CHECK(again.state.identity == "me");
    REQUIRE(again.state.partitions.size() == 2);
    CHECK(again.state.partitions[0].copy->document == "one");  // the torn entry was never acknowledged
}

TEST_CASE("a bad entry before good ones is damage, not a torn tail") {
    auto folder = Folder();
    auto storage = Storage();
    REQUIRE(storage.open(folder.path) == LoadResult::fresh);
    REQUIRE(storage.begin("me", 1));
    for (auto number = std::uint64_t{1}; number < 5; ++number) REQUIRE(storage.write({saved(0, number, "text")}));
    storage.close();
    flip(folder.path / "log-b", 40);
    CHECK(Storage().open(folder.path) == LoadResult::damaged);
}

TEST_CASE("a lost newest slot is damage, not an older state") {
    auto folder = Folder();
    auto storage = Storage();
    REQUIRE(storage.open(folder.path) == LoadResult::fresh);
    REQUIRE(storage.begin("me", 1));
    REQUIRE(storage.begin("me", 2));
    REQUIRE(storage.write({saved(0, 1, "text")}));
    storage.close();
    flip(folder.path / "slot-a", 30);
    CHECK(Storage().open(folder.path) == LoadResult::damaged);
}

TEST_CASE("the slots are written in turn and the log stays short") {
    auto folder = Folder();
    auto storage = Storage();
    REQUIRE(storage.open(folder.path) == LoadResult::fresh);
    REQUIRE(storage.begin("me", 1));
    auto const text = std::string(100'000, 'x');
    for (auto number = std::uint64_t{1}; number < 60; ++number) REQUIRE(storage.write({saved(0, number, text)}));
    CHECK(storage.generation > 3);
    CHECK(std::filesystem::file_size(folder.path / "log-b") < 2 * Storage().log_most);
    storage.close();
    auto again = Storage();
    REQUIRE(again.open(folder.path) == LoadResult::loaded);
    CHECK(again.state.partitions[0].copy->sequence.number == 59);
}

TEST_CASE("a full disk: nothing is appended after a failed write, the whole state is rewritten to the other slot") {
    std::signal(SIGXFSZ, SIG_IGN);
    auto folder = Folder();
    auto storage = Storage();
    REQUIRE(storage.open(folder.path) == LoadResult::fresh);
    REQUIRE(storage.begin("me", 1));
    auto before = rlimit{};
    ::getrlimit(RLIMIT_FSIZE, &before);
    auto small = before;
    small.rlim_cur = 4'096;
    ::setrlimit(RLIMIT_FSIZE, &small);
    auto const full = storage.write({saved(0, 1, std::string(10'000, 'x'))});
    auto const too_early = storage.repair();
    ::setrlimit(RLIMIT_FSIZE, &before);
    CHECK_FALSE(full);
    CHECK_FALSE(too_early);
    CHECK_FALSE(storage.write({saved(1, 2, "small")}));
    auto const other = storage.generation;
    REQUIRE(storage.repair());
    CHECK(storage.generation == other + 1);
    REQUIRE(storage.write({saved(2, 3, "later")}));
    storage.close();
    auto again = Storage();
    REQUIRE(again.open(folder.path) == LoadResult::loaded);
    REQUIRE(again.state.partitions.size() == 3);
    CHECK(again.state.partitions[0].copy->document.size() == 10'000);
    CHECK(again.state.partitions[1].copy->document == "small");
}

namespace {
using Kind = FileEvent::Kind;

auto number_held(Storage const& storage) -> std::uint64_t {
    return storage.state.partitions.empty() ? 0 : storage.state.partitions[0].votes.sealed;
}

// The number that a newly started process would load from the folder.
auto number_on_disk(std::filesystem::path const& path) -> std::optional<std::uint64_t> {
    auto storage = Storage();
    if (storage.open(path) != LoadResult::loaded) return std::nullopt;
    return number_held(storage);
}
}  // namespace

TEST_CASE(
    "whichever operations fail, and however many: acknowledged state stays, and a repaired disk holds everything") {
    auto failures = 0;
    for (auto first = 0; first < 30; ++first) {
        for (auto length : {1, 4}) {
            auto folder = Folder();
            auto storage = Storage();
            storage.log_most = 700;
            auto operation = 0;
            storage.refuses = [&](Kind, std::string const&) {
                auto const place = operation++;
                failures += place >= first && place < first + length ? 1 : 0;
                return place >= first && place < first + length;
            };
            REQUIRE(storage.open(folder.path) == LoadResult::fresh);
            if (!storage.begin("me", 1))
                while (!storage.repair()) CHECK_FALSE(storage.write({}));
            for (auto number = std::uint64_t{1}; number < 6; ++number) {
                auto good = storage.write({saved(0, number, std::string(90, 'x'))});
                while (!good) {
                    REQUIRE(number_on_disk(folder.path).value_or(0) + 1 >= number);
                    good = storage.repair();
                }
                REQUIRE(number_on_disk(folder.path) == number);
            }
        }
    }
    CHECK(failures > 80);
}

TEST_CASE("a folder that cannot be read is neither fresh nor damaged") {
    auto folder = Folder();
    auto storage = Storage();
    REQUIRE(storage.open(folder.path) == LoadResult::fresh);
    REQUIRE(storage.begin("me", 1));
    storage.close();
    std::filesystem::remove(folder.path / "log-b");
    std::filesystem::create_directory(folder.path / "log-b");  // reading a directory as a file fails
    CHECK(Storage().open(folder.path) == LoadResult::failed);
    std::ofstream(folder.path / "plain") << "a file";
    CHECK(Storage().open(folder.path / "plain" / "below") == LoadResult::failed);
}

TEST_CASE("a slot whose sync failed is rewritten, the pair before it is kept, also by a later process") {
    auto folder = Folder();
    auto storage = Storage();
    REQUIRE(storage.open(folder.path) == LoadResult::fresh);
    REQUIRE(storage.begin("me", 1));
    REQUIRE(storage.write({saved(0, 1, "told")}));
    auto const newest = storage.generation;
    storage.refuses = [](Kind kind, std::string const& file) { return kind == Kind::synced && file != "log-b"; };
    REQUIRE_FALSE(storage.begin("me", 2));  // the slot's bytes are readable, but may be lost at a power failure
    storage.close();
    auto later = Storage();
    REQUIRE(later.open(folder.path) == LoadResult::loaded);
    CHECK(later.generation == newest);
    std::vector<std::string> emptied;
    later.watch = [&](FileEvent const& event) {
        if (event.kind == Kind::truncated) emptied.push_back(event.file);
    };
    REQUIRE(later.begin("me", 3));
    CHECK(emptied == std::vector<std::string>{"slot-a", "log-a"});
}

namespace {
auto sealed_block(std::uint64_t generation, std::string const& body) -> std::string {
    std::string bytes;
    put_number(bytes, generation);
    put_text(bytes, body);
    put_number(bytes, checksum_of(bytes));
    return bytes;
}
}  // namespace

TEST_CASE("a data folder of the former format, with one understudy a record, still loads") {
    auto folder = Folder();
    // A slot and one log entry, as the former release wrote them.
    auto const state = std::string(
        R"({"identity":"core-a","incarnation":7,"parts":[{"part":0,"votes":{"decided":{"epoch":2,"primary":"cor)"
        R"(e-b","understudy":"core-a","voters":["core-a","core-b","core-c","core-d"]},"promised":{"round":3,"no)"
        R"(de":"core-b"},"accepted_ballot":{"round":0,"node":""},"sealed":0},"copy":{"sequence":{"epoch":2,"num)"
        R"(ber":9},"document":"kept","outcomes":[{"identity":"change-1","sequence":{"epoch":2,"number":9},"dige)"
        R"(st":77}]},"claims":"key ticket 5\n","claims_whole":false},{"part":1,"votes":{"decided":{"epoch":2,"p)"
        R"(rimary":"core-a","understudy":"core-a","voters":["core-a"]},"promised":{"round":0,"node":""},"accept)"
        R"(ed_ballot":{"round":0,"node":""},"sealed":0},"claims":"","claims_whole":false}]})");
    auto const entry = std::string(
        R"({"part":0,"votes":{"decided":{"epoch":3,"primary":"core-a","understudy":"core-b","voters":["core-a",)"
        R"("core-b","core-c","core-d"]},"promised":{"round":3,"node":"core-b"},"accepted_ballot":{"round":4,"no)"
        R"(de":"core-b"},"accepted":{"epoch":4,"primary":"core-b","understudy":"core-c","voters":["core-a","cor)"
        R"(e-b","core-c","core-d"]},"sealed":3},"claims":"","claims_whole":false})");
    std::ofstream(folder.path / "slot-b", std::ios::binary) << sealed_block(1, state);
    std::ofstream(folder.path / "log", std::ios::binary) << sealed_block(1, entry);
    auto storage = Storage();
    REQUIRE(storage.open(folder.path) == LoadResult::loaded);
    REQUIRE(storage.state.partitions.size() == 2);
    auto const& first = storage.state.partitions[0].votes;
    CHECK(first.decided == Record{3, "core-a", {"core-b"}, {"core-a", "core-b", "core-c", "core-d"}});
    CHECK(first.accepted == Record{4, "core-b", {"core-c"}, {"core-a", "core-b", "core-c", "core-d"}});
    CHECK(first.sealed == 3);
    CHECK(storage.state.partitions[0].copy->document == "kept");
    CHECK(
        storage.state.partitions[1].votes.decided == Record{2, "core-a", {}, {"core-a"}});  // it was its own understudy
    REQUIRE(storage.begin("core-a", 8));  // writes it in the present format
    storage.close();
    auto again = Storage();
    REQUIRE(again.open(folder.path) == LoadResult::loaded);
    CHECK(again.state.partitions[0].votes.decided == first.decided);
}

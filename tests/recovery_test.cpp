// Recovery from every prefix of a recorded run of disk writes: unsynced writes are lost, torn or
// reordered, and files whose names no folder sync covers may be lost. docs/design.md section 6.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <fstream>

#include "recorded_disk.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

struct Folder {
    std::filesystem::path path;
    explicit Folder(std::string const& name)
        : path(std::filesystem::temp_directory_path() / ("dockrock-" + name + "-" + std::to_string(::getpid()))) {
        std::filesystem::remove_all(path);
        std::filesystem::create_directories(path);
    }
    Folder(Folder const&) = delete;
    ~Folder() { std::filesystem::remove_all(path); }
};

auto save_of(std::uint64_t number) -> SavedPartition {
    SavedPartition saved;
    saved.partition = static_cast<int>(number % 2);
    saved.votes.sealed = number;
    saved.claims = "key-" + std::to_string(number) + " ticket 0\n";
    return saved;
}

auto highest(Storage const& storage) -> std::uint64_t {
    auto number = std::uint64_t{0};
    for (auto const& partition : storage.state.partitions) number = std::max(number, partition.votes.sealed);
    return number;
}

// Returns whether the operation with this number fails.
using Refuses = std::function<bool(int number, Kind kind)>;

auto record_run(bool sync_lies, Refuses const& refuses = {}) -> Recorded {
    auto const folder = Folder("record");
    Recorded run;
    Storage storage;
    storage.log_most = 700;  // so that a few saves fill the log and the other slot is written
    storage.watch = [&](FileEvent const& event) {
        if (!sync_lies || event.kind != Kind::synced) run.events.push_back(event);
    };
    auto number = 0;
    if (refuses) storage.refuses = [&](Kind kind, std::string const&) { return refuses(number++, kind); };
    auto const sooner_or_later = [&](bool good) {
        for (auto tries = 0; !good && tries < 20; ++tries) good = storage.repair();
        REQUIRE(good);
    };
    REQUIRE(storage.open(folder.path) == LoadResult::fresh);
    sooner_or_later(storage.begin("identity", 1));
    run.acknowledged.emplace_back(run.events.size(), 0);
    for (auto count = std::uint64_t{0}; count < 9; ++count) {
        std::vector<SavedPartition> batch;
        for (auto partition = std::uint64_t{0}; partition <= count % 3; ++partition)
            batch.push_back(save_of(++run.written));
        sooner_or_later(storage.write(batch));
        run.acknowledged.emplace_back(run.events.size(), run.written);
    }
    storage.close();
    return run;
}

struct Tally {
    int tried = 0, older = 0, newer = 0, refused = 0;
};

auto recover(std::map<std::string, std::string> const& files, std::uint64_t least, std::uint64_t most, Tally& tally)
    -> void {
    auto const folder = Folder("recover");
    for (auto const& [name, bytes] : files) std::ofstream(folder.path / name, std::ios::binary) << bytes;
    Storage storage;
    auto const result = storage.open(folder.path);
    ++tally.tried;
    if (result != LoadResult::loaded) {
        tally.refused += least > 0 || result == LoadResult::failed ? 1 : 0;
        return;
    }
    auto const number = highest(storage);
    tally.older += number < least ? 1 : 0;
    tally.newer += number > most ? 1 : 0;
    for (auto const& partition : storage.state.partitions)  // every claim up to the recovered number is present
        for (auto earlier = std::uint64_t(partition.partition == 0 ? 2 : 1); earlier <= partition.votes.sealed;
             earlier += 2)
            if (partition.claims.find("key-" + std::to_string(earlier) + " ") == std::string::npos) ++tally.older;
}

// Recovers once for each subset of the new files that may be missing.
auto recover_without_new(
    Disk const& disk, std::map<std::string, std::string> const& files, std::uint64_t least, std::uint64_t most,
    Tally& tally) -> void {
    for (auto gone = std::size_t{0}; gone < std::size_t{1} << disk.new_files.size(); ++gone) {
        auto left = files;
        for (auto place = std::size_t{0}; place < disk.new_files.size(); ++place)
            if ((gone >> place & 1U) != 0) left.erase(disk.new_files[place]);
        recover(left, least, most, tally);
    }
}

auto recover_from_all(Recorded const& run) -> Tally {
    Tally tally;
    for (auto count = std::size_t{0}; count <= run.events.size(); ++count) {
        auto const disk = disk_after(run, count);
        auto least = std::uint64_t{0};
        for (auto const& [after, number] : run.acknowledged)
            if (after <= count) least = number;
        REQUIRE(disk.pending.size() < 12);
        for (auto chosen = std::size_t{0}; chosen < std::size_t{1} << disk.pending.size(); ++chosen) {
            for (auto torn : {false, true}) {  // any subset of the unsynced writes, the last one torn or not
                auto files = disk.files;
                auto last = disk.pending.size();
                for (auto place = std::size_t{0}; place < disk.pending.size(); ++place)
                    if ((chosen >> place & 1U) != 0) last = place;
                for (auto place = std::size_t{0}; place < disk.pending.size(); ++place)
                    if ((chosen >> place & 1U) != 0) apply(files, disk.pending[place].event, torn && place == last);
                recover_without_new(disk, files, least, run.written, tally);
            }
        }
    }
    return tally;
}

}  // namespace

TEST_CASE(
    "recovery from every prefix of writes, unsynced ones lost, torn or reordered, is never older than acknowledged") {
    auto const run = record_run(false);
    auto const tally = recover_from_all(run);
    INFO(tally.tried << " recoveries of " << run.events.size() << " events");
    CHECK(tally.tried > 150);
    CHECK(tally.older == 0);
    CHECK(tally.newer == 0);
    CHECK(tally.refused == 0);
}

TEST_CASE("planted: a folder that is never synced is caught by the same recoveries") {
    auto run = record_run(false);
    auto const synced_until = [&](std::size_t count) {
        return static_cast<std::size_t>(std::count_if(
            run.events.begin(), run.events.begin() + static_cast<std::ptrdiff_t>(count),
            [](auto const& event) { return event.kind == Kind::folder_synced; }));
    };
    for (auto& [after, number] : run.acknowledged) after -= synced_until(after);
    std::erase_if(run.events, [](auto const& event) { return event.kind == Kind::folder_synced; });
    auto const tally = recover_from_all(run);
    CHECK(tally.older + tally.refused > 0);
    CHECK(recover_from_all(record_run(false)).older == 0);
}

TEST_CASE("planted: a disk that forgets to sync is caught by the same recoveries") {
    auto run = record_run(true);
    // Without syncs every write stays pending: keep only a few, as each subset is tried.
    auto kept = std::vector<FileEvent>();
    for (auto const& event : run.events)
        if (event.kind != Kind::folder_synced) kept.push_back(event);
    kept.resize(std::min<std::size_t>(kept.size(), 7));
    auto const dropped = run.events.size() - kept.size();
    run.events = kept;
    for (auto& [after, number] : run.acknowledged) after = after > dropped ? after - dropped : 0;
    auto const tally = recover_from_all(run);
    CHECK(tally.older + tally.refused > 0);
}

TEST_CASE("recovery from every prefix of a run in which operations fail is never older than acknowledged") {
    auto tried = 0;
    for (auto first = 0; first < 48; first += 6) {
        for (auto length : {1, 4}) {
            auto const run =
                record_run(false, [&](int number, Kind) { return number >= first && number < first + length; });
            auto const tally = recover_from_all(run);
            INFO("operations from " << first << ", " << length << " of them");
            CHECK(tally.older == 0);
            CHECK(tally.newer == 0);
            CHECK(tally.refused == 0);
            tried += tally.tried;
        }
    }
    CHECK(tried > 1'000);
}

TEST_CASE("planted: a failed sync that is only retried, without rewriting the file, is caught") {
    auto run = record_run(false);
    std::vector<FileEvent> events;
    for (auto const& event : run.events) {
        if (event.kind == Kind::synced && event.file == "log-b") events.push_back({Kind::sync_failed, event.file, ""});
        events.push_back(event);
    }
    auto const added = [&](std::size_t count) {
        return static_cast<std::size_t>(std::count_if(
            run.events.begin(), run.events.begin() + static_cast<std::ptrdiff_t>(count),
            [](auto const& event) { return event.kind == Kind::synced && event.file == "log-b"; }));
    };
    for (auto& [after, number] : run.acknowledged) after += added(after);
    run.events.assign(events.begin(), events.begin() + std::min<std::ptrdiff_t>(20, std::ssize(events)));
    auto const tally = recover_from_all(run);
    CHECK(tally.older + tally.refused > 0);
}

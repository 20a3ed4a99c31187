#pragma once
// The node's storage: two snapshot slots written alternately, each with a short log of later changes.
// It decides which state the folder holds and where the next one goes. It never overwrites the newest
// state known to be synced, and does not trust a file whose sync failed until it has been rewritten.
// docs/design.md section 6; tests: storage_test, recovery_test.
#include <array>
#include <filesystem>
#include <functional>

#include "consensus/partition.hpp"

namespace dockrock {

struct StoredState {
    std::string identity;
    std::uint64_t incarnation = 0;
    std::vector<SavedPartition> partitions;
};

// An operation on a file, reported to `watch` (used by the recovery test).
struct FileEvent {
    enum class Kind : int { truncated, written, synced, sync_failed, folder_synced };
    Kind kind = Kind::written;
    std::string file;
    std::string bytes;
};

// fresh: no state was ever written here. damaged: state was written but cannot be restored.
// failed: the folder cannot be read now, so its contents are unknown.
enum class LoadResult : int { fresh, loaded, damaged, failed };

struct Storage {
    std::filesystem::path folder;
    StoredState state;
    std::uint64_t generation = 0;  // of the newest slot known to be synced; the next one goes to the other slot and log
    int log_descriptor = -1;
    std::size_t log_size = 0;
    std::size_t log_most = std::size_t{1} << 20U;  // a log above this and above twice the slot ends in a new slot
    std::size_t slot_size = 0;
    std::function<void(FileEvent const&)> watch;
    // Set by tests: whether this operation on this file (or folder, "") fails.
    std::function<bool(FileEvent::Kind, std::string const&)> refuses;
    bool broken = false;  // a write or sync failed: nothing is appended until the whole state is rewritten

    bool inconsistent = false;  // a change arrived whose base state is not held: only a restart helps, no repair

    auto open(std::filesystem::path const& where) -> LoadResult;
    // Writes the first slot of this incarnation; with another identity than the stored one, drops the stored
    // partitions.
    auto begin(std::string const& identity, std::uint64_t incarnation) -> bool;
    // True once the batch is synced. On failure the batch stays in `state` for repair().
    auto write(std::vector<SavedPartition> const& batch) -> bool;
    // After a failure: writes the whole state to the older slot; true once it is synced.
    auto repair() -> bool;
    auto close() -> void;

   private:
    auto apply_log(std::string_view entries, std::uint64_t newest, bool& headed) -> bool;
    auto write_slot() -> bool;
    auto begin_log() -> bool;
    auto refused(FileEvent::Kind kind, std::string const& file) const -> bool { return refuses && refuses(kind, file); }
    auto open_empty(std::string const& file) const -> int;
    auto append(int descriptor, std::string const& file, std::string_view bytes) const -> bool;
    auto sync(int descriptor, std::string const& file) const -> bool;
    auto sync_folder() const -> bool;
    auto report(FileEvent::Kind kind, std::string const& file, std::string_view bytes = {}) const -> void;
};

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(dockrock::StoredState, identity, incarnation, partitions);

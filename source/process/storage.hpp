#pragma once
// The node's disk: two slots written in turn, each with a short log of what came after it.
// It decides what the folder holds and where the next state goes; it never writes over the
// newest state that is known to be synced, and never trusts a file again whose sync failed
// before it is written anew. docs/design.md section 6; tests: storage_test, recovery_test.
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

// What is done to the files, told to whoever records it (the recovery test).
struct FileEvent {
    enum class Kind : int { truncated, written, synced, sync_failed, folder_synced };
    Kind kind = Kind::written;
    std::string file;
    std::string bytes;
};

// fresh: no state was ever written here. failed: the folder cannot be read now; that says
// nothing of what it holds.
enum class LoadResult : int { fresh, loaded, damaged, failed };

struct Storage {
    std::filesystem::path folder;
    StoredState state;
    std::uint64_t generation = 0;  // the newest slot known to be synced; the next one goes to the other pair
    int log_descriptor = -1;
    std::size_t log_size = 0;
    std::size_t log_most = std::size_t{1} << 20U;  // then the next slot is written
    std::function<void(FileEvent const&)> watch;
    // Set by tests: whether this operation on this file (or folder, "") fails.
    std::function<bool(FileEvent::Kind, std::string const&)> refuses;
    bool broken = false;  // a write or sync failed: nothing is appended until all is written anew

    auto open(std::filesystem::path const& where) -> LoadResult;
    // Also where a damaged or blank folder begins anew, under a new identity.
    auto begin(std::string const& identity, std::uint64_t incarnation) -> bool;
    // True once the batch is synced. Where it is not, the batch is kept in `state` for repair().
    auto write(std::vector<SavedPartition> const& batch) -> bool;
    // After a failure: the whole state to the slot that holds less, synced; true once that is done.
    auto repair() -> bool;
    auto close() -> void;

   private:
    auto apply(SavedPartition const& saved) -> void;
    auto apply_log(std::string_view entries, std::uint64_t newest, bool& headed) -> bool;
    auto write_slot() -> bool;
    auto begin_log() -> bool;
    auto refused(FileEvent::Kind kind, std::string const& file) const -> bool { return refuses && refuses(kind, file); }
    auto open_empty(std::string const& file) const -> int;
    auto append(int descriptor, std::string const& file, std::string_view bytes) const -> bool;
    auto sync(int descriptor, std::string const& file) const -> bool;
    auto sync_folder() const -> bool;
    auto tell(FileEvent::Kind kind, std::string const& file, std::string_view bytes = {}) const -> void;
};

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(dockrock::StoredState, identity, incarnation, partitions);

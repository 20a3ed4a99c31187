#pragma once
// The node's disk: two slots written in turn, a short log between.
// docs/design.md section 6.
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
    enum class Kind : int { truncated, written, synced, folder_synced };
    Kind kind = Kind::written;
    std::string file;
    std::string bytes;
};

enum class LoadResult : int { fresh, loaded, damaged, failed };

struct Storage {
    std::filesystem::path folder;
    StoredState state;
    std::uint64_t generation = 0;
    int log_descriptor = -1;
    std::size_t log_size = 0;
    std::size_t log_most = std::size_t{1} << 20U;  // then the next slot is written
    std::function<void(FileEvent const&)> watch;
    bool broken = false;  // a write or sync failed: never written again

    auto open(std::filesystem::path const& where) -> LoadResult;
    auto begin(std::string const& identity, std::uint64_t incarnation) -> bool;
    auto write(std::vector<SavedPartition> const& batch) -> bool;
    auto close() -> void;

   private:
    auto apply(SavedPartition const& saved) -> void;
    auto write_slot() -> bool;
    auto open_log(bool truncate) -> bool;
    auto tell(FileEvent::Kind kind, std::string const& file, std::string_view bytes = {}) const -> void;
};

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(dockrock::StoredState, identity, incarnation, partitions);

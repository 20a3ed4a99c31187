#pragma once
// A model of the disk after any prefix of a recorded run of file operations: what is durable, what may or may not be
// there, and which files may be missing because their folder entry was not synced.
#include <algorithm>
#include <set>

#include "process/storage.hpp"

namespace dockrock::testing {

using Kind = FileEvent::Kind;

struct Recorded {
    std::vector<FileEvent> events;
    std::vector<std::pair<std::size_t, std::uint64_t>> acknowledged;  // (number of events, number acknowledged by then)
    std::uint64_t written = 0;                                        // the highest number passed to write()
};

// A write that may or may not be on the disk. doubtful: a failed sync covered it, so its state is unknown even after
// a later successful sync of the same file.
struct Pending {
    FileEvent event;
    bool doubtful = false;
};
struct Disk {
    std::map<std::string, std::string> files;
    std::vector<Pending> pending;
    std::set<std::string> named;  // files whose names are durable
    // created since the last folder sync: each may be missing, even if its content was synced
    std::vector<std::string> new_files;
};

inline auto apply(std::map<std::string, std::string>& files, FileEvent const& event, bool torn) -> void {
    auto& file = files[event.file];
    if (event.kind == Kind::truncated) file.clear();
    if (event.kind == Kind::written) file += torn ? event.bytes.substr(0, event.bytes.size() / 2) : event.bytes;
}

inline auto sync(Disk& disk, std::string const& file) -> void {
    auto emptied = disk.pending.size();  // writes before a synced truncation of the file are gone for good
    for (auto place = std::size_t{0}; place < disk.pending.size(); ++place) {
        auto const& [event, doubtful] = disk.pending[place];
        if (event.file == file && event.kind == Kind::truncated && !doubtful) emptied = place;
    }
    std::vector<Pending> left;
    for (auto place = std::size_t{0}; place < disk.pending.size(); ++place) {
        auto const& item = disk.pending[place];
        if (item.event.file != file) left.push_back(item);
        else if (!item.doubtful) apply(disk.files, item.event, false);
        else if (emptied == disk.pending.size() || place > emptied) left.push_back(item);
    }
    disk.pending = std::move(left);
}

inline auto follow_names(Disk& disk, FileEvent const& event) -> void {
    auto& made = disk.new_files;
    if (event.kind == Kind::folder_synced) {
        disk.named.insert(made.begin(), made.end());
        made.clear();
    } else if (!disk.named.contains(event.file) && std::find(made.begin(), made.end(), event.file) == made.end()) {
        made.push_back(event.file);
    }
}

inline auto disk_after(Recorded const& run, std::size_t count) -> Disk {
    Disk disk;
    for (auto place = std::size_t{0}; place < count; ++place) {
        auto const& event = run.events[place];
        follow_names(disk, event);
        if (event.kind == Kind::truncated || event.kind == Kind::written) disk.pending.push_back({event, false});
        if (event.kind == Kind::synced) sync(disk, event.file);
        if (event.kind != Kind::sync_failed) continue;
        for (auto& item : disk.pending) item.doubtful = item.doubtful || item.event.file == event.file;
    }
    return disk;
}

}  // namespace dockrock::testing

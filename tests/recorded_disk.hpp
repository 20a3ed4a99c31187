#pragma once
// The disk as a recorded run of file operations leaves it at any point: what is surely there, what may or may not be,
// and which files may be gone with their names.
#include <algorithm>
#include <set>

#include "process/storage.hpp"

namespace dockrock::testing {

using Kind = FileEvent::Kind;

struct Recorded {
    std::vector<FileEvent> events;
    std::vector<std::pair<std::size_t, std::uint64_t>> acknowledged;  // after so many events, this number
    std::uint64_t written = 0;                                        // the highest that was ever asked for
};

// What is surely on the disk after the first events, and what may or may not be. Of what a
// failed sync covered nothing is known, whatever a later sync of the same file says.
struct Pending {
    FileEvent event;
    bool doubtful = false;
};
struct Disk {
    std::map<std::string, std::string> files;
    std::vector<Pending> pending;
    std::set<std::string> named;         // their names last
    std::vector<std::string> new_files;  // made since the folder was synced: each may be gone, whatever it holds
};

inline auto apply(std::map<std::string, std::string>& files, FileEvent const& event, bool torn) -> void {
    auto& file = files[event.file];
    if (event.kind == Kind::truncated) file.clear();
    if (event.kind == Kind::written) file += torn ? event.bytes.substr(0, event.bytes.size() / 2) : event.bytes;
}

inline auto sync(Disk& disk, std::string const& file) -> void {
    auto emptied = disk.pending.size();  // what lies before a synced emptying of the file is gone for good
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

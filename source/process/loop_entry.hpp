#pragma once
// Removes a loop's name from the set of running loops when the loop ends, also by an exception, so that another loop
// may start for it.
#include <mutex>
#include <set>
#include <string>

namespace dockrock {

struct LoopEntry {
    std::mutex& lock;
    std::set<std::string>& names;
    std::string name;

    LoopEntry(std::mutex& names_lock, std::set<std::string>& all, std::string own)
        : lock(names_lock),
          names(all),
          name(std::move(own)) {}
    LoopEntry(LoopEntry const&) = delete;
    ~LoopEntry() {
        auto const guard = std::lock_guard(lock);
        names.erase(name);
    }
};

}  // namespace dockrock

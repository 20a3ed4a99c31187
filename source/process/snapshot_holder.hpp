#pragma once
// The snapshot that requests are read against, swapped whole. docs/design.md section 14.
#include <atomic>

#include "control/snapshot.hpp"

namespace dockrock {

// One atomic pointer. (The library's std::atomic of a shared pointer unlocks
// without ordering in the version we build with; its free functions do not.)
struct SnapshotHolder {
    SnapshotPointer pointer;
    auto load() const -> SnapshotPointer { return std::atomic_load(&pointer); }
    auto operator=(SnapshotPointer fresh) -> SnapshotHolder& {
        std::atomic_store(&pointer, std::move(fresh));
        return *this;
    }
};

}  // namespace dockrock

#pragma once
// Holds the snapshot that requests are interpreted against; replaced atomically. docs/design.md section 14.
#include <atomic>

#include "control/snapshot.hpp"

namespace dockrock {

// An atomic shared pointer. Uses the free functions, as std::atomic<std::shared_ptr> of the standard library we
// build with unlocks without memory ordering.
struct SnapshotHolder {
    SnapshotPointer pointer;
    auto load() const -> SnapshotPointer { return std::atomic_load(&pointer); }
    auto operator=(SnapshotPointer fresh) -> SnapshotHolder& {
        std::atomic_store(&pointer, std::move(fresh));
        return *this;
    }
};

}  // namespace dockrock

#pragma once
// Many nodes' control machines in one process: real messages, encoded as on the
// wire, over links with delays, under simulated time. docs/CAPACITY.md.
#include <functional>
#include <memory>

#include "figures.hpp"
#include "load.hpp"
#include "control/control.hpp"
#include "control/list_polling.hpp"
#include "control/snapshot.hpp"

namespace dockrock::hollow {

struct FleetShape {
    std::size_t nodes = 13;  // cores among them
    std::size_t cores = 4;
    std::size_t zones = 4;
    std::size_t regions = 1;
    std::size_t tenants = 8;
    LoadShape load;
    std::size_t load_relays_from = 0;
};
auto fleet_shape_of(std::size_t nodes) -> FleetShape;

struct Traffic {                 // what one node spent since it was last set to nothing
    std::int64_t processor = 0;  // nanoseconds
    std::uint64_t messages_out = 0, bytes_out = 0, messages_in = 0, bytes_in = 0;
};

struct HollowNode {
    std::size_t index = 0;
    std::string address;
    std::string area;
    std::size_t region = 0;
    bool core = false;
    bool running = false;
    std::uint64_t life = 0;
    Control control;
    SnapshotPointer snapshot;
    ListPolling list_polling;
    LoadSource load;
    Microseconds last_digest = 0;
    Traffic traffic;
    // the disk of a core node
    std::string identity;
    std::uint64_t incarnation = 0;
    std::vector<SavedPartition> synced;
    std::vector<Save> unsynced;
    bool disk_busy = false;
    auto account() const -> int { return static_cast<int>(index) + 1; }
};

struct HollowFleet {
    FleetShape shape;
    Random random;
    Microseconds now = one_second;
    std::vector<std::unique_ptr<HollowNode>> nodes;
    std::map<std::string, std::size_t> by_address;
    ReplicaList list;       // as the platform tells it now
    std::string list_text;  // the same, as it is spread
    bool requests = false;  // nodes place requests and tell of them
    std::uint64_t platform_calls = 0;
    std::map<std::string, std::uint64_t> kind_messages, kind_bytes;  // by kind of message
    std::map<std::uint64_t, CallDone> call_results;
    std::uint64_t next_call = 1;
    std::function<void(HollowNode&)> when_news;

    HollowFleet(FleetShape const& given, std::uint64_t seed);
    auto run_until(Microseconds when) -> void;
    auto run_until_true(std::function<bool()> const& condition, Microseconds limit) -> bool;
    auto at(Microseconds when, std::function<void()> work) -> void;
    auto start(std::size_t index) -> void;
    auto kill(std::size_t index) -> void;
    auto call(std::size_t index, Call const& asked) -> std::uint64_t;  // its token, in call_results once answered
    auto change_list(std::size_t entries) -> void;                     // so many replicas change their mark
    auto forget_traffic() -> void;
    auto owner(int part) -> HollowNode*;
    auto fresh(HollowNode const& node) const -> bool;  // it may grant entry
    auto all_fresh() const -> bool;
    // Means and greatest over the nodes of each role, a second of the time since.
    auto figures(std::string const& what, std::uint64_t seed, Microseconds length) -> std::vector<Run>;

   private:
    struct Event {
        Microseconds at = 0;
        std::uint64_t order = 0;
        std::function<void()> work;
        auto operator<(Event const& other) const -> bool {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    std::vector<Event> events;  // a heap
    std::uint64_t next_order = 0;

    auto act(HollowNode& node, std::function<ControlOutput()> const& work) -> void;
    auto send(HollowNode& node, std::string const& address, std::shared_ptr<std::string const> frame) -> void;
    auto tick(std::size_t index, std::uint64_t life) -> void;
    auto read_list(HollowNode& node) -> void;
    auto report_load(HollowNode& node) -> void;
    auto work_disk(HollowNode& node) -> void;
    auto delay(HollowNode const& from, HollowNode const& to) -> Microseconds;
};

// The operator's tree for so many tenants, and a small change of it.
auto tree_of(FleetShape const& shape) -> std::string;
auto patch_of(FleetShape const& shape, std::uint64_t number) -> std::string;

struct PhaseOptions {
    std::vector<std::string> phases;
    Microseconds length = 10 * one_second;
    Microseconds load_length = 3 * one_second;
    std::int64_t bytes_limit = std::int64_t{11} << 30U;
    std::function<void(Run const&)> told;  // as soon as a phase is over
};
// One fleet from its start through the phases named.
auto measure_control(FleetShape const& shape, std::uint64_t seed, PhaseOptions const& options) -> void;

}  // namespace dockrock::hollow

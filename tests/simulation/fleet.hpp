#pragma once
// One simulated fleet: the control machines, granting entry and ticket courses
// of every node together, replicas, platform list, operators and callers under
// one seed. docs/design.md section 15.
#include "control/orders.hpp"
#include "simulated_replica.hpp"
#include "ticket/request_lifecycle.hpp"
#include "world.hpp"

namespace dockrock::simulation {

struct FleetOptions {
    std::uint64_t seed = 1;
    std::size_t cores = 4;
    std::size_t edges = 5;
    std::size_t losses = 1;  // core nodes that may be lost at once, with their disks
    std::size_t areas = 4;
    std::size_t replicas = 8;
    double tickets_each_second = 40.0;
    Microseconds length = 25 * one_second;
    bool calm = false;          // no faults at all
    bool twice = true;          // some run-once tickets are sent through two nodes at once
    std::int64_t capacity = 3;  // of each replica; where `uneven`, every other has twice as much
    bool uneven = false;
    double greedy = 0.0;               // this share of the tickets is one tenant's
    std::size_t load_relays_from = 0;  // load goes through relays
    bool planned_only = false;         // polite restarts, changes, drains, weights: nothing may be cut
    // planted, for showing that the checks bite
    bool planted_repeat_unknown = false;  // an unknown try is repeated
    bool planted_skip_claims = false;     // run-once tickets are sent unclaimed
    bool planted_skip_freshness = false;  // old proofs still grant entry
    bool planted_skip_pieces = false;     // pieces are relayed unread
    bool planted_skip_walls = false;      // every tenant is told the fleet's wall
    bool planted_free_tries = false;      // extra tries without a budget
    bool planted_skip_lease = false;      // orders without a lease, under a fence of the sender's own
    bool planted_cut_on_stop = false;     // a polite stop does not wait for answers
    bool planted_stale_weights = false;   // a replica keeps its memory when weights change
    bool planted_shed_after_run = false;  // what may have run is called shed
    bool planted_skip_life = false;       // a restarted replica takes orders meant for its former life
    SchedulingOptions scheduler;
};

struct FleetResult {
    std::vector<std::string> violations;
    std::size_t tickets = 0, answered = 0, shed = 0, unknown = 0, broken = 0, lost = 0, asked_again = 0;
    std::size_t runs = 0, refused = 0, orders = 0, old_orders_refused = 0, faults = 0, changes = 0, acknowledged = 0;
    std::size_t revoked = 0, drained = 0, roll_outs = 0, walls_tightened = 0, polite_stops = 0;
    std::uint64_t extra_tries = 0, events = 0;
    std::int64_t cached_tokens = 0, prefix_tokens = 0;
    std::map<std::string, std::vector<Microseconds>> waits;  // to the first piece, by kind and by tenant
    std::map<std::string, std::size_t> shed_by;              // the same, of those shed
    std::vector<std::string> trace;
};

// What a caller knows of one asking for one of its tickets.
struct Asking {
    std::uint64_t number = 0;
    std::string identity;  // of the ticket; several askings may share it
    std::size_t tenant = 0;
    std::size_t node = 0;
    std::uint64_t node_life = 0;
    int round = 0;
    bool run_once = true;
    std::string body;
    std::string key;
    Microseconds asked_at = 0;
    std::string outcome;
    std::string reason;  // where it was shed
    std::uint64_t runs = 0;
    std::int64_t pieces_seen = 0;
    std::uint64_t run_seen = 0;
    bool arrived = false;
    bool gone = false;  // the caller went away
};

struct CourseRun {
    RequestLifecycle lifecycle;
    bool entered = false;
};

struct DataPlane {
    Scheduler scheduler;
    SnapshotPointer snapshot = std::make_shared<Snapshot>(Snapshot{std::make_shared<Rules>(), {}, {}, {}});
    std::map<std::uint64_t, CourseRun> courses;
    Orders orders;
    std::map<std::string, ReplicaReport> reports;
    bool stopping = false;
    Microseconds last_digest = 0, last_orders = 0, last_reports = 0;
    bool reading_list = false;
    bool load_relayed = false;
};

struct FleetTenant {
    std::string name;
    std::string key;
    bool revoked = false;
    bool isolated = false;
    Microseconds revoked_at = 0;  // acknowledged
    Microseconds isolated_at = 0;
};

struct Fleet {
    FleetOptions options;
    World world;
    Random random;
    std::vector<DataPlane> planes;
    std::vector<std::unique_ptr<SimulatedReplica>> replicas;
    std::vector<FleetTenant> tenants;
    std::map<std::uint64_t, Asking> askings;
    std::map<std::string, std::set<std::uint64_t>> runs_of_identity;  // run-once identities: their runs
    std::vector<Microseconds> extra_try_times;
    std::vector<Microseconds> asked_times;
    std::map<std::string, std::pair<std::string, Microseconds>> weights_named;  // model -> name, acknowledged at
    std::uint64_t next_tree = 0;
    std::set<std::size_t> stopping_nodes;
    bool putting = false;  // one change of the tree at a time
    bool naming = false;   // and one naming of weights
    bool tree_wanted = false;
    std::uint64_t next_weights = 1;
    std::uint64_t next_run = 1;
    bool calm_now = false;  // the storm is over
    FleetResult result;

    explicit Fleet(FleetOptions const& given);
    auto run() -> FleetResult;
    auto take_order(std::size_t replica, Order const& order, std::string const& holder) -> void;
    auto crash(std::size_t replica) -> void;

   private:
    auto violation(std::string text) -> void { world.violation(std::move(text)); }
    auto on_node(std::size_t index, std::function<void()> work) -> void;
    auto later(Microseconds delay, std::function<void()> work) -> void { world.at(world.now + delay, std::move(work)); }
    auto link() -> Microseconds { return static_cast<Microseconds>(200 + random.below(2'000)); }
    auto local(std::size_t index) const -> Microseconds { return world.local(*world.nodes[index]); }
    // the data plane of a node
    auto started(std::size_t index) -> void;
    auto ticked(std::size_t index) -> void;
    auto output(std::size_t index, ControlOutput const& given) -> void;
    auto publish(std::size_t index) -> void;
    auto read_list(std::size_t index) -> void;
    auto ask_reports(std::size_t index) -> void;
    auto send_orders(std::size_t index) -> void;
    auto tell_digest(std::size_t index) -> void;
    auto proof_age(std::size_t index) -> Microseconds;
    // tickets
    auto caller_asks() -> void;
    auto ask(std::string identity, std::size_t tenant, bool run_once, std::string body, std::size_t node, int round)
        -> void;
    auto ask_again(std::uint64_t number) -> void;
    auto arrive(std::size_t index, std::uint64_t number) -> void;
    auto judge_ticket(std::size_t index, std::uint64_t number) -> Verdict;
    auto drive(std::size_t index, std::uint64_t number, LifecycleStep step) -> void;
    auto enqueue(std::size_t index, std::uint64_t number) -> void;
    auto schedule(std::size_t index) -> void;
    auto decide(std::size_t index, Decisions const& decisions) -> void;
    auto facts(std::size_t index, std::string const& replica) -> LifecycleFacts;
    auto send(std::size_t index, std::uint64_t number) -> void;
    auto check_refused(std::size_t index, int status) -> void;
    auto check_sent(std::size_t index, RequestLifecycle const& lifecycle) -> void;
    auto check_ordered(std::size_t index, Order const& order) -> void;
    auto ended(std::size_t index, std::uint64_t number, std::string const& replica, TryEnd end, std::string reason)
        -> void;
    auto finish(std::uint64_t number, std::string outcome) -> void;
    // replicas
    auto receive(
        std::size_t replica, std::size_t index, std::uint64_t number, InferenceRequest const& inference,
        Placement const& placement) -> void;
    auto judge_run(SimulatedReplica& replica, Asking& asking, InferenceRequest const& inference) -> std::int64_t;
    auto work_on(
        std::size_t replica, std::uint64_t life, std::size_t index, std::uint64_t number,
        InferenceRequest const& inference, std::uint64_t run, std::int64_t memory) -> void;
    auto tell_piece(
        std::size_t index, std::uint64_t node_life, std::uint64_t number, std::string name, std::string line,
        std::int64_t told, std::uint64_t run, bool last, std::shared_ptr<PieceReader> reader) -> void;
    // operators, faults, verdict
    auto tree() -> std::string;
    auto put_tree() -> void;
    auto is_walled(std::string const& name) const -> bool;
    auto tree_told(std::vector<bool> revoked_in_it, std::vector<bool> isolated_in_it) -> void;
    auto some_node() -> std::size_t;
    auto name_weights_at(std::string model, std::string name, std::string identity) -> void;
    auto revoke() -> void;
    auto tighten() -> void;
    auto race() -> void;
    auto name_weights() -> void;
    auto drain() -> void;
    auto polite_stop(std::size_t index) -> void;
    auto kill(std::size_t index, Microseconds away) -> void;
    auto fault() -> void;
    auto planned() -> void;
    auto combined() -> void;
    auto kill_cores_once_told(std::size_t known, Microseconds until) -> void;
    auto stop_step(std::size_t index, std::uint64_t life, Microseconds begun) -> void;
    auto note_first_piece(Asking const& asking) -> void;
    auto load_weights(std::size_t target, std::uint64_t life, std::string const& weights) -> void;
    auto network_fault(std::uint64_t which) -> void;
    auto lose_node(std::size_t index) -> void;
    auto judge() -> void;
    auto judge_extra_tries() -> void;
    auto settle() -> void;
};

}  // namespace dockrock::simulation

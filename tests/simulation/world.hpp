#pragma once
// The deterministic simulator: the very machines of the nodes under seeded
// time, links, disks, freezes and kills. docs/design.md section 15.
#include <functional>
#include <memory>

#include "timeline.hpp"
#include "control/control.hpp"
#include "history/history.hpp"

namespace dockrock::simulation {

enum class DiskMode : int { good, slow, stalled, full };

struct SimulatedDisk {
    std::string identity;
    std::uint64_t incarnation = 0;
    std::vector<SavedPartition> synced;  // what survives a power loss
    DiskMode mode = DiskMode::good;
    bool broken = false;      // a write failed; what waits is written anew once the disk takes it
    std::size_t reached = 0;  // of the saves that wait, how many a failed write left on the disk
};

struct SimulatedNode {
    std::string address;
    std::string area;
    bool core = false;
    bool running = false;
    Microseconds frozen_until = 0;
    Microseconds clock_offset = 0;  // every node's clock has its own zero
    std::uint64_t life = 0;         // events of an earlier life are dropped
    Control control;
    SimulatedDisk disk;
    std::vector<Save> unsynced;
    bool disk_busy = false;
    std::vector<std::function<void()>> held;  // what came while frozen
    Sequence newest_seen;                     // this life's, for "never back to an older one"
    std::vector<std::string> seeds;           // addresses; empty: the first nodes of the world
};

struct Change {
    std::string identity;
    std::string document;
    Microseconds asked_at = 0;
    int status = 0;  // 0: no answer yet
    Sequence sequence;
    Microseconds answered_at = 0;
};

struct WorldOptions {
    std::uint64_t seed = 1;
    std::size_t cores = 4;
    std::size_t edges = 3;
    std::size_t losses = 1;  // core nodes that may be lost at once, with their disks
    std::size_t areas = 4;
    double loss = 0.01;
    std::size_t load_relays_from = 0;  // news go through relays
    bool core_count_told = true;
    std::size_t replacements = 0;            // core nodes at addresses of their own that start blank and later
    bool planted_claims_not_copied = false;  // for showing that the checks bite
    bool planted_claims_not_saved = false;
    bool planted_copy_short = false;         // the last follower's copy is acknowledged and not kept
    bool planted_partner_not_given = false;  // the last partner's sealed copy is held for taken
    bool planted_long_lease = false;         // a leader trusts its lease long after the grants ended
    bool planted_outcomes_lost = false;      // outcomes of changes do not travel with the copies
    bool planted_losses_unseen = false;      // a machine that is gone for good is held alive
};

struct World {
    WorldOptions options;
    Random random;
    Microseconds now = 0;
    std::vector<std::unique_ptr<SimulatedNode>> nodes;
    std::set<std::pair<std::size_t, std::size_t>> cuts;                  // from, to
    std::map<std::pair<std::size_t, std::size_t>, Microseconds> slowed;  // from, to: what the link takes longer
    Timeline timeline;
    std::vector<Change> changes;
    history::History history;  // of the operators of the configuration
    std::map<std::uint64_t, std::function<void(CallDone)>> call_results;
    std::map<std::uint64_t, std::function<void(ClaimDone)>> claim_results;
    std::uint64_t next_call = 1;
    std::map<std::pair<int, std::uint64_t>, Record> records;  // decided, by partition and term
    Sequence highest_acknowledged;
    std::vector<std::string> violations;
    std::vector<std::string> trace;
    std::uint64_t invariants_met =
        invariants::violations_on_this_thread();  // violated so far, by the code's own checks
    bool unchecked = false;                       // something happened to the control machines since the last check
    // what a fleet hangs on the control machines
    std::function<void(std::size_t)> when_started;
    std::function<void(std::size_t)> when_ticked;
    std::function<void(std::size_t)> when_killed;
    std::function<void(std::size_t, ControlOutput const&)> when_acting;  // before anything is sent or saved
    std::function<void(std::size_t, ControlOutput const&)> when_acted;
    std::uint64_t copy_bytes = 0;  // of whole copies sent: to followers, partners and spares
    std::uint64_t events_run = 0;
    struct Wiped {
        Microseconds at = 0;
        std::vector<SavedPartition> synced;
    };
    std::vector<Wiped> wiped;
    std::array<Sequence, partition_count> copies_checked;
    std::uint64_t reads_checked = 0;
    std::uint64_t disks_taken_up = 0;  // by nodes that started without them

    explicit World(WorldOptions const& given);
    auto at(Microseconds when, std::function<void()> work) -> void;
    auto run_until(Microseconds when) -> void;
    auto run_until_true(std::function<bool()> const& condition, Microseconds limit) -> bool;

    auto start(std::size_t index) -> void;
    auto kill(std::size_t index, bool wipe) -> void;
    auto freeze(std::size_t index, Microseconds length) -> void;
    auto isolate(std::size_t index) -> void;
    auto split(std::vector<std::size_t> const& side) -> void;
    auto heal() -> void;
    auto local(SimulatedNode const& node) const -> Microseconds { return now + node.clock_offset; }
    auto wake_disk(std::size_t index) -> void { work_disk(index); }
    auto leader(int partition) -> std::optional<std::size_t>;
    auto settled() -> bool;
    auto is_core(std::size_t index) const -> bool;
    auto in_order(std::size_t index) const -> bool;  // runs, is not frozen, its disk answers
    auto bearable() -> std::size_t;  // core nodes that may be lost now, by the disks and voters themselves
    auto newest_record(int partition) const -> Record;
    auto named(std::string const& identity, bool as_voter) const -> bool;  // by a newest record, as member or voter
    auto led() -> bool;                                                    // the configuration has a leased leader
    auto could_be_led() -> bool;  // voters enough for one are in touch with a member of the group
    auto stop_gracefully(std::size_t index, Microseconds limit, std::function<void()> then) -> void;
    // As many core nodes as may be lost at once: of the configuration's group, its leader first, or any.
    auto some_cores(Random& by, bool of_the_group) -> std::vector<std::size_t>;

    auto put(
        std::size_t index, std::string document, std::string if_match, std::string identity = "",
        std::function<void(int)> told = {}) -> std::size_t;
    auto read(std::size_t index) -> void;
    auto claim(
        std::size_t index, std::string key, std::string ticket, std::function<void(ClaimDone)> done,
        bool release = false) -> void;
    auto claim(std::size_t index, ClaimAsk ask, std::function<void(ClaimDone)> done) -> void;
    auto call(std::size_t index, Call asked, std::function<void(CallDone)> done) -> void;
    auto note(std::string text) -> void;
    auto describe() -> void;  // into the trace
    auto violation(std::string text) -> void;

    auto judge_history() -> void;  // a violation where it is not linearizable

    auto act(std::size_t index, ControlOutput output) -> void;
    auto on_node(std::size_t index, std::uint64_t life, std::function<void()> work) -> void;

   private:
    auto tick(std::size_t index, std::uint64_t life) -> void;
    auto work_disk(std::size_t index) -> void;
    auto refuse_saves(std::size_t index) -> void;
    auto report_saves(std::size_t index, std::vector<Save> const& batch, bool good) -> void;
    auto fresh_identity(std::size_t index) -> std::string;
    auto read_disk(std::size_t index) -> bool;
    auto take_disk_later(std::size_t index) -> void;
    auto index_of(std::string const& address) const -> std::size_t;
    auto check() -> void;
    auto check_invariants() -> void;
    auto put_on_disk(SimulatedNode& node, SavedPartition const& saved) -> void;
    auto check_node(SimulatedNode& node) -> void;
    auto check_copies() -> void;
    auto asked(history::CallRecord call) -> std::size_t;  // its place in the history
    auto answered(std::size_t place, CallDone const& done) -> void;
    auto bearable(int partition, std::size_t holder) -> std::size_t;
    auto stop_step(std::size_t index, std::uint64_t life, Microseconds handing_end, std::function<void()> then) -> void;
    auto node_of(std::string const& identity) const -> std::size_t;
    auto planted(std::size_t index, AddressedMessage& send) -> bool;
};

// A seeded storm of faults and changes over a world; true where every
// invariant held and the fleet served again at the end.
struct StormResult {
    std::vector<std::string> violations;
    std::size_t changes = 0;
    std::size_t acknowledged = 0;
    std::size_t unknown = 0;
    std::size_t refused = 0;
    std::uint64_t events = 0;
    std::uint64_t reads = 0;
    std::uint64_t disks_taken_up = 0;
    std::size_t faults = 0;
    std::size_t claims = 0, claims_granted = 0, claims_seen = 0, claims_unknown = 0;
    Microseconds longest_gap = 0;  // without a leased leader of the configuration
    std::vector<std::string> trace;
};
auto run_storm(WorldOptions const& options, Microseconds length) -> StormResult;

}  // namespace dockrock::simulation

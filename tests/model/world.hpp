#pragma once
// A few nodes, each with the product's real `Partition`, its disk, and the
// messages in flight between them. A world is a value: a step makes a new one,
// and nodes that the step does not touch are shared with the one before.
#include <memory>

#include "consensus/partition.hpp"
#include "planted.hpp"

namespace dockrock::model {

// All times of the model are whole units: a heartbeat each, three for a lease.
inline constexpr Microseconds unit = one_second;
inline constexpr auto operator_count = std::size_t{2};

struct Setup {
    std::size_t nodes = 3;
    std::size_t losses = 1;
    std::size_t joiners = 0;  // core nodes that start blank
    Planted planted = Planted::none;
    std::uint64_t salt = 0;  // of the machines' random source
    int changes = 2;         // by each operator
};

struct Node {
    std::string identity;
    int life = 1;
    int disks_lost = 0;
    bool running = true;
    bool frozen = false;
    bool cut = false;  // no message reaches it or comes from it
    bool stopping = false;
    bool suspected = false;  // wrongly held for dead by the others
    bool disk_stalled = false;
    bool disk_failing = false;
    Microseconds ticked_at = 0;
    Partition partition;
    SavedPartition disk;  // what is synced
    bool disk_blank = true;
    std::vector<Save> writes;  // given to the disk, not synced yet; done in this order
    std::size_t digest = 0;    // of all above
};

struct Envelope {
    std::string from;
    std::string to;
    std::shared_ptr<Message const> message;
    std::size_t digest = 0;
    bool held = false;  // delayed until an action lets it go
};

struct OperatorChange {
    Call call;
    int status = 0;  // 0: outcome not known
    Microseconds asked_at = 0;
};
struct Operator {
    std::vector<OperatorChange> changes;
};

struct Acknowledgement {
    std::string identity;
    std::string base;  // the condition it was asked under
    std::string etag;
    std::string body;
    Sequence sequence;
};

// What an observer of the whole world has seen; the machines know nothing of it.
struct Observed {
    std::map<std::uint64_t, Record> decided;  // by term
    std::vector<Acknowledgement> acknowledged;
    std::set<std::string> refused;  // identities whose change was refused for good
    Sequence served;                // the newest that a leader could have given out
};

struct World {
    Setup setup;
    Microseconds now = 10 * unit;
    std::vector<std::shared_ptr<Node const>> nodes;
    std::vector<Envelope> network;
    std::vector<Operator> operators{operator_count};
    Observed observed;
    std::map<std::string, int> spent;  // faults so far, by name
    std::vector<std::string> violations;

    explicit World(Setup const& given);
    auto deliver(std::size_t place, bool keep) -> void;
    auto drop(std::size_t place) -> void;
    auto tick(std::size_t index) -> void;
    auto sync(std::size_t index) -> void;
    auto crash(std::size_t index, bool keep_unsynced) -> void;
    auto lose_disk(std::size_t index) -> void;
    auto restart(std::size_t index) -> void;
    auto submit(std::size_t operator_index, std::size_t node_index) -> void;

    auto change_node(std::size_t index, std::function<void(Node&)> const& change) -> void;
    auto index_of(std::string const& identity) const -> std::optional<std::size_t>;
    auto reaches(Node const& from, Node const& to) const -> bool;
    auto digest() const -> std::size_t;
    auto violation(std::string text) -> void { violations.push_back(std::move(text)); }

   private:
    using Work = std::function<void(Partition&, Context&)>;
    auto act(std::size_t index, Work const& work) -> void;
    auto apply_output(Node& node, Work const& work) -> void;
    auto send(Node const& from, IdentifiedMessage&& item) -> void;
    auto answered(Node const& node, CallDone const& done) -> void;
    auto acknowledged(Node const& node, Call const& call, CallDone const& done) -> void;
    auto living(Node const& self) const -> std::vector<Member>;
    auto forget_messages(std::string const& identity) -> void;
    auto next_call(std::size_t operator_index) const -> Call;
};

// To the machine, if it is one of its messages.
auto hand_to(Partition& partition, Context& context, std::string const& from, Message const& message) -> void;
// The machine of a node that has just started with an empty disk.
auto fresh_partition(Setup const& setup, Node const& node, Microseconds now) -> Partition;
auto model_times(Planted planted) -> PartitionTimes;
auto group_size(Setup const& setup) -> std::size_t;

}  // namespace dockrock::model

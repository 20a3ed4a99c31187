#pragma once
// Bringing the replicas of one model to the version named, a few at a time:
// the decisions, apart from who may order. docs/design.md section 11.
#include <array>

#include "control/version_times.hpp"

namespace dockrock {

// How an order ended, as far as its sender knows.
enum class OrderEnd : int {
    taken,        // it is being carried out
    holds,        // the version is there already
    conflict,     // another is under way, or the count of orders differs
    fenced,       // a later holder was seen
    elsewhere,    // another life has the address
    refused,      // not done, and no such order known
    unknown,      // no clear answer: it may have been taken
    unreachable,  // nothing was sent
    not_sent,     // held back by its sender: the lease was not sure
};
inline constexpr auto order_end_names = std::to_array<std::string_view>(
    {"taken", "holds", "conflict", "fenced", "elsewhere", "refused", "unknown", "unreachable", "not-sent"});

struct ListedReplica {
    std::string name;
    std::string service;
    std::string area;
    std::int64_t version = 0;
    bool drain = false;
};
struct ReportedWeights {
    std::int64_t version = 0;
    bool busy = false;
    std::uint64_t orders = 0;
};
struct VersionOrder {
    std::string replica;
    std::int64_t version = 0;
    std::optional<std::uint64_t> orders;  // expected count, where a report told it
};
// What a log tells of a roll-out: which version, and how long ago or for how long.
struct RolloutNote {
    enum class Kind : int { named, announced, loaded, silent, overdue };
    Kind kind = Kind::named;
    std::string replica;  // none where a version was named
    std::int64_t version = 0;
    Microseconds length = 0;
};
inline constexpr auto rollout_note_names = std::to_array<std::string_view>(
    {"weights-named", "weights-announced", "weights-loaded", "weights-silent", "weights-overdue"});
struct RolloutActions {
    std::vector<VersionOrder> orders;
    std::vector<std::string> reports;  // replicas to ask now
    std::vector<RolloutNote> notes;
};
struct RolloutFigures {
    std::size_t behind = 0;   // replicas that hold older weights, leaving ones apart
    std::size_t overdue = 0;  // of all, those that get nothing new for it
    Microseconds oldest = 0;  // since the oldest version was named that isn't everywhere
};
struct RolloutTimes {
    Microseconds announce = 50 * one_millisecond;     // nodes hear of it before the replica does
    Microseconds first_poll = 800 * one_millisecond;  // after an order, until a load was measured
    Microseconds poll = 200 * one_millisecond;
    Microseconds settle = 300 * one_millisecond;  // a report tells of a moment some time ago
    Microseconds believe = one_second;            // a report later than this after an order has seen it
    Microseconds silence = 2 * one_second;        // without a report, a replica holds no place
    Microseconds doubt = 600 * one_millisecond;   // the same after a 409, where nothing of ours is under way
    Microseconds renew = 4 * one_second;  // an overdue one, silent after an order of unknown end, is ordered anew
    Microseconds least_pause = 500 * one_millisecond;
    Microseconds longest_pause = 4 * one_second;
    Microseconds shown = 5 * one_second;  // a word stays this long after the list shows the same
    Microseconds bound = 0;               // named weights serve everywhere; none: no bound
    Microseconds margin = weights_margin;
};

struct VersionsRollout {
    struct Course {
        enum class Stage : int { idle, announced, ordering, unsure, loading };
        Stage stage = Stage::idle;
        std::string service;
        std::string area;
        bool drain = false;
        std::int64_t listed = 0;
        std::int64_t version = 0;  // newest known to be held
        std::int64_t wanted = 0;   // of the order under way
        std::optional<std::uint64_t> orders;
        bool asking = false;
        bool told = false;     // a word of it is out
        bool doubted = false;  // the last order was answered 409
        bool silent = false;   // noted as such
        bool overdue = false;  // nothing new goes there until it has loaded
        int failures = 0;
        Microseconds next = 0;  // the next thing is due
        Microseconds announced_at = 0;
        Microseconds ordered_at = 0;
        Microseconds heard_at = 0;
        Microseconds shown_at = 0;
    };
    RolloutTimes times;
    VersionTimes named;
    std::int64_t target = 0;
    std::uint64_t fence = 0;
    std::uint64_t stopped_fence = 0;  // a later holder was seen under this fence: no more orders
    Microseconds quickest = 0;        // measured from order to report
    Microseconds held = 0;            // a place, by one replica: measured, smoothed
    std::map<std::string, Course> courses;

    auto step(
        std::int64_t wanted, std::uint64_t under_fence, bool may_order, std::size_t at_once,
        std::vector<ListedReplica> const& replicas, Microseconds now) -> RolloutActions;
    auto order_ended(std::string const& replica, OrderEnd end, Microseconds now) -> void;
    auto reported(
        std::string const& replica, std::optional<ReportedWeights> const& report, Microseconds asked_at,
        Microseconds now) -> void;
    // What a former leader told of a replica: an order may be under way there.
    auto adopt(ListedReplica const& replica, std::int64_t version, bool loading, Microseconds now) -> void;
    // The present word of each replica that the list does not tell.
    auto words(std::string const& model, WeightsStates& into) const -> void;
    auto under_way() const -> bool;
    // Its weights are older than what has to serve everywhere soon: nothing new goes there.
    auto late(Course const& course, Microseconds now) const -> bool;
    auto figures(Microseconds now) const -> RolloutFigures;

   private:
    std::vector<RolloutNote> notes;  // since the last step
    auto note(Microseconds now) -> void;
    auto loaded(std::string const& name, Course& course, Microseconds now) -> void;
    auto take_list(std::vector<ListedReplica> const& replicas, Microseconds now) -> void;
    auto announce(std::size_t at_once, Microseconds now) -> void;
    auto give_up(Course& course, Microseconds now) -> void;
    auto holds_place(Course const& course, Microseconds now) const -> bool;
    // Whether loading one more would leave a small service, which the places would take whole, without one that serves.
    auto is_last(std::string_view service, std::size_t least, Microseconds now) const -> bool;
    auto renew_silent(Microseconds now) -> void;
    auto places(std::string_view service, std::size_t least, Microseconds now) const -> std::size_t;
};

}  // namespace dockrock

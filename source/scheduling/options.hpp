#pragma once
// Options of the scheduler: project defaults, not part of the operator's configuration. Each
// mechanism has a switch, so that its worth can be measured. docs/design.md section 9.6.
#include <string>
#include <string_view>
#include <vector>

#include "base/json_structs.hpp"

namespace dockrock {

struct SchedulingOptions {
    std::int64_t multiplier = 4;
    std::int64_t load_steps = 0;  // how finely load over capacity is told apart; 0: exactly (design 9.7)
    std::size_t depth = 20;
    Microseconds digest_interval = 200 * one_millisecond;  // between words of load to all others,
    Microseconds relayed_interval = 50 * one_millisecond;  // and to a relay, which costs one word each time
    Microseconds digest_old = one_second;
    Microseconds digest_lost = 10 * one_second;
    double wait_token_rate = 400.0;  // tokens that one second of waiting counts for
    double share_bound = 2.0;
    double rank_weight = 1.0;
    Microseconds share_half_life = 10 * one_second;
    Microseconds unreachable_pause = 500 * one_millisecond;
    Microseconds refused_pause = 150 * one_millisecond;
    Microseconds owing_limit = one_second;  // how long an extra try waits for its budget
    Microseconds empty_pool_limit = 1'500 * one_millisecond;
    double fetch_tokens_each_second = 100'000.0;
    Microseconds link_memory = 30 * one_second;   // how long a measured link speed counts
    std::int64_t least_saved = 1'000;             // shared tokens that are worth sending to a store
    Microseconds saving_memory = 3 * one_second;  // parts sent to a store are told of within this
    double recompute_tokens_each_second = 10'000.0;
    bool idle_open = false;         // the places of a replica that is mostly free are not rationed
    bool work_outstanding = false;  // the least busy is told by prompt tokens to be read, not by requests
    double copy_cost = 8.0;         // work that a token of a further copy of a shared prefix counts for
    bool prefix_home = true;        // a prefix that nobody keeps is read first where its hash says
    std::int64_t short_prompt = 0;  // tokens to read up to which a request is most urgent at its replica
    bool peer_moves = true;         // kept prefixes are moved from other replicas
    bool store_reads = true;        // ... and from stores
    bool store_writes = true;       // prefixes are sent to stores
    bool eject_failing = false;     // a replica that fails is left out for a while
    bool observe_rates = false;     // the speed of reading is estimated from first tokens
};

// Sets the options that `items` name, each as NAME=VALUE. Times are in milliseconds, switches 0 or 1.
// An unknown name, or a value that is no number or out of its range, is a problem; the others are set.
auto set_scheduling_options(std::vector<std::string> const& items, SchedulingOptions& into) -> Problems;

}  // namespace dockrock

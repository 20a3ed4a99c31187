#pragma once
// Scheduler options: built-in defaults, not part of the operator's configuration. Each mechanism has a switch, so
// that its effect can be measured. docs/design.md section 9.6.
#include <string>
#include <string_view>
#include <vector>

#include "base/json_structs.hpp"

namespace dockrock {

struct SchedulingOptions {
    std::int64_t multiplier = 4;  // a replica is full above this many times its capacity
    std::int64_t load_steps = 0;  // steps in which load relative to capacity is compared; 0: exactly (design 9.7)
    std::size_t depth = 20;       // queued requests of a model that one scheduling pass looks at
    Microseconds digest_interval = 200 * one_millisecond;  // between load digests to all other nodes,
    Microseconds relayed_interval = 50 * one_millisecond;  // and to a relay, which costs one message each time
    Microseconds digest_old = one_second;                  // older: the node may have used all of its share
    Microseconds digest_lost = 10 * one_second;            // older: the node's load counts no more
    double wait_token_rate = 400.0;                        // tokens that one second in the queue counts for
    double share_bound = 2.0;                              // greatest factor of fair share on a score, and its inverse
    double rank_weight = 1.0;                              // weight of a request's rank in its score
    Microseconds share_half_life = 10 * one_second;        // of a tenant's recorded usage
    Microseconds unreachable_pause = 500 * one_millisecond;
    Microseconds refused_pause = 150 * one_millisecond;       // after a replica refused a request as busy
    Microseconds budget_wait_limit = one_second;              // how long a retry waits for the retry budget
    Microseconds empty_pool_limit = 1'500 * one_millisecond;  // no usable replica for so long: requests are shed
    double fetch_tokens_each_second = 100'000.0;
    Microseconds link_memory = 30 * one_second;   // how long a measured link speed counts
    std::int64_t least_saved = 1'000;             // shared tokens that are worth sending to a store
    Microseconds saving_memory = 3 * one_second;  // within this a store's event for a saved part is expected
    double recompute_tokens_each_second = 10'000.0;
    bool idle_open = false;         // nodes don't ration the places of a replica that is mostly free
    bool work_outstanding = false;  // the least busy replica is found by tokens to prefill, not by requests
    double copy_cost = 8.0;         // cost of each token of a further copy of a shared prefix, in tokens to prefill
    bool prefix_home = true;        // a prefix cached nowhere is placed first at the replica that its hash selects
    std::int64_t short_prompt = 0;  // up to so many tokens to prefill a request is most urgent at its replica
    bool peer_moves = true;         // cached prefixes are fetched from other replicas
    bool store_reads = true;        // ... and from stores
    bool store_writes = true;       // prefixes are saved to stores
    bool eject_failing = false;     // a failing replica is ejected for a while
    bool observe_rates = false;     // the prefill rate is estimated from times to the first token
};

// Sets the options that `items` name, each as NAME=VALUE. Times are in milliseconds, switches 0 or 1.
// Returns a problem for each unknown name and each value that is not a number or out of range; sets the others.
auto set_scheduling_options(std::vector<std::string> const& items, SchedulingOptions& into) -> Problems;

}  // namespace dockrock

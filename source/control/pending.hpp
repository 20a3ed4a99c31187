#pragma once
// What a node asked of others and waits for, by the token under which its answer comes.
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/messages.hpp"

namespace dockrock {

// An operator's call, passed on until its answer comes or its time is over.
struct PendingCall {
    Call call;
    Microseconds since = 0;
    Microseconds sent_at = 0;
    int outstanding = 0;  // sends whose fate is not known
    std::uint64_t local_token = 0;
    std::string asker;  // the node that it is passed on for; its token is `local_token`
    int hops = 0;
    int sends = 0;
};

// A claim of a run-once request, until the leader of its partition has answered.
struct PendingClaim {
    ClaimAsk ask;
    Microseconds since = 0;
    Microseconds sent_at = 0;
    std::uint64_t local_token = 0;
};

// Forming anew from what the core nodes that are left hold (design 5.9).
struct PendingRecovery {
    std::uint64_t token = 0;
    std::uint64_t local_token = 0;
    Microseconds since = 0;
    std::set<std::string> silent;  // addresses that have not answered yet
    std::vector<HeldPartition> best;
    std::uint64_t term = 0;  // once it is sent
    RecoverFleet order;
    std::string at;  // the address that it went to
    Microseconds sent_at = 0;
};

}  // namespace dockrock

#pragma once
// Requests of a node to others that are not answered yet, by the token that the answer carries.
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/messages.hpp"

namespace dockrock {

// An operator call that is forwarded until it is answered or times out.
struct PendingCall {
    Call call;
    Microseconds since = 0;
    Microseconds sent_at = 0;
    int outstanding = 0;  // sends without a known result
    std::uint64_t local_token = 0;
    std::string asker;  // address of the node that forwarded the call here, with its token in `local_token`
    int hops = 0;
    int sends = 0;
};

// A claim for a run-once request, until the leader of its partition answers.
struct PendingClaim {
    ClaimAsk ask;
    Microseconds since = 0;
    Microseconds sent_at = 0;
    std::uint64_t local_token = 0;
};

// A recovery from the copies that the remaining nodes hold (design 5.9).
struct PendingRecovery {
    std::uint64_t token = 0;
    std::uint64_t local_token = 0;
    Microseconds since = 0;
    std::set<std::string> silent;  // addresses that have not answered yet
    std::vector<HeldPartition> best;
    std::uint64_t term = 0;  // of the order, once it is sent
    RecoverFleet order;
    std::string at;  // address that the order was sent to
    Microseconds sent_at = 0;
};

}  // namespace dockrock

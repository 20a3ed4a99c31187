#include "consensus/answer_checks.hpp"

#include <algorithm>

#include "consensus/error_body.hpp"

namespace dockrock {

namespace {
constexpr auto acknowledged = 200;
constexpr auto nothing_read = 503;
constexpr auto not_known = 504;

auto withheld_answer(CallDone done, int status, std::string_view what) -> CallDone {
    done.status = status;
    done.body = error_body(what);
    done.etag.clear();
    return done;
}
}  // namespace

auto lease_facts(Partition const& partition, std::string const& self, Microseconds now) -> invariants::LeaseFacts {
    auto const& record = partition.votes.decided;
    auto const granted = [&](std::string const& voter) {
        auto const found = partition.grants.find(voter);
        return found != partition.grants.end() && found->second + partition.times.lease_duration > now;
    };
    auto const grants = std::count_if(record.voters.begin(), record.voters.end(), granted);
    auto const leads = record.term > 0 && record.leader == self && partition.healthy;
    return {leads, record.voters.size(), static_cast<std::size_t>(grants)};
}

// A record is decided only after all its members have synced everything acknowledged earlier (I5).
auto durability_facts(Partition const& partition, Sequence const& covered) -> invariants::DurabilityFacts {
    auto const& record = partition.votes.decided;
    auto const reported = [&](std::string const& follower) {
        auto const found = partition.progress.find(follower);
        return found != partition.progress.end() && found->second.synced_sequence >= covered;
    };
    auto const followers = std::count_if(record.followers.begin(), record.followers.end(), reported);
    auto const here = partition.synced >= covered ? 1U : 0U;
    auto const committed =
        partition.committed && partition.committed->sequence >= covered && partition.votes.sealed < record.term;
    return {
        committed, record.followers.size() + 1, static_cast<std::size_t>(followers) + here, covered.term < record.term};
}

auto checked_read(Partition const& partition, Context const& context, CallDone done) -> CallDone {
    if (done.status != acknowledged || invariants::check_read(lease_facts(partition, context.self, context.now)))
        return done;
    return withheld_answer(std::move(done), nothing_read, "no leased leader now; nothing was read");
}

auto checked_outcome(Partition const& partition, Sequence const& covered, CallDone done) -> CallDone {
    if (done.status != acknowledged || invariants::check(durability_facts(partition, covered))) return done;
    return withheld_answer(std::move(done), not_known, "outcome not known; ask again under the same change identity");
}

}  // namespace dockrock

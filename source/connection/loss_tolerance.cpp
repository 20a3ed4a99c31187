#include "connection/loss_tolerance.hpp"

#include <algorithm>

namespace dockrock {

namespace {
constexpr Microseconds look_interval = 200 * one_millisecond;
}  // namespace

auto loss_problems(Control const& control, Microseconds now) -> json::array {
    json::array problems;
    for (auto index = std::size_t{0}; index < partition_count; ++index) {
        auto const number = static_cast<int>(index);
        auto const& record = control.best_record(number);
        auto const name = std::string(partition_names[index]);
        auto const lives = [&](std::string const& identity) {
            return identity == control.membership.self.identity || control.membership.alive(identity);
        };
        auto const voters = static_cast<std::size_t>(
            std::count_if(record.voters.begin(), record.voters.end(), [&](auto const& voter) { return lives(voter); }));
        auto const told = [&](std::string what) { problems.push_back(json::string(name + ": " + what)); };
        if (record.term == 0) told("no group yet");
        else if (!lives(record.leader)) told("the leader is lost");
        else if (!std::all_of(record.followers.begin(), record.followers.end(), lives))
            told(record.followers.size() == 1 ? "the follower is lost" : "a follower is lost");
        else if (record.followers.size() + 1 < control.partitions[index].group_size()) told("too few followers");
        else if (voters < majority_of(record.voters.size()) + 1) told("too few voters live");
        else if (control.proof_age(number, now) > control.times.proof_limit) told("no proof of a leased leader");
    }
    return problems;
}

auto tolerated_losses(Control const& control, Microseconds now) -> std::size_t {
    auto borne = partition_count;
    for (auto index = std::size_t{0}; index < partition_count; ++index) {
        auto const& record = control.best_record(static_cast<int>(index));
        auto const lives = [&](std::string const& identity) {
            return identity == control.membership.self.identity || control.membership.alive(identity);
        };
        auto const living = [&](std::vector<std::string> const& list) {
            return static_cast<std::size_t>(std::count_if(list.begin(), list.end(), lives));
        };
        auto const majority = majority_of(record.voters.size());
        auto const voters = std::max(living(record.voters), majority);
        auto const& partition = control.partitions[index];
        auto const leads = partition.committed && partition.is_leader(control.membership.self.identity);
        auto const synced = [&](std::string const& follower) {
            auto const found = partition.progress.find(follower);
            return found != partition.progress.end() && found->second.synced_sequence >= partition.committed->sequence;
        };
        auto const copied = static_cast<std::size_t>(std::count_if(
            record.followers.begin(), record.followers.end(),
            [&](auto const& follower) { return lives(follower) && (!leads || synced(follower)); }));
        auto const members = copied + (lives(record.leader) ? 1U : 0U);
        auto const proven =
            record.term > 0 && control.proof_age(static_cast<int>(index), now) <= control.times.proof_limit;
        borne = proven ? std::min({borne, voters - majority, std::max(members, std::size_t{1}) - 1}) : 0;
    }
    return borne;
}

auto LossTolerance::look(Control const& control, Microseconds now) -> void {
    if (since != 0 && now - looked_at < look_interval) return;
    looked_at = now;
    auto const borne = tolerated_losses(control, now);
    if (since != 0 && borne == count) return;
    count = borne;
    since = now;
}

}  // namespace dockrock

#include "connection/loss_tolerance.hpp"

#include <algorithm>

namespace dockrock {

namespace {
constexpr Microseconds update_interval = 200 * one_millisecond;
}  // namespace

auto loss_problems(Control const& control, Microseconds now) -> json::array {
    json::array problems;
    for (auto index = std::size_t{0}; index < partition_count; ++index) {
        auto const number = static_cast<int>(index);
        auto const& record = control.best_record(number);
        auto const name = std::string(partition_names[index]);
        auto const is_alive = [&](std::string const& identity) {
            return identity == control.membership.self.identity || control.membership.alive(identity);
        };
        auto const voters = static_cast<std::size_t>(std::count_if(
            record.voters.begin(), record.voters.end(), [&](auto const& voter) { return is_alive(voter); }));
        auto const report = [&](std::string what) { problems.push_back(json::string(name + ": " + what)); };
        if (record.term == 0) report("no group yet");
        else if (!is_alive(record.leader)) report("the leader is lost");
        else if (!std::all_of(record.followers.begin(), record.followers.end(), is_alive))
            report(record.followers.size() == 1 ? "the follower is lost" : "a follower is lost");
        else if (record.followers.size() + 1 < control.partitions[index].group_size()) report("too few followers");
        else if (voters < majority_of(record.voters.size()) + 1) report("too few voters live");
        else if (control.proof_age(number, now) > control.times.proof_limit) report("no proof of a leased leader");
    }
    return problems;
}

auto tolerated_losses(Control const& control, Microseconds now) -> std::size_t {
    auto tolerated = partition_count;
    for (auto index = std::size_t{0}; index < partition_count; ++index) {
        auto const& record = control.best_record(static_cast<int>(index));
        auto const is_alive = [&](std::string const& identity) {
            return identity == control.membership.self.identity || control.membership.alive(identity);
        };
        auto const count_alive = [&](std::vector<std::string> const& list) {
            return static_cast<std::size_t>(std::count_if(list.begin(), list.end(), is_alive));
        };
        auto const majority = majority_of(record.voters.size());
        auto const voters = std::max(count_alive(record.voters), majority);
        auto const& partition = control.partitions[index];
        auto const leads = partition.committed && partition.is_leader(control.membership.self.identity);
        auto const synced = [&](std::string const& follower) {
            auto const found = partition.progress.find(follower);
            return found != partition.progress.end() && found->second.synced_sequence >= partition.committed->sequence;
        };
        auto const copied = static_cast<std::size_t>(std::count_if(
            record.followers.begin(), record.followers.end(),
            [&](auto const& follower) { return is_alive(follower) && (!leads || synced(follower)); }));
        auto const members = copied + (is_alive(record.leader) ? 1U : 0U);
        auto const proven =
            record.term > 0 && control.proof_age(static_cast<int>(index), now) <= control.times.proof_limit;
        tolerated = proven ? std::min({tolerated, voters - majority, std::max(members, std::size_t{1}) - 1}) : 0;
    }
    return tolerated;
}

auto LossTolerance::update(Control const& control, Microseconds now) -> void {
    if (since != 0 && now - updated_at < update_interval) return;
    updated_at = now;
    auto const tolerated = tolerated_losses(control, now);
    if (since != 0 && tolerated == count) return;
    count = tolerated;
    since = now;
}

}  // namespace dockrock

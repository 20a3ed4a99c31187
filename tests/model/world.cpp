#include "world.hpp"

#include "base/invariants.hpp"
#include "field_hash.hpp"

namespace dockrock::model {

namespace {

auto first_record(Setup const& setup) -> Record {
    Record record{1, "a", {}, {}};
    for (auto place = std::size_t{1}; place < group_size(setup); ++place)
        record.followers.emplace_back(1, static_cast<char>('a' + place));
    for (auto place = std::size_t{0}; place < setup.nodes; ++place)
        record.voters.emplace_back(1, static_cast<char>('a' + place));
    return record;
}

// Tokens are the smallest that are free, so that equal states have equal tokens.
auto random_for(Setup const& setup, Node const& node) -> Random {
    constexpr auto stride = std::uint64_t{1'000'003};
    constexpr auto drawn_at_most = 12;
    for (auto attempt = std::uint64_t{1};; ++attempt) {
        auto const first = Random{(setup.salt + attempt) * stride};
        auto probe = first;
        auto taken = false;
        for (auto count = 0; count < drawn_at_most; ++count)
            taken = node.partition.saving.contains(probe.next() | 1U) || taken;
        if (!taken) return first;
    }
}

}  // namespace

auto hand_to(Partition& partition, Context& context, std::string const& from, Message const& message) -> void {
    std::visit(
        [&](auto const& held) {
            if constexpr (requires { partition.on(context, from, held); }) partition.on(context, from, held);
        },
        message);
}

auto fresh_partition(Setup const& setup, Node const& node, Microseconds now) -> Partition {
    Partition partition;
    partition.core_count = setup.nodes;
    partition.machines_lost = setup.losses;
    partition.times = model_times(setup.planted);
    partition.apply = [](Copy const&, Call const& call) { return ChangeResult{200, "", call.body}; };
    partition.claims.life = static_cast<std::uint64_t>(node.life);
    partition.leader_heard = partition.leader_since = now;
    return partition;
}

auto model_times(Planted planted) -> PartitionTimes {
    PartitionTimes times;
    times.grant_duration = 3 * unit;  // as short as the lease: no slack hides an error
    times.lease_duration = (planted == Planted::lease_longer_than_grant ? 6 : 3) * unit;
    times.heartbeat_interval = unit;
    times.leader_timeout = 2 * unit;
    times.proposal_interval = unit / 2;
    times.proposal_limit = 5 * unit;
    times.follower_timeout = 2 * unit;
    times.resend_interval = unit;
    times.copy_timeout = unit;
    times.rival_timeout = 4 * unit;
    times.disk_limit = 2 * unit;
    times.spare_interval = 3 * unit;
    times.frozen_gap = 2 * unit;
    return times;
}

auto group_size(Setup const& setup) -> std::size_t { return std::min(setup.losses + 1, majority_of(setup.nodes)); }

World::World(Setup const& given) : setup(given) {
    auto const record = first_record(setup);
    observed.decided[record.term] = record;
    for (auto index = std::size_t{0}; index < setup.nodes + setup.joiners; ++index) {
        Node node;
        node.identity = std::string(1, static_cast<char>('a' + index));
        node.partition = fresh_partition(setup, node, now);
        if (index < setup.nodes) {
            node.partition.votes.decided = record;
            node.partition.reset_progress(now);
            node.disk.votes = node.partition.votes;
            node.disk.copy = node.partition.copy;
            node.disk_blank = false;
        }
        node.digest = hash_of(node.identity);
        nodes.push_back(std::make_shared<Node const>(std::move(node)));
    }
}

auto World::change_node(std::size_t index, std::function<void(Node&)> const& change) -> void {
    auto node = std::make_shared<Node>(*nodes[index]);
    change(*node);
    node->digest = 0;
    node->digest = hash_of(*node);
    nodes[index] = std::move(node);
}

auto World::index_of(std::string const& identity) const -> std::optional<std::size_t> {
    for (auto index = std::size_t{0}; index < nodes.size(); ++index)
        if (nodes[index]->identity == identity) return index;
    return std::nullopt;
}

auto World::reaches(Node const& from, Node const& to) const -> bool {
    return from.identity == to.identity || (to.running && !from.cut && !to.cut);
}

// What the node's membership would tell: a hint, which may be wrong.
auto World::living(Node const& self) const -> std::vector<Member> {
    std::vector<Member> members;
    for (auto index = std::size_t{0}; index < nodes.size(); ++index) {
        auto const& node = *nodes[index];
        auto const other = node.identity != self.identity;
        if (other && (!reaches(self, node) || node.frozen || node.suspected || node.stopping)) continue;
        Member member;
        member.identity = node.identity;
        member.area = std::to_string(index);
        member.core = true;
        members.push_back(std::move(member));
    }
    return members;
}

auto World::send(Node const& from, IdentifiedMessage&& item) -> void {
    auto const target = index_of(item.identity);
    if (!target || !reaches(from, *nodes[*target])) return;
    if (std::holds_alternative<ClaimReplication>(item.message)) return;  // claims are not modelled: all are lost
    auto message = std::make_shared<Message const>(std::move(item.message));
    auto digest = hash_of(*message);
    mix_all(digest, from.identity, item.identity);
    auto const same = [&](Envelope const& other) { return other.digest == digest; };
    if (std::any_of(network.begin(), network.end(), same)) return;
    network.push_back({from.identity, item.identity, std::move(message), digest});
}

auto World::apply_output(Node& node, Work const& work) -> void {
    auto random = random_for(setup, node);
    auto const cores = [this, &node] { return living(node); };
    auto const alive = [this, &node](std::string const& identity) {
        auto const members = living(node);
        return std::any_of(members.begin(), members.end(), [&](auto const& item) { return item.identity == identity; });
    };
    Context context{now, node.identity, random, cores, alive, {}, {}, {}, {}};
    auto todo = std::vector<Work>{work};
    while (!todo.empty()) {
        auto const next = std::move(todo.front());
        todo.erase(todo.begin());
        auto const votes_before = node.partition.votes;
        auto const met = invariants::violations_on_this_thread();
        next(node.partition, context);
        if (invariants::violations_on_this_thread() != met)
            violation("code: " + invariants::last_violation_on_this_thread());
        plant_after(setup.planted, node.partition, context, votes_before);
        for (auto& save : context.saves) {
            plant_in_save(setup.planted, save.saved, node.disk);
            node.writes.push_back(std::move(save));
        }
        for (auto const& done : context.done) answered(node, done);
        for (auto& item : context.sends) {
            if (item.identity != node.identity) {
                send(node, std::move(item));
                continue;
            }
            todo.push_back([this, item = std::move(item)](Partition& partition, Context& inner) {
                auto message = item.message;
                plant_before(setup.planted, partition, inner, message);
                hand_to(partition, inner, inner.self, message);
            });
        }
        context.saves.clear();
        context.done.clear();
        context.sends.clear();
    }
}

auto World::act(std::size_t index, Work const& work) -> void {
    change_node(index, [&](Node& node) { apply_output(node, work); });
}

auto World::digest() const -> std::size_t {
    auto seed = hash_of(now);
    for (auto const& node : nodes) mix(seed, node->digest);
    for (auto const& envelope : network) mix_all(seed, envelope.digest, envelope.held);
    mix_all(seed, operators, observed, spent);
    return seed;
}

}  // namespace dockrock::model
